"""Checks concurrent submissions against a simple oracle.

Operators submit and repeat submissions at any instance while answers of the
platform are lost or late, instances restart, and messages between instances
are lost, duplicated and reordered. The oracle knows only the rows written to
the table and the answers to the operators.
"""

import asyncio
import tempfile
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import permutations
from pathlib import Path

import msgspec
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.builders.configuration import Cluster, Fault
from tests.builders.declarations import (
    intent_text,
    places_text,
    service_text,
)
from yuccadale_core.authority import Submission
from yuccadale_core.codes import ResultCode
from yuccadale_core.declaration import ScopeDeclaration, assemble
from yuccadale_core.declaration_ini import read_scope
from yuccadale_core.messages import RevisionsAnswer, ScopeRevision
from yuccadale_router._internal.configuration.submissions import (
    Accepted,
    Answer,
)

INSTANCES = ('entry-1', 'entry-2', 'entry-3')
_OPERATORS = ('ana', 'rui')
# Enough event loop iterations for all callbacks between two operations.
_IDLE_TICKS = 8
_STALE_MESSAGES = 40
# Final, because another submission has committed base + 1. An invalid
# declaration is not final: one that names an undeclared service is accepted
# when it is repeated after the service was declared.
_FINAL = ResultCode.base_revision_outdated
_NOT_RUN = frozenset(
    (ResultCode.platform_unavailable, ResultCode.declaration_invalid)
)

_indexes = strategies.integers(0, 1 << 16)
_instances = strategies.sampled_from(INSTANCES)
_pairs = strategies.sampled_from(list(permutations(INSTANCES, 2)))
# Rare enough that revisions reach all instances between two failures.
_happens_rarely = strategies.integers(0, 5).map(lambda number: number == 0)
_faults = strategies.sampled_from(
    [Fault.none, Fault.none, Fault.none, *list(Fault)]
)

_SCOPES = ('intent', 'places', 'service.ledger')
_Attempt = tuple[str, asyncio.Task[Answer]]


def _text(scope: str, number: int) -> str:
    if scope == 'intent':
        return intent_text(number)
    if scope == 'places':
        return f'{places_text()}# edition {number}'
    return service_text(concurrency=number)


def _invalid_text(scope: str, number: int) -> str:
    if scope == 'intent':
        return intent_text(-number)
    if scope == 'places':
        return places_text(service='unknown')
    return service_text(slot_count=0)


def _has_sent(machine: 'ConfigurationMachine') -> bool:
    return bool(machine.sent)


def _has_waiting(machine: 'ConfigurationMachine') -> bool:
    return bool(machine.platform.waiting)


def _has_late_write(machine: 'ConfigurationMachine') -> bool:
    return bool(machine.platform.late_writes)


def _has_late_answer(machine: 'ConfigurationMachine') -> bool:
    return bool(machine.platform.delayed_answers)


def _has_message(machine: 'ConfigurationMachine') -> bool:
    return bool(machine.network.envelopes)


@dataclass(slots=True)
class SentSubmission:
    """A submission, its pending attempts and the answers to its operator."""

    submission: Submission
    valid: bool
    attempts: list[_Attempt] = field(default_factory=list)
    uncertain: bool = False
    reported_not_run: bool = False
    accepted_revision: int = 0
    refused: bool = False
    last_code: ResultCode | None = None

    @property
    def has_final_outcome(self) -> bool:
        """Whether an answer reported the final outcome."""
        return bool(self.accepted_revision) or self.refused


@lru_cache(maxsize=4096)
def _declaration(text: str) -> ScopeDeclaration:
    return read_scope(text, 'row').ok.declaration


