"""Sends the due grants and releases to the servers of one service."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.lapsed_leases import LapsedLeases
from yuccadale_edge._internal.ownership.segments import (
    CallKind,
    Holder,
    LeaseEnd,
    LeaseEndReason,
    OwnershipCall,
    SegmentTable,
)
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import (
    AnswerLostError,
    Delivery,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

_CALLS_PER_SERVER = 4
# A call that was not sent is due again after this time.
_RETRY_UNSENT_S = 0.3
# A server that a call did not reach gets no more keys for this time.
_UNREACHABLE_S = 1.5
_MS_PER_S = 1000.0


class GrantRefusedError(Exception):
    """The server knows a higher fencing token."""


class WrongServerError(Exception):
    """Another server answered at the address, and did not apply the call."""


class ServerCalls(Protocol):
    """Sends grants and releases to servers.

    A call that got no answer, or none within its time, is withdrawn before its
    error is raised: bytes that the server has not acknowledged are never sent
    again. The kernel of a process that ended withdraws its calls at once, and
    that of one that is stopped within ``CALL_TIMEOUT_S``, which is also the
    longest wait for the answer to a grant.
    """

    async def grant(
        self,
        address: Address,
        call: OwnershipCall,
        lease_s: float,
        may_send: Callable[[], bool],
    ) -> Delivery | None:
        """Grants keys or renews their lease.

        Args:
            address: of the server.
            call: the grant.
            lease_s: duration of the lease.
            may_send: asked once more just before the call is written, since
                it takes time to connect.

        Returns:
            What tells whether the server has surely handled the grant; None if
            it has.

        Raises:
            GrantRefusedError: the server knows a higher fencing token.
            WrongServerError: another server answers at the address.
            NotSentError: no byte was sent.
            AnswerLostError: the server may apply the grant.
        """

    async def release(
        self,
        address: Address,
        call: OwnershipCall,
        may_send: Callable[[], bool],
    ) -> str | None:
        """Releases keys; returns the handover token for the next owner.

        Sent on the connection of an unproven grant, if one is idle, so that
        the answer proves the grants there. See ``grant`` for the arguments.

        Raises:
            WrongServerError: another server answers at the address.
            NotSentError: no byte was sent.
            AnswerLostError: the server may apply the release.
        """


class CallRunner:
    """Runs the calls of one service, with a limit for each server."""

    def __init__(
        self,
        table: SegmentTable,
        calls: ServerCalls,
        system_view: SystemView,
        may_act: Callable[[], bool],
        on_changed: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self.address_by_holder: dict[Holder, Address] = {}
        # The store may list stopped servers for a few more heartbeats.
        self.ended: set[Holder] = set()
        self._restarted: set[Holder] = set()
        self._table = table
        self._calls = calls
        self._system_view = system_view
        self._may_act = may_act
        self._on_changed = on_changed
        self._metrics = metrics
        self._limit_by_holder: dict[Holder, asyncio.Semaphore] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._lapsed = LapsedLeases()
        self._lapsed_tasks: set[asyncio.Task[bool]] = set()

    def start_due(self, renew_s: float | None = None) -> None:
        """Starts all due calls.

        Args:
            renew_s: see `SegmentTable.calls_due`.
        """
        calls = self._table.calls_due(elapsed_s(), renew_s)
        self._report_lease_ends()
        for call in calls:
            task = asyncio.create_task(self._run(call))
            self._tasks.add(task)
            task.add_done_callback(partial(self._forget, call))
        for release in self._lapsed.releases_due(elapsed_s()):
            lapsed_task = asyncio.create_task(self._release_lapsed(release))
            self._lapsed_tasks.add(lapsed_task)
            lapsed_task.add_done_callback(partial(self._forget_lapsed, release))

    def withdraw(self) -> None:
        """Resets the calls in flight; servers may have read them."""
        for task in (*self._tasks, *self._lapsed_tasks):
            task.cancel()

    async def finish(self, within_s: float) -> None:
        """Waits for the calls in flight, at most this long.

        Releases of lapsed leases are given up. The next leader does not know
        of them, and could grant the keys.
        """
        for task in self._lapsed_tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=within_s)

    def mark_ended(self, holder: Holder, reason: str) -> None:
        """Removes a server incarnation that has stopped."""
        _log.info(
            'server incarnation ended',
            server=holder.server_id,
            incarnation=holder.incarnation,
            reason=reason,
        )
        self.ended.add(holder)
        self._lapsed.remove(holder)
        self._table.end_holder(holder)
        self.address_by_holder.pop(holder, None)

    def mark_restarted(self, holder: Holder, server: Server) -> None:
        """Handles a server that has started again under the same id.

        Its leases are released at the new process, which may have them.
        """
        if holder in self._restarted:
            return
        _log.info(
            'server started again',
            server=holder.server_id,
            incarnation=holder.incarnation,
            next_incarnation=server.incarnation,
        )
        self._restarted.add(holder)
        self.address_by_holder[holder] = server.address
        self._table.restart_holder(holder, elapsed_s())

    def _forget(self, call: OwnershipCall, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            self._handle_unanswered(call, 'withdrawn')

    def _forget_lapsed(
        self, release: OwnershipCall, task: asyncio.Task[bool]
    ) -> None:
        self._lapsed_tasks.discard(task)
        answered = not task.cancelled() and task.result()
        self._lapsed.release_ended(release, elapsed_s(), answered=answered)

    def _limit(self, holder: Holder) -> asyncio.Semaphore:
        return self._limit_by_holder.setdefault(
            holder, asyncio.Semaphore(_CALLS_PER_SERVER)
        )

    async def _run(self, call: OwnershipCall) -> None:
        async with self._limit(call.holder):
            address = self.address_by_holder.get(call.holder)
            if address is None or not self._may_send(call):
                self._table.call_not_sent(call)
                return
            is_grant = call.kind == CallKind.grant
            if is_grant and not self._lapsed.begin_grant(call):
                self._table.call_not_sent(call)
                self._table.retry_call_after(call, _RETRY_UNSENT_S, elapsed_s())
                return
            try:
                await self._attempt(address, call)
            except (AnswerLostError, TimeoutError) as error:
                self._handle_unanswered(call, repr(error))
            finally:
                if is_grant:
                    self._lapsed.end_grant(call, accepted=False)
        self._on_changed()

    async def _release_lapsed(self, release: OwnershipCall) -> bool:
        """Asks a server once to release what a late grant may have started.

        Returns:
            Whether it has answered.
        """
        async with self._limit(release.holder):
            address = self.address_by_holder.get(release.holder)
            if address is None or not self._may_send(release):
                return False
            try:
                await self._calls.release(
                    address, release, partial(self._may_send, release)
                )
            except WrongServerError:
                self._end_if_reused(release.holder)
            except (NotSentError, AnswerLostError, TimeoutError):
                self._metrics.count('lapsed_releases_unanswered')
            else:
                return True
        return False

    def _may_send(self, call: OwnershipCall) -> bool:
        ended = call.holder in self.ended or (
            call.kind == CallKind.grant and call.holder in self._restarted
        )
        return self._may_act() and not ended

    async def _attempt(self, address: Address, call: OwnershipCall) -> None:
        """Sends a call once; handles the errors whose effect is known.

        Raises:
            AnswerLostError: the server may apply the call.
            TimeoutError: likewise.
        """
        try:
            await self._perform(address, call)
        except NotSentError as error:
            self._handle_unsent(call, str(error))
        except (WrongServerError, GrantRefusedError) as error:
            self._handle_rejection(call, error)

    async def _perform(self, address: Address, call: OwnershipCall) -> None:
        started_s = elapsed_s()
        may_send = partial(self._may_send, call)
        if call.kind == CallKind.grant:
            delivery = await self._calls.grant(
                address, call, self._table.lease_s, may_send
            )
            self._lapsed.end_grant(call, accepted=True)
            if self._table.grant_answered(
                call, accepted=True, now_s=elapsed_s(), delivery=delivery
            ):
                _log.info('keys granted', **_described(call))
            return
        handover = await self._calls.release(address, call, may_send)
        self._table.release_answered(call, handover, elapsed_s())
        unproven = sum(not one.proven for one in call.unproven)
        if unproven:
            self._metrics.count('releases_without_proof')
        took_ms = (elapsed_s() - started_s) * _MS_PER_S
        self._metrics.observe_ms('release', took_ms)
        _log.info(
            'keys released',
            took_ms=round(took_ms, 1),
            unproven=unproven,
            **_described(call),
        )
        self.start_due()

    def _handle_rejection(
        self, call: OwnershipCall, error: WrongServerError | GrantRefusedError
    ) -> None:
        if isinstance(error, WrongServerError):
            self._handle_wrong_server(call)
            return
        self._table.grant_answered(call, accepted=False, now_s=elapsed_s())
        _log.warning('grant refused', reason=str(error), **_described(call))

    def _handle_unanswered(self, call: OwnershipCall, reason: str) -> None:
        self._metrics.count('calls_unanswered', kind=call.kind)
        _log.warning(
            'ownership call unanswered',
            kind=call.kind,
            reason=reason,
            **_described(call),
        )
        self._table.call_unanswered(call, elapsed_s())

    def _report_lease_ends(self) -> None:
        for ended in self._table.pop_lease_ends():
            self._metrics.count('leases_ended', reason=ended.reason)
            if ended.reason == LeaseEndReason.expired:
                self._lapsed.add(ended, elapsed_s())
            if ended.reason != LeaseEndReason.released:
                # An answered release has a line of its own.
                _log.info(
                    'lease ended without a release',
                    reason=ended.reason,
                    **_described(ended),
                )

    def _handle_unsent(self, call: OwnershipCall, reason: str) -> None:
        # A refused connection says nothing about the leases of the server: a
        # path may refuse it, and a leaving server stops listening first.
        self._table.call_not_sent(call)
        self._table.retry_call_after(call, _RETRY_UNSENT_S, elapsed_s())
        if self._may_send(call):
            self._mark_unreachable(call.holder, reason)

    def _handle_wrong_server(self, call: OwnershipCall) -> None:
        self._handle_unsent(call, 'another server answered')
        self._end_if_reused(call.holder)

    def _end_if_reused(self, holder: Holder) -> None:
        address = self.address_by_holder.get(holder)
        servers = self._system_view.servers
        if address is not None and servers.is_reused(address, *holder):
            self.mark_ended(holder, 'another server has its address')

    def _mark_unreachable(self, holder: Holder, reason: str) -> None:
        availability = self._system_view.availability
        if availability.mark_unreachable(holder.server_id, _UNREACHABLE_S):
            _log.warning(
                'server unreachable for ownership calls',
                server=holder.server_id,
                reason=reason,
                for_s=_UNREACHABLE_S,
            )


def _described(subject: OwnershipCall | LeaseEnd) -> dict[str, str | int]:
    """Returns the fields of log lines about a range of a server's keys."""
    return {
        'server': subject.holder.server_id,
        'first': subject.first,
        'last': subject.last,
        'fence': subject.fence,
    }
