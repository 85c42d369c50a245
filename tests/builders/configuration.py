"""A simulated platform and peers for configuration services.

With ``gated`` set, each operation on the platform waits until the test calls
``step``, so that the test chooses the order and the faults. Time is virtual
and nothing runs in parallel.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec
from expression import Result

from yuccadale_core.authority import (
    OperatorKey,
    OperatorKeys,
    SignedSubmission,
    Submission,
    generate_operator_key,
)
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import AnyMessage, Heartbeat, PeerMessage
from yuccadale_core.platform import Row, TableFailure, TableFailureKind
from yuccadale_router._internal.configuration.service import (
    ConfigurationService,
)
from yuccadale_router._internal.contracts import MessageHandler


class Fault(StrEnum):
    """Outcome of one operation on the platform."""

    none = 'none'
    # Refused, and not applied.
    unavailable = 'unavailable'
    # Applied; the answer is lost.
    lost = 'lost answer'
    # The answer is lost; the write is applied later or never.
    late = 'late write'
    # Applied; the answer arrives later.
    delayed = 'delayed answer'


@dataclass(slots=True)
class Operation:
    """An operation that an instance has sent to the platform."""

    instance: str
    perform: Callable[[], Any]
    is_write: bool
    answer: asyncio.Future[Any]


@dataclass(slots=True)
class Platform:
    """Rows with all their versions, objects, and pending faults.

    Attributes:
        gated: whether operations wait for ``step``.
        faults: faults of the next operations when not gated.
        disconnected: instances that cannot reach the platform.
        late_writes: writes not applied yet whose answers were lost.
        delayed_answers: applied operations with their undelivered answers.
    """

    gated: bool = False
    faults: list[Fault] = field(default_factory=list)
    disconnected: set[str] = field(default_factory=set)
    row_by_name: dict[str, Row] = field(default_factory=dict)
    rows_written: list[Row] = field(default_factory=list)
    body_by_name: dict[str, bytes] = field(default_factory=dict)
    waiting: list[Operation] = field(default_factory=list)
    late_writes: list[Callable[[], Any]] = field(default_factory=list)
    delayed_answers: list[tuple[Operation, Any]] = field(default_factory=list)

    async def operate(
        self, instance: str, perform: Callable[[], Any], *, is_write: bool
    ) -> Any:
        """Performs an operation, at once or when the test steps it."""
        answer = asyncio.get_running_loop().create_future()
        operation = Operation(instance, perform, is_write, answer)
        if self.gated:
            self.waiting.append(operation)
        else:
            fault = self.faults.pop(0) if self.faults else Fault.none
            self._finish(operation, fault)
        return await answer

    def step(self, index: int, fault: Fault) -> None:
        """Finishes one waiting operation with a fault or without."""
        self._finish(self.waiting.pop(index), fault)

    def answer_late(self, index: int) -> None:
        """Delivers a delayed answer."""
        operation, answer = self.delayed_answers.pop(index)
        if not operation.answer.done():
            operation.answer.set_result(answer)

    def abandon_operations(self, instance: str) -> None:
        """Turns the pending writes of a lost process into late writes."""
        for operation in list(self.waiting):
            if operation.instance == instance:
                self.waiting.remove(operation)
                if operation.is_write:
                    self.late_writes.append(operation.perform)

    def write_row(
        self, name: str, text: str, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        """Writes a row conditionally."""
        row = self.row_by_name.get(name)
        version = 0 if row is None else row.version
        if version != expected_version:
            return Result.Error(
                TableFailure(TableFailureKind.conflict, 'version', row)
            )
        written = Row(name, version + 1, text, write_id)
        self.row_by_name[name] = written
        self.rows_written.append(written)
        return Result.Ok(written)

    def write_object(
        self, name: str, body: bytes
    ) -> Result[None, TableFailure]:
        """Writes an object; fails if its content would change."""
        known = self.body_by_name.setdefault(name, body)
        assert known == body, f'object {name} was written with two contents'
        return Result.Ok(None)

    def _finish(self, operation: Operation, fault: Fault) -> None:
        if (
            fault == Fault.delayed
            and operation.instance not in self.disconnected
        ):
            self.delayed_answers.append((operation, operation.perform()))
            return
        if (
            operation.instance in self.disconnected
            or fault == Fault.unavailable
        ):
            answer = _failure(TableFailureKind.unavailable)
        elif fault == Fault.none:
            answer = operation.perform()
        elif operation.is_write:
            self._lose_answer(operation, fault)
            answer = _failure(TableFailureKind.unknown)
        else:
            answer = _failure(TableFailureKind.unavailable)
        if not operation.answer.done():
            operation.answer.set_result(answer)

    def _lose_answer(self, operation: Operation, fault: Fault) -> None:
        if fault == Fault.lost:
            operation.perform()
        else:
            self.late_writes.append(operation.perform)


def _failure(kind: TableFailureKind) -> Result[Any, TableFailure]:
    return Result.Error(TableFailure(kind, 'simulated'))


class PlatformTable:
    """The table as one instance sees it."""

    def __init__(self, platform: Platform, instance: str) -> None:
        self._platform = platform
        self._instance = instance

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads one row."""
        return await self._operate(
            lambda: Result.Ok(self._platform.row_by_name.get(name))
        )

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads the rows below a prefix."""
        return await self._operate(
            lambda: Result.Ok(
                [
                    row
                    for name, row in sorted(self._platform.row_by_name.items())
                    if name.startswith(prefix)
                ]
            )
        )

    async def write(
        self, name: str, text: str, *, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        """Writes a row conditionally."""
        return await self._operate(
            lambda: self._platform.write_row(
                name, text, expected_version, write_id
            ),
            is_write=True,
        )

    async def _operate(
        self, perform: Callable[[], Any], *, is_write: bool = False
    ) -> Any:
        return await self._platform.operate(
            self._instance, perform, is_write=is_write
        )


class PlatformObjects:
    """The object store as one instance sees it."""

    def __init__(self, platform: Platform, instance: str) -> None:
        self._platform = platform
        self._instance = instance

    async def get(self, name: str) -> Result[bytes | None, TableFailure]:
        """Reads an object."""
        return await self._platform.operate(
            self._instance,
            lambda: Result.Ok(self._platform.body_by_name.get(name)),
            is_write=False,
        )

    async def put(self, name: str, body: bytes) -> Result[None, TableFailure]:
        """Writes an object."""
        return await self._platform.operate(
            self._instance,
            lambda: self._platform.write_object(name, body),
            is_write=True,
        )


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message in transit between two instances."""

    sender: InstanceRef
    receiver: str
    message: AnyMessage


