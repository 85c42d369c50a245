"""Checks under random faults that reported outcomes match what ran.

``YUCCADALE_FUZZ_SEQUENCES`` and ``YUCCADALE_FUZZ_SEED`` configure a long run,
see docs/proofs-requests.md.
"""

import asyncio
import itertools
import os
from collections.abc import Callable
from typing import Any

import pytest
from expression import Result
from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.builders.fuzz_world import FuzzWorld, Work
from tests.builders.request_world import SLOT_COUNT, calendar, deposit
from tests.builders.virtual_time import VirtualTimeLoop, virtual_ms
from yuccadale_core.messages import ForwardAnswer
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import TargetFailureKind
from yuccadale_router._internal.requests import at_most_once, counter_names
from yuccadale_router._internal.requests.forwarding import Forwarder
from yuccadale_router._internal.requests.idempotency import RecordStore
from yuccadale_router._internal.requests.jobs import Job
from yuccadale_router._internal.requests.parsing import CallerRequest

_CI_SEQUENCES = 400
_STEPS = 50
_RECOVERY_MS = 8000

_nodes = st.sampled_from(('a', 'b', 'c'))
_servers = st.sampled_from(('s0', 's1', 's2'))
_keys = st.sampled_from(('stage-1', 'stage-2', 'rig-7', 'camera-3'))
_routes = st.lists(_nodes, min_size=1, max_size=3)
_pauses = st.sampled_from((1, 3, 20, 100, 700, 3000))


class GuaranteeViolationError(AssertionError):
    """A caller got a wrong outcome or answer, or work ran twice."""


def _expect_none(violations: list[str]) -> None:
    if violations:
        raise GuaranteeViolationError(violations)


class FaultyGroup(RuleBasedStateMachine):
    """Callers of one group, with faults of its instances, links and servers."""

    sequences = 0

    def __init__(self) -> None:
        super().__init__()
        FaultyGroup.sequences += 1
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.names = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []
        self.world = self.do(FuzzWorld)

    def do(self, action: Callable[..., Any], *args: Any) -> Any:
        """Runs an action on the loop, then advances it by a millisecond."""

        async def act() -> Any:
            done = action(*args)
            await asyncio.sleep(0.001)
            return done

        return self.loop.run_until_complete(act())

    @rule(key=_keys, nodes=_routes, aged=st.booleans())
    def ask_once(self, key: str, nodes: list[str], aged: bool) -> None:
        """Sends new non-repeatable work through one or more instances."""
        name = f'work-{next(self.names)}'
        request = deposit(name, key, body=name.encode(), deadline_ms=1500)
        self.do(self._ask_new, request, nodes, aged)

    @rule(key=_keys, nodes=_routes)
    def ask_repeatable(self, key: str, nodes: list[str]) -> None:
        """Sends new repeatable work through each of the instances."""
        for node in nodes:
            body = f'work-{next(self.names)}'.encode()
            request = calendar(key, body=body, deadline_ms=1500)
            self.do(self._ask_new, request, [node], False)

    @rule(number=st.integers(0, 3), node=_nodes, pause_ms=_pauses)
    def ask_again(self, number: int, node: str, pause_ms: int) -> None:
        """Sends recent work again through one instance."""
        self.wait(pause_ms)
        if self.world.works:
            recent = self.world.works[-4:]
            self.do(self.world.ask, recent[-1 - number % len(recent)], node)

    @rule(number=st.integers(0, 5))
    def caller_goes(self, number: int) -> None:
        tasks = [task for work in self.world.works for task in work.tasks]
        for task in tasks[-1 - number : len(tasks) - number]:
            self.do(task.cancel)

    @rule(passed_ms=_pauses)
    def wait(self, passed_ms: int) -> None:
        self.loop.run_until_complete(asyncio.sleep(passed_ms / 1000))

    @rule(keep_records=st.booleans())
    def replace_leader(self, keep_records: bool) -> None:
        """Makes the standby leader, or the third instance without records."""
        world = self.world
        third = next(
            name
            for name in world.node_by_name
            if name not in {world.leader, world.standby}
        )
        new, standby = third, world.standby
        if keep_records:
            new, standby = standby, third
        self.do(world.replace_leader, new, standby)

    @rule(
        key=_keys,
        node=_nodes,
        keep_records=st.booleans(),
        pause_ms=st.integers(0, 4),
    )
    def ask_around_takeover(
        self, key: str, node: str, keep_records: bool, pause_ms: int
    ) -> None:
        """Replaces the leader while work is running, then sends it again."""
        self.ask_once(key, [node], aged=True)
        self.wait(pause_ms)
        self.replace_leader(keep_records)
        self.ask_again(0, node, 100)

    @rule(name=_nodes)
    def restart(self, name: str) -> None:
        self.do(self.world.restart, name)

    @rule(slot=st.integers(0, SLOT_COUNT - 1), server=_servers)
    def move_slot(self, slot: int, server: str) -> None:
        work = self.world.move_slot(slot, server)
        self.tasks.append(self.loop.create_task(work))

    @rule(server=_servers, kind=st.sampled_from(TargetFailureKind))
    def fail_next(self, server: str, kind: TargetFailureKind) -> None:
        self.world.server_by_name[server].failures.append(kind)

    @rule(server=_servers, late_ms=st.sampled_from((5, 200, 900)))
    def read_late(self, server: str, late_ms: int) -> None:
        """Drops a connection before the server has read its request."""
        self.world.server_by_name[server].late_ms.append(late_ms)

    @rule(server=_servers, frozen=st.booleans())
    def freeze_or_thaw(self, server: str, frozen: bool) -> None:
        self.do(self.world.freeze if frozen else self.world.thaw, server)

    @rule(server=_servers)
    def give_up_server(self, server: str) -> None:
        self.do(self.world.give_up_server, server)

    @rule(first=_nodes, second=_nodes)
    def cut(self, first: str, second: str) -> None:
        if first != second:
            self.do(self.world.cut, first, second)

    @rule()
    def mend(self) -> None:
        self.do(self.world.restore_links)

    @rule(fault=st.sampled_from(('drop', 'delay', 'duplicate', 'cross')))
    def disturb_link(self, fault: str) -> None:
        self.world.faults.append(fault)

    @rule(number=st.integers(0, 20))
    def replay(self, number: int) -> None:
        self.do(self.world.replay, number)

    @invariant()
    def reported_outcomes_match_what_ran(self) -> None:
        """Guards every guarantee about outcomes."""
        _expect_none(self.world.violations())

    def teardown(self) -> None:
        """Ends the faults, waits for recovery and checks once more."""
        for name in self.world.server_by_name:
            self.do(self.world.thaw, name)
        self.do(self.world.restore_links)
        self.wait(_RECOVERY_MS)
        violations = self.world.violations()
        open_tasks = [
            task for task in asyncio.all_tasks(self.loop) if not task.done()
        ]
        for task in open_tasks:
            task.cancel()
        self.wait(1)
        self.loop.close()
        asyncio.set_event_loop(None)
        _expect_none(violations)
        assert not open_tasks

    def _ask_new(
        self,
        request: CallerRequest,
        nodes: list[str],
        aged: bool,
    ) -> None:
        work = Work(request, virtual_ms(), aged)
        self.world.works.append(work)
        for node in nodes:
            self.world.ask(work, node)


