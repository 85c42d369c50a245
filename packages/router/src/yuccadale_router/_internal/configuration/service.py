"""The configuration service of one instance."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import structlog
from expression import Result

from yuccadale_core.authority import OperatorKeys, SignedSubmission
from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import Heartbeat, PeerMessage, ScopeRevision
from yuccadale_core.platform import Objects, Table
from yuccadale_core.refusals import Refusal

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.configuration.declaration_rows import (
    update_heads,
    read_archived,
    read_revision,
)
from yuccadale_router._internal.configuration.in_force import RevisionsInForce
from yuccadale_router._internal.configuration.revision_exchange import (
    RevisionExchange,
)
from yuccadale_router._internal.configuration.store_reader import (
    Jitter,
    Sleep,
    StoreReader,
    default_jitter,
    is_chosen_reader,
)
from yuccadale_router._internal.configuration.submissions import (
    Answer,
    Submissions,
)
from yuccadale_router._internal.contracts import Peers

_log = structlog.get_logger()


class ConfigurationState(StrEnum):
    """Whether the declaration in force is the newest one."""

    current = 'ready'
    behind = 'behind in configuration'
    cut_off = 'cut off from the platform'


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Status of the declaration in force at this instance.

    Attributes:
        scopes_behind: scopes of which a newer revision is known to exist.
        confirmed_age_ms: time since the declaration in force was last
            confirmed as the newest in the table; negative if never.
        store_reachable: whether the last read of the table succeeded; None
            before the first read.
        is_reader: whether this instance reads the table regularly.
    """

    state: ConfigurationState
    revision_by_scope: dict[str, int]
    scopes_behind: list[str]
    confirmed_age_ms: float
    store_reachable: bool | None
    is_reader: bool