class Network:
    """Messages between instances; a test delivers them in any order."""

    def __init__(self) -> None:
        self.envelopes: list[Envelope] = []
        self.peers_by_name: dict[str, SimulatedPeers] = {}

    def deliver(self, envelope: Envelope) -> None:
        """Delivers a message to its receiver."""
        receiver = self.peers_by_name.get(envelope.receiver)
        if receiver is not None:
            receiver.receive(envelope)

    def deliver_all(self) -> None:
        """Delivers messages until none is in transit."""
        while self.envelopes:
            self.deliver(self.envelopes.pop(0))


class SimulatedPeers:
    """``Peers`` of one instance on the simulated network."""

    def __init__(self, me: InstanceRef, network: Network) -> None:
        self._me = me
        self._network = network
        self._handlers_by_type: dict[
            type[PeerMessage], list[MessageHandler]
        ] = defaultdict(list)
        network.peers_by_name[me.name] = self

    def send(self, peer_name: str, message: AnyMessage) -> bool:
        """Queues a message for delivery."""
        self._network.envelopes.append(Envelope(self._me, peer_name, message))
        return True

    def handle(
        self, message_type: type[PeerMessage], handler: MessageHandler
    ) -> None:
        """Registers a handler."""
        self._handlers_by_type[message_type].append(handler)

    def silence_ms(self, peer_name: str) -> float:
        """Returns 0: every peer counts as responsive."""
        return 0

    def live_peers(self) -> Sequence[InstanceRef]:
        """All other instances."""
        return [
            peers._me
            for name, peers in self._network.peers_by_name.items()
            if name != self._me.name
        ]

    def receive(self, envelope: Envelope) -> None:
        """Calls the handlers of a message."""
        message = envelope.message
        for handler in self._handlers_by_type[type(message)]:
            handler(envelope.sender, message)


class Cluster:
    """Configuration services on one simulated platform and network."""

    def __init__(self, key_file: Path, operators: Sequence[str]) -> None:
        self.platform = Platform()
        self.network = Network()
        self.now_ms: float = 0
        self.service_by_name: dict[str, ConfigurationService] = {}
        self.changes_by_name: dict[str, list[Declaration]] = {}
        self._starts = 0
        self.key_by_operator: dict[str, OperatorKey] = {
            name: generate_operator_key(name) for name in operators
        }
        lines = [key.public_line for key in self.key_by_operator.values()]
        key_file.write_text('\n'.join(lines), encoding='ascii')
        self.operator_keys = OperatorKeys(key_file)

    def start(
        self, name: str, data_centre: str = 'lodz-a'
    ) -> ConfigurationService:
        """Starts an instance, or restarts it without its state."""
        self._starts += 1
        me = InstanceRef(
            name, f'start-{self._starts}', data_centre, 'rack-0', name
        )
        changes: list[Declaration] = []
        service = ConfigurationService(
            me,
            PlatformTable(self.platform, name),
            PlatformObjects(self.platform, name),
            SimulatedPeers(me, self.network),
            Counters(),
            lambda: self.now_ms,
            changes.append,
            operator_keys=self.operator_keys,
            utc_now=lambda: '2026-12-04T06:00:00+00:00',
        )
        self.service_by_name[name] = service
        self.changes_by_name[name] = changes
        return service

    def sign(self, submission: Submission) -> SignedSubmission:
        """Signs with the key of the named operator."""
        return self.key_by_operator[submission.operator].sign(submission)

    def send_heartbeat(self, sender: str, receiver: str) -> None:
        """Queues a heartbeat and advances the time by 350 ms."""
        self.now_ms += 350
        service = self.service_by_name[sender]
        peers = self.network.peers_by_name[sender]
        heartbeat = Heartbeat(
            number=1,
            echo=0,
            sender=peers._me,
            revision_by_scope=service.revision_by_scope(),
            leaderships=[],
            configuration_age_ms=service.confirmed_age_ms(),
        )
        peers.send(receiver, heartbeat)

    def exchange_heartbeats(self) -> None:
        """Exchanges heartbeats between all pairs until all are up to date."""
        names = sorted(self.service_by_name)
        pairs = list(itertools.permutations(names, 2))
        for sender, receiver in pairs * len(names):
            self.send_heartbeat(sender, receiver)
            self.network.deliver_all()


def submission(
    scope: str,
    text: str,
    *,
    base: int = 0,
    write_id: str = 'write-1',
    operator: str = 'ana',
) -> Submission:
    """Returns a submission; the optional fields have defaults."""
    return Submission(scope, base, write_id, operator, text)


def with_write_id(original: Submission, write_id: str) -> Submission:
    """Returns the same submission with another write id."""
    return msgspec.structs.replace(original, write_id=write_id)