def _fuzz(sequences: int, *phases: Phase) -> None:
    """Runs the state machine; its seed is fixed unless set by environment."""
    FaultyGroup.sequences = 0
    given_seed = os.environ.get('YUCCADALE_FUZZ_SEED')
    machine = FaultyGroup
    if given_seed is not None:
        machine = with_seed(int(given_seed))(type('Seeded', (machine,), {}))
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=sequences,
            stateful_step_count=_STEPS,
            derandomize=given_seed is None,
            deadline=None,
            database=None,
            report_multiple_bugs=False,
            phases=(Phase.generate, *phases),
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_reported_outcomes_match_what_ran() -> None:
    """Guards at-most-once runs, correct refusals and matching answers."""
    sequences = int(os.environ.get('YUCCADALE_FUZZ_SEQUENCES', _CI_SEQUENCES))
    _fuzz(sequences, Phase.shrink)


def _no_refusal(*_args: object, **_named: object) -> None:
    """Replaces a check by one that never refuses."""


def _any_pending(
    forwarder: Forwarder, _sender: object, answer: ForwardAnswer
) -> str | None:
    """Replaces the matching of answers by a test of the forward id alone."""
    known = answer.forward_id in forwarder._pending_by_id
    return None if known else counter_names.ANSWER_LATE


async def _not_replicated(
    _steps: object, job: Job, server_name: str
) -> Result[None, Refusal]:
    job.replicated_for_server = server_name
    if job.record is not None:
        job.record.server = server_name
    return Result.Ok(None)


@pytest.mark.parametrize(
    ('removed', 'owner', 'name', 'stand_in'),
    [
        ('duplicate check', RecordStore, 'find', _no_refusal),
        ('tenure rule', at_most_once, 'tenure_refusal', _no_refusal),
        ('answer matching', Forwarder, '_mismatch', _any_pending),
        (
            'replication before the write',
            at_most_once.AtMostOnce,
            '_replicate_started',
            _not_replicated,
        ),
    ],
)
def test_removed_rule_is_found(
    monkeypatch: pytest.MonkeyPatch,
    removed: str,
    owner: object,
    name: str,
    stand_in: object,
) -> None:
    """Guards against a fuzzer that does not detect a removed rule."""
    monkeypatch.setattr(owner, name, stand_in)
    with pytest.raises(GuaranteeViolationError):
        _fuzz(_CI_SEQUENCES)
    print(f'| {removed} | {FaultyGroup.sequences} |')