class ConfigurationService:
    """Keeps, replicates and replaces the declaration in force."""

    def __init__(
        self,
        me: InstanceRef,
        table: Table,
        objects: Objects,
        peers: Peers,
        counters: Counters,
        clock: Clock,
        on_change: Callable[[Declaration], None],
        *,
        operator_keys: OperatorKeys,
        sleep: Sleep = asyncio.sleep,
        jitter: Jitter = default_jitter,
        utc_now: Callable[[], str] | None = None,
    ) -> None:
        self._me = me
        self._table = table
        self._objects = objects
        self._peers = peers
        self._counters = counters
        self._on_change = on_change
        self._sleep = sleep
        self._jitter = jitter
        self._in_force = RevisionsInForce(counters)
        self._reader = StoreReader(
            table,
            self._in_force,
            self._apply_revisions,
            counters=counters,
            clock=clock,
        )
        self._exchange = RevisionExchange(
            me,
            self._in_force,
            self._apply_revisions,
            peers=peers,
            counters=counters,
            clock=clock,
        )
        self._submissions = Submissions(
            me.name,
            table=table,
            objects=objects,
            operator_keys=operator_keys,
            counters=counters,
            utc_now=utc_now or _utc_now,
        )
        self._tasks: set[asyncio.Task[object]] = set()
        peers.handle(Heartbeat, self._handle_heartbeat)

    @property
    def declaration(self) -> Declaration:
        """The declaration in force."""
        return self._in_force.declaration

    async def start(self) -> None:
        """Reads the table once and starts the task that reads it regularly.

        Also returns when the table does not answer: peers then send the
        revisions.
        """
        await self._reader.read_all()
        self._start_task(
            self._reader.run(self.is_reader, self._sleep, self._jitter)
        )

    async def stop(self) -> None:
        """Ends all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def revision_by_scope(self) -> dict[str, int]:
        """Returns the revisions in force, for heartbeats."""
        return self._in_force.revision_by_scope()

    def confirmed_age_ms(self) -> float:
        """Returns the time since the last confirmation, for heartbeats."""
        return self._reader.age_ms()

    def handle_peer_revisions(
        self,
        peer: InstanceRef,
        revision_by_scope: Mapping[str, int],
        confirmed_age_ms: float = -1,
    ) -> None:
        """Handles the revisions in a heartbeat; requests newer ones."""
        not_ahead = self._exchange.handle_peer_revisions(
            peer, revision_by_scope
        )
        same = not_ahead and revision_by_scope == self.revision_by_scope()
        if same and confirmed_age_ms >= 0:
            self._reader.confirm(confirmed_age_ms)

    async def submit(self, signed: SignedSubmission) -> Answer:
        """Commits a submission; returns after the commit or a rejection."""
        answer = await self._submissions.submit(signed, self._apply_revisions)
        if answer.is_ok():
            revision = answer.ok.revision
            self._start_task(
                update_heads(
                    self._table,
                    {revision.scope: revision.revision},
                    revision.write_id,
                )
            )
        return answer

    def revisions(self) -> list[ScopeRevision]:
        """Returns the revisions in force, sorted by scope."""
        return self._in_force.revisions()

    async def revision(
        self, scope: str, number: int
    ) -> Result[ScopeRevision, Refusal]:
        """Returns one revision, in force or replaced."""
        known = self._in_force.revision(scope)
        if known is not None and known.revision == number:
            return Result.Ok(known)
        found = await read_archived(self._objects, scope, number)
        if found.is_ok() and found.ok is None:
            # The newest revision has no object yet, only a row.
            found = await read_revision(self._table, scope)
        if found.is_error():
            return self._refuse(
                ResultCode.platform_unavailable, found.error.detail
            )
        if found.ok is None or found.ok.revision != number:
            return self._refuse(
                ResultCode.revision_unknown, f'{scope} revision {number}'
            )
        return Result.Ok(found.ok)

    async def history(
        self, scope: str, limit: int
    ) -> Result[list[ScopeRevision], Refusal]:
        """Returns the newest revisions of a scope, newest first."""
        known = self._in_force.revision(scope)
        if known is None:
            return self._refuse(ResultCode.revision_unknown, scope)
        revisions = [known]
        oldest = max(known.revision - limit, 0)
        for number in range(known.revision - 1, oldest, -1):
            found = await self.revision(scope, number)
            if found.is_error():
                return Result.Error(found.error)
            revisions.append(found.ok)
        return Result.Ok(revisions)

    def is_reader(self) -> bool:
        """Returns whether this instance reads the table regularly."""
        return is_chosen_reader(self._me, list(self._peers.live_peers()))

    def status(self) -> ConfigurationStatus:
        """Returns the status of the declaration in force."""
        behind = self._in_force.scopes_behind()
        state = ConfigurationState.current
        if behind:
            state = ConfigurationState.behind
        elif not self._reader.is_confirmed():
            state = ConfigurationState.cut_off
        return ConfigurationStatus(
            state=state,
            revision_by_scope=self.revision_by_scope(),
            scopes_behind=behind,
            confirmed_age_ms=self._reader.age_ms(),
            store_reachable=self._reader.reachable,
            is_reader=self.is_reader(),
        )

    def _handle_heartbeat(
        self, peer: InstanceRef, message: PeerMessage
    ) -> None:
        if isinstance(message, Heartbeat):
            self.handle_peer_revisions(
                peer, message.revision_by_scope, message.configuration_age_ms
            )

    def _apply_revisions(self, revisions: list[ScopeRevision]) -> None:
        if not self._in_force.apply(revisions):
            return
        _log.info(
            'declaration in force',
            revisions=self._in_force.revision_by_scope(),
        )
        self._on_change(self._in_force.declaration)

    def _refuse(self, code: ResultCode, detail: str) -> Result[Any, Refusal]:
        return Result.Error(Refusal(code, self._me.name, detail))

    def _start_task(self, work: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._counters.count('configuration.task_failed')
            _log.error('configuration task failed', exc_info=task.exception())


def _utc_now() -> str:
    return datetime.now(UTC).isoformat(timespec='milliseconds')
