"""Carries out the calls about keys that are due, and notes their ends."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import structlog

from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import (
    CallKind,
    Holder,
    OwnershipCall,
    SegmentTable,
)
from yuccadale_edge._internal.transport.client_connection import (
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import (
    Address,
    PortClosedError,
)

_log = structlog.get_logger()

_CALLS_PER_SERVER = 4
# A first refusal of a connection may come from a cut; a second one later is
# taken as proof that the process has ended, unless it may be leaving: such a
# process stops listening before its work is done.
_REFUSED_TWICE_AFTER_S = 0.3
# How long a server that a call did not reach is given no more keys.
_UNREACHABLE_S = 1.5
_MS = 1000.0


class GrantRefusedError(Exception):
    """The server has seen a higher fencing token."""


class WrongServerError(Exception):
    """Another server has the address: the named one has ended."""


class ServerCalls(Protocol):
    """Calls about keys to servers."""

    async def grant(
        self, address: Address, call: OwnershipCall, lease_s: float
    ) -> None:
        """Grants or renews.

        Raises:
            GrantRefusedError, OtherServerError, NotSentError,
            AnswerLostError: as their descriptions say.
        """

    async def release(
        self, address: Address, call: OwnershipCall
    ) -> str | None:
        """Takes keys back; returns what the next owner is to be given.

        Raises:
            OtherServerError, NotSentError, AnswerLostError.
        """


class CallRunner:
    """Calls of one service's leader, a few at a time for each server."""

    def __init__(
        self,
        table: SegmentTable,
        calls: ServerCalls,
        system_view: SystemView,
        may_act: Callable[[], bool],
        changed: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self.address_by_holder: dict[Holder, Address] = {}
        # Their entries may stand in the store for some heartbeats more.
        self.ended: set[Holder] = set()
        self._maybe_leaving: set[Holder] = set()
        self._table = table
        self._calls = calls
        self._system_view = system_view
        self._may_act = may_act
        self._changed = changed
        self._metrics = metrics
        self._limit_by_holder: dict[Holder, asyncio.Semaphore] = {}
        self._refused_by_holder: dict[Holder, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start_due(self, renew_s: float | None = None) -> None:
        """Begins all calls that are due; see the table for ``renew_s``."""
        for call in self._table.calls_due(elapsed_s(), renew_s):
            task = asyncio.create_task(self._run(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self, within_s: float) -> None:
        """Waits for the calls under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=within_s)

    def end(self, holder: Holder, reason: str) -> None:
        """Notes that a life of a server has ended."""
        _log.info(
            'server incarnation ended',
            server=holder.server_id,
            incarnation=holder.incarnation,
            reason=reason,
        )
        self.ended.add(holder)
        self._table.end_holder(holder)
        self.address_by_holder.pop(holder, None)

    async def _run(self, call: OwnershipCall) -> None:
        limit = self._limit_by_holder.setdefault(
            call.holder, asyncio.Semaphore(_CALLS_PER_SERVER)
        )
        async with limit:
            address = self.address_by_holder.get(call.holder)
            if address is None or not self._may_act():
                self._table.call_not_sent(call)
                return
            try:
                await self._attempt(address, call)
            except (AnswerLostError, TimeoutError) as error:
                self._unanswered(call, repr(error))
        self._changed()

    async def _attempt(self, address: Address, call: OwnershipCall) -> None:
        """Calls once.

        Raises:
            AnswerLostError: the server may act on the call.
            TimeoutError: likewise.
        """
        try:
            await self._perform(address, call)
        except PortClosedError as error:
            self._table.call_not_sent(call)
            # Before the entry of a server that crashed is removed.
            self._table.call_again(call, _REFUSED_TWICE_AFTER_S, elapsed_s())
            self._refused(call.holder, str(error))
        except NotSentError as error:
            self._table.call_not_sent(call)
            self._unreachable(call.holder, str(error))
        except (WrongServerError, GrantRefusedError) as error:
            self._rejected(call, error)
        else:
            self._refused_by_holder.pop(call.holder, None)

    async def _perform(self, address: Address, call: OwnershipCall) -> None:
        began_s = elapsed_s()
        if call.kind == CallKind.grant:
            await self._calls.grant(address, call, self._table.lease_s)
            self._table.grant_answered(call, accepted=True, now_s=elapsed_s())
            return
        handover = await self._calls.release(address, call)
        self._table.release_answered(call, handover, elapsed_s())
        took_ms = (elapsed_s() - began_s) * _MS
        self._metrics.observe_ms('release', took_ms)
        _log.info(
            'keys released',
            server=call.holder.server_id,
            first=call.first,
            last=call.last,
            fence=call.fence,
            took_ms=round(took_ms, 1),
        )
        self.start_due()

    def _rejected(
        self, call: OwnershipCall, error: WrongServerError | GrantRefusedError
    ) -> None:
        if isinstance(error, WrongServerError):
            self._table.call_not_sent(call)
            self.end(call.holder, 'another server has its address')
            return
        self._table.grant_answered(call, accepted=False, now_s=elapsed_s())
        _log.warning(
            'grant refused',
            server=call.holder.server_id,
            first=call.first,
            last=call.last,
            fence=call.fence,
            reason=str(error),
        )

    def _unanswered(self, call: OwnershipCall, reason: str) -> None:
        self._metrics.count('calls_unanswered', kind=call.kind)
        _log.warning(
            'ownership call unanswered',
            kind=call.kind,
            server=call.holder.server_id,
            first=call.first,
            last=call.last,
            fence=call.fence,
            reason=reason,
        )
        self._table.call_unanswered(call, elapsed_s())

    def _refused(self, holder: Holder, reason: str) -> None:
        now_s = elapsed_s()
        first_s = self._refused_by_holder.setdefault(holder, now_s)
        self._unreachable(holder, reason)
        if now_s - first_s < _REFUSED_TWICE_AFTER_S:
            return
        if self._system_view.surely_listens(*holder):
            self._refused_by_holder.pop(holder)
            self.end(holder, 'its address refused two connections')
        elif holder not in self._maybe_leaving:
            self._maybe_leaving.add(holder)
            _log.info(
                'server may be leaving, its lease is waited out',
                server=holder.server_id,
                incarnation=holder.incarnation,
                refused_for_s=round(now_s - first_s, 2),
            )

    def _unreachable(self, holder: Holder, reason: str) -> None:
        until = self._system_view.unreachable_until_by_server
        now_s = elapsed_s()
        if until.get(holder.server_id, 0) < now_s:
            _log.warning(
                'server unreachable for ownership calls',
                server=holder.server_id,
                reason=reason,
                for_s=_UNREACHABLE_S,
            )
        until[holder.server_id] = now_s + _UNREACHABLE_S