class ConfigurationMachine(RuleBasedStateMachine):
    """Random sequences of submissions, faults and messages."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._directory = tempfile.TemporaryDirectory()
        self._cluster = Cluster(
            Path(self._directory.name) / 'operators', _OPERATORS
        )
        self.platform = self._cluster.platform
        self.platform.gated = True
        self.network = self._cluster.network
        self.sent: list[SentSubmission] = []
        self._read_by_name: dict[str, asyncio.Task[bool]] = {}
        self._highest_by_instance: dict[str, dict[str, int]] = {}
        for name in INSTANCES:
            self._start(name)

    @rule(
        scope=strategies.sampled_from(_SCOPES),
        name=_instances,
        operator=strategies.sampled_from(_OPERATORS),
        distance=strategies.sampled_from([0, 0, 0, 0, 1, 2]),
        valid=strategies.sampled_from([True, True, True, True, False]),
    )
    def submit(
        self, scope: str, name: str, operator: str, distance: int, valid: bool
    ) -> None:
        """An operator submits on the revision in force or an earlier one."""
        service = self._cluster.service_by_name[name]
        base = service.revision_by_scope().get(scope, 0)
        number = len(self.sent) + 1
        make_text = _text if valid else _invalid_text
        sent = SentSubmission(
            Submission(
                scope=scope,
                base_revision=max(0, base - distance),
                write_id=f'write-{number}',
                operator=operator,
                text=make_text(scope, number),
            ),
            valid,
        )
        self.sent.append(sent)
        self._attempt(sent, name)

    @rule(scope=strategies.sampled_from(_SCOPES), name=_instances)
    def submit_undisturbed(self, scope: str, name: str) -> None:
        """An operator submits; the platform performs all operations."""
        self.submit(scope, name, _OPERATORS[0], distance=0, valid=True)
        self._step_until_idle()

    @rule(
        scope=strategies.sampled_from(_SCOPES),
        name=_instances,
        fault=strategies.sampled_from([Fault.lost, Fault.late]),
    )
    def submit_and_lose_write(
        self, scope: str, name: str, fault: Fault
    ) -> None:
        """The answer of the first write after a submission is lost."""
        self._step_until_idle()
        self.submit(scope, name, _OPERATORS[0], distance=0, valid=True)
        while self.platform.waiting:
            if self.platform.waiting[0].is_write:
                self.platform.step(0, fault)
                break
            self.platform.step(0, Fault.none)
            self._run()
        self._run()
        self._step_until_idle()

    @precondition(_has_sent)
    @rule(index=_indexes, name=_instances)
    def repeat(self, index: int, name: str) -> None:
        """An operator repeats a submission with its id at any instance."""
        self._attempt(self.sent[index % len(self.sent)], name)

    @precondition(_has_waiting)
    @rule(index=_indexes, fault=_faults)
    def step_platform(self, index: int, fault: Fault) -> None:
        """The platform performs an operation, possibly with a fault."""
        self.platform.step(index % len(self.platform.waiting), fault)
        self._run()

    @precondition(_has_waiting)
    @rule()
    def step_all(self) -> None:
        """The platform performs all operations, so that submissions finish."""
        self._step_until_idle()

    @precondition(_has_late_write)
    @rule(index=_indexes)
    def apply_late_write(self, index: int) -> None:
        """A write is applied after its caller has stopped waiting."""
        late_writes = self.platform.late_writes
        late_writes.pop(index % len(late_writes))()

    @precondition(_has_late_answer)
    @rule(index=_indexes)
    def deliver_late_answer(self, index: int) -> None:
        """An answer arrives after other operations have taken effect."""
        self.platform.answer_late(index % len(self.platform.delayed_answers))
        self._run()

    @rule(name=_instances, whole=strategies.booleans())
    def read_table(self, name: str, whole: bool) -> None:
        """An instance reads the table, one read at a time."""
        if name in self._read_by_name:
            return
        reader = self._cluster.service_by_name[name]._reader
        work = reader.read_all() if whole else reader.read_next()
        task = self._loop.create_task(work)
        self._read_by_name[name] = task
        task.add_done_callback(lambda _: self._read_by_name.pop(name, None))
        self._run()

    @rule(pair=_pairs)
    def beat(self, pair: tuple[str, str]) -> None:
        """An instance sends a heartbeat."""
        self._cluster.send_heartbeat(*pair)

    @rule(pair=_pairs)
    def answer_peer(self, pair: tuple[str, str]) -> None:
        """An instance answers an earlier request of a peer."""
        sender, receiver = pair
        revisions = self._cluster.service_by_name[sender].revisions()
        self.network.peers_by_name[sender].send(
            receiver, RevisionsAnswer(revisions)
        )

    @precondition(_has_message)
    @rule(index=_indexes, keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Any message arrives; a copy may arrive again later."""
        envelopes = self.network.envelopes
        envelope = envelopes.pop(index % len(envelopes))
        self.network.deliver(envelope)
        if keep:
            envelopes.append(envelope)
        self.network.envelopes = envelopes[-_STALE_MESSAGES:]
        self._run()

    @rule(name=_instances, happens=_happens_rarely)
    def restart(self, name: str, happens: bool) -> None:
        """An instance and its pending operations are lost; it restarts."""
        if not happens:
            return
        for instance, task in self._attempts():
            if instance == name:
                task.cancel()
        read = self._read_by_name.get(name)
        if read is not None:
            read.cancel()
        previous = self._cluster.service_by_name[name]
        self._loop.run_until_complete(previous.stop())
        self.platform.abandon_operations(name)
        self._run()
        self._start(name)

    @rule(name=_instances, happens=_happens_rarely)
    def cut_off_or_reconnect(self, name: str, happens: bool) -> None:
        """An instance loses its connection to the platform, or regains it."""
        if happens:
            self.platform.disconnected ^= {name}

    @invariant()
    def what_is_in_force_was_written(self) -> None:
        """Each instance has only revisions of the table, never older ones."""
        written = self._written()
        for name, service in self._cluster.service_by_name.items():
            for revision in service.revisions():
                row = written[revision.scope, revision.revision]
                assert revision == row, f'{name} has what no row held'
            numbers = service.revision_by_scope()
            for scope, before in self._highest_by_instance[name].items():
                assert numbers[scope] >= before, f'{name} went back'
            self._highest_by_instance[name] = numbers
            expected = assemble(
                [_declaration(one.text) for one in service.revisions()],
                service.revision_by_scope(),
            )
            assert service.declaration == expected

    @invariant()
    def answers_agree_with_the_table(self) -> None:
        """An accepted submission is row base + 1; a refused one is no row."""
        self._collect_answers()
        written = self._written()
        write_ids = {row.write_id for row in written.values()}
        for sent in self.sent:
            submission = sent.submission
            if sent.accepted_revision:
                following = submission.base_revision + 1
                assert sent.accepted_revision == following, 'other base'
                row = written[submission.scope, sent.accepted_revision]
                assert row.write_id == submission.write_id
                assert row.text == submission.text
            if sent.refused or sent.reported_not_run or not sent.valid:
                applied = submission.write_id in write_ids
                assert not applied, 'refused, but applied'

    def teardown(self) -> None:
        """Ends all faults; then every submission must get an outcome."""
        try:
            self._recover_and_check()
        finally:
            self._close()

    def _close(self) -> None:
        for _, task in self._attempts():
            task.cancel()
        for service in self._cluster.service_by_name.values():
            self._loop.run_until_complete(service.stop())
        self._run()
        self._loop.close()
        self._directory.cleanup()

    def _recover_and_check(self) -> None:
        self.platform.disconnected.clear()
        while self.platform.delayed_answers:
            self.platform.answer_late(0)
        self._step_until_idle()
        while self.platform.late_writes:
            self.platform.late_writes.pop(0)()
        self.answers_agree_with_the_table()
        for sent in self.sent:
            self._collect_answers()
            if not sent.has_final_outcome:
                self._attempt(sent, INSTANCES[0])
                self._step_until_idle()
        self.answers_agree_with_the_table()
        for sent in self.sent:
            invalid = sent.last_code == ResultCode.declaration_invalid
            assert sent.has_final_outcome or invalid
        self._check_order()
        self._check_spread()

    def _check_order(self) -> None:
        """The acknowledged revisions are exactly the written ones."""
        acknowledged = sorted(
            (sent.submission.scope, sent.accepted_revision)
            for sent in self.sent
            if sent.accepted_revision
        )
        written = sorted(self._written())
        assert acknowledged == written, 'written without an acknowledgement'
        newest = self._newest()
        for (scope, number), row in self._written().items():
            if number < newest[scope]:
                name = f'declaration/{scope}/{number}'
                body = self.platform.body_by_name.get(name, b'')
                expected = msgspec.json.encode(row)
                assert body == expected, f'{name} is not kept'

    def _check_spread(self) -> None:
        """One instance reads the table; heartbeats update all others."""
        reader = self._cluster.service_by_name[INSTANCES[0]]._reader
        self._loop.create_task(reader.read_all())
        self._run()
        self._step_until_idle()
        self.network.envelopes.clear()
        self._cluster.exchange_heartbeats()
        for name, service in self._cluster.service_by_name.items():
            assert service.revision_by_scope() == self._newest(), name
            assert not service.status().scopes_behind

    def _newest(self) -> dict[str, int]:
        newest: dict[str, int] = {}
        for scope, number in self._written():
            newest[scope] = max(number, newest.get(scope, 0))
        return newest

    def _written(self) -> dict[tuple[str, int], ScopeRevision]:
        revisions: dict[tuple[str, int], ScopeRevision] = {}
        for row in self.platform.rows_written:
            if row.name.startswith('declaration/'):
                revision = msgspec.json.decode(row.text, type=ScopeRevision)
                assert revision.revision == row.version
                assert row.name == f'declaration/{revision.scope}'
                revisions[revision.scope, row.version] = revision
        return revisions

    def _start(self, name: str) -> None:
        self._cluster.start(name)
        self._highest_by_instance[name] = {}

    def _attempt(self, sent: SentSubmission, name: str) -> None:
        sent.reported_not_run = False
        sent.uncertain = sent.uncertain or bool(sent.attempts)
        service = self._cluster.service_by_name[name]
        signed = self._cluster.sign(sent.submission)
        task = self._loop.create_task(service.submit(signed))
        sent.attempts.append((name, task))
        self._run()

    def _attempts(self) -> list[_Attempt]:
        return [attempt for sent in self.sent for attempt in sent.attempts]

    def _collect_answers(self) -> None:
        for sent in self.sent:
            ended = [task for _, task in sent.attempts if task.done()]
            sent.attempts = [
                attempt for attempt in sent.attempts if not attempt[1].done()
            ]
            for task in ended:
                if task.cancelled():
                    sent.uncertain = True
                else:
                    self._note_answer(sent, task.result())

    def _note_answer(self, sent: SentSubmission, answer: Answer) -> None:
        if answer.is_ok():
            self._note_accepted(sent, answer.ok)
            return
        code = answer.error.refusal.code
        sent.last_code = code
        if code == _FINAL:
            assert not sent.accepted_revision, 'accepted, then refused'
            sent.refused = True
        elif code in _NOT_RUN:
            # An earlier or concurrent attempt with an unknown outcome may
            # still be applied; without one, no row may appear later.
            certain = not (sent.uncertain or sent.accepted_revision)
            sent.reported_not_run = certain
        else:
            assert code == ResultCode.submission_outcome_unknown
            sent.uncertain = True

    def _note_accepted(self, sent: SentSubmission, accepted: Accepted) -> None:
        assert not sent.refused, 'refused, then accepted'
        number = accepted.revision.revision
        assert sent.accepted_revision in {0, number}, 'accepted twice'
        sent.accepted_revision = number

    def _step_until_idle(self) -> None:
        while self.platform.waiting:
            self.platform.step(0, Fault.none)
            self._run()

    def _run(self) -> None:
        self._loop.run_until_complete(_idle())


async def _idle() -> None:
    for _ in range(_IDLE_TICKS):
        await asyncio.sleep(0)
