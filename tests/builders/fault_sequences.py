"""Sequences of faults on a simulated group, given or made from a seed."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from tests.builders.simulated_group import TABLE, Cluster, Violation

INSTANCES = ('i0', 'i1', 'i2')
SERVERS = ('s0', 's1', 's2')
ALL_PROCESSES = (*INSTANCES, *SERVERS, TABLE)
RATE_STEP = 0.005
CONVERGENCE_MS = 20_000
START_LIMIT_MS = 8000
LONGEST_STEP_MS = 2000
MOST_STEPS = 8
# Every fifth sequence has servers that do not check grants.
UNCHECKED_SHARE = 5


@dataclass(frozen=True)
class FaultStep:
    """One fault and the time until the next one.

    Attributes:
        kind: index into the table of faults.
        first: selects the affected process.
        second: selects the other end of a link, or a duration.
    """

    kind: int
    first: int
    second: int
    wait_ms: int


@dataclass(frozen=True)
class FaultSequence:
    """A complete run; equal sequences give equal runs."""

    seed: int
    rate_steps: tuple[int, ...]
    steps: tuple[FaultStep, ...]
    checks_grants: bool = True


def _instance(step: FaultStep) -> str:
    return INSTANCES[step.first % len(INSTANCES)]


def _server(step: FaultStep) -> str:
    return SERVERS[step.first % len(SERVERS)]


def pause_instance(cluster: Cluster, step: FaultStep) -> None:
    """Pauses an instance right after it reads its clock."""
    process = cluster.instance_by_name[_instance(step)].process
    process.pause_next_reading_ms = 100 + step.second * 37 % 3000


def restart_instance(cluster: Cluster, step: FaultStep) -> None:
    """Replaces an instance by one with a new incarnation."""
    cluster.start_instance(_instance(step))


def kill_instance(cluster: Cluster, step: FaultStep) -> None:
    """Ends an instance; it starts again a while later."""
    name = _instance(step)
    cluster.kill_instance(name)
    cluster.world.at(
        cluster.world.now_ms + 500 + step.second * 41 % 4000,
        lambda: _start_if_dead(cluster, name),
    )


def _start_if_dead(cluster: Cluster, name: str) -> None:
    if not cluster.instance_by_name[name].process.alive:
        cluster.start_instance(name)


def cut_link(cluster: Cluster, step: FaultStep) -> None:
    """Cuts the link between two processes."""
    first = ALL_PROCESSES[step.first % len(ALL_PROCESSES)]
    second = ALL_PROCESSES[step.second % len(ALL_PROCESSES)]
    if first != second:
        cluster.cut(first, second)


def cut_one_way(cluster: Cluster, step: FaultStep) -> None:
    """Loses everything in one direction of a link."""
    first = ALL_PROCESSES[step.first % len(ALL_PROCESSES)]
    second = ALL_PROCESSES[step.second % len(ALL_PROCESSES)]
    cluster.network.cut_one_way.add((first, second))


def split(cluster: Cluster, step: FaultStep) -> None:
    """Partitions all processes into two parts."""
    part_bits = step.second
    for index, first in enumerate(ALL_PROCESSES):
        for second in ALL_PROCESSES[index + 1 :]:
            later = ALL_PROCESSES.index(second)
            if (part_bits >> index & 1) != (part_bits >> later & 1):
                cluster.cut(first, second)


def freeze_server(cluster: Cluster, step: FaultStep) -> None:
    """Freezes a server; it handles pending calls when it resumes."""
    server = cluster.server_by_name[_server(step)]
    server.frozen_until = cluster.world.now_ms + 200 + step.second * 31 % 3000


def restart_server(cluster: Cluster, step: FaultStep) -> None:
    """Restarts a server, which loses its state."""
    server = cluster.server_by_name[_server(step)]
    server.restart()
    server.alive = True


def kill_server(cluster: Cluster, step: FaultStep) -> None:
    """Ends a server."""
    cluster.kill_server(_server(step))


def table_down(cluster: Cluster, step: FaultStep) -> None:
    """Makes all operations of the table fail."""
    cluster.table.down = True


def table_faulty(cluster: Cluster, step: FaultStep) -> None:
    """Loses answers of the table, or delays its operations."""
    if step.second % 2:
        cluster.table.lose_answers = True
    else:
        cluster.table.slow_ms = 200 + step.second * 13 % 1500


def end_table_faults(cluster: Cluster, step: FaultStep) -> None:
    """Ends the table's faults."""
    cluster.table.down = False
    cluster.table.lose_answers = False
    cluster.table.slow_ms = 0


def disturb_network(cluster: Cluster, step: FaultStep) -> None:
    """Loses, repeats and delays messages."""
    cluster.network.loss = step.first % 4 * 0.1
    cluster.network.duplication = step.second % 3 * 0.15
    cluster.network.lateness = step.second % 4 * 0.08
    cluster.network.late_ms = 300 + step.first % 5 * 500


def heal_network(cluster: Cluster, step: FaultStep) -> None:
    """Ends the faults of the network."""
    cluster.network.cut.clear()
    cluster.network.cut_one_way.clear()
    cluster.network.loss = 0
    cluster.network.duplication = 0
    cluster.network.lateness = 0


def request_move(cluster: Cluster, step: FaultStep) -> None:
    """Requests a planned move."""
    slot_count = 6
    cluster.requested_moves[step.second % slot_count] = _server(step)


def move_repeatedly(cluster: Cluster, step: FaultStep) -> None:
    """Requests a planned move every 300 ms."""
    for number in range(8):
        later = FaultStep(0, step.first + number, step.second + number // 2, 0)
        cluster.world.at(
            cluster.world.now_ms + 300 * number,
            partial(request_move, cluster, later),
        )


def move_with_duplicates(cluster: Cluster, step: FaultStep) -> None:
    """Requests planned moves while half of the messages are duplicated."""
    cluster.network.duplication = 0.5
    cluster.network.late_ms = 900
    move_repeatedly(cluster, step)


def isolate_pair(cluster: Cluster, step: FaultStep) -> None:
    """Cuts an instance and a server from all other instances.

    Both sides of the partition reach the other servers, so that only the rules
    of the successor prevent two owners.
    """
    isolated = _instance(step)
    server = SERVERS[step.second % len(SERVERS)]
    for name in INSTANCES:
        if name != isolated:
            cluster.cut(isolated, name)
            cluster.cut(server, name)
    if step.first % 2:
        cluster.cut(isolated, TABLE)


def shut_down_instance(cluster: Cluster, step: FaultStep) -> None:
    """Shuts an instance down gracefully; a new one starts later."""
    name = _instance(step)
    instance = cluster.instance_by_name[name]
    if not instance.process.alive or instance.leaving:
        return
    instance.leaving = True
    instance.start(instance.service.hand_over())
    cluster.world.at(
        cluster.world.now_ms + 1500,
        lambda: _replace_leaving(cluster, name),
    )


def _replace_leaving(cluster: Cluster, name: str) -> None:
    if cluster.instance_by_name[name].leaving:
        cluster.start_instance(name)


def drop_from_list(cluster: Cluster, step: FaultStep) -> None:
    """Ends an instance and removes it from the instance list."""
    name = _instance(step)
    cluster.kill_instance(name)
    cluster.listed.pop(name, None)
    cluster.world.at(
        cluster.world.now_ms + 3000, lambda: _start_if_dead(cluster, name)
    )


FAULTS: tuple[Callable[[Cluster, FaultStep], None], ...] = (
    pause_instance,
    pause_instance,
    restart_instance,
    kill_instance,
    kill_instance,
    cut_link,
    cut_link,
    cut_one_way,
    split,
    freeze_server,
    freeze_server,
    restart_server,
    kill_server,
    table_down,
    table_faulty,
    end_table_faults,
    disturb_network,
    heal_network,
    request_move,
    move_repeatedly,
    move_with_duplicates,
    isolate_pair,
    isolate_pair,
    shut_down_instance,
    drop_from_list,
)


def random_sequence(seed: int) -> FaultSequence:
    """Returns the sequence for a seed."""
    rng = random.Random(seed)
    return FaultSequence(
        seed=seed,
        rate_steps=tuple(rng.randint(-2, 2) for _ in (*INSTANCES, *SERVERS)),
        steps=tuple(
            FaultStep(
                kind=rng.randrange(len(FAULTS)),
                first=rng.randrange(1 << 8),
                second=rng.randrange(1 << 12),
                wait_ms=rng.randint(0, LONGEST_STEP_MS),
            )
            for _ in range(rng.randint(1, MOST_STEPS))
        ),
        checks_grants=seed % UNCHECKED_SHARE != 0,
    )


def make_cluster(sequence: FaultSequence) -> Cluster:
    """Returns the simulated group for a sequence, not yet running."""
    names = (*INSTANCES, *SERVERS)
    rates = {
        name: 1 + RATE_STEP * rate_step
        for name, rate_step in zip(names, sequence.rate_steps, strict=True)
    }
    return Cluster(
        seed=sequence.seed,
        rates=rates,
        checks_grants=sequence.checks_grants,
    )


def run_sequence(
    sequence: FaultSequence,
    prepare: Callable[[Cluster], None] = lambda cluster: None,
) -> Cluster:
    """Runs a sequence; raises ``Violation`` when an invariant breaks."""
    cluster = make_cluster(sequence)
    try:
        prepare(cluster)
        _run_steps(cluster, sequence.steps)
        _converge(cluster)
    finally:
        cluster.world.close()
    return cluster


def _run_steps(cluster: Cluster, steps: Sequence[FaultStep]) -> None:
    cluster.run_until(cluster.all_served, START_LIMIT_MS)
    cluster.run(1500)
    for step in steps:
        FAULTS[step.kind % len(FAULTS)](cluster, step)
        cluster.run(step.wait_ms)


def _converge(cluster: Cluster) -> None:
    """Ends all faults and checks that every slot is served again."""
    cluster.heal()
    for name in INSTANCES:
        instance = cluster.instance_by_name[name]
        if instance.leaving or not instance.process.alive:
            cluster.start_instance(name)
    for server in cluster.server_by_name.values():
        server.frozen_until = 0
        if not server.alive:
            server.restart()
            server.alive = True
    try:
        cluster.run_until(cluster.all_served, CONVERGENCE_MS)
    except Violation:
        raise
    except AssertionError as error:
        raise Violation(f'not served after all faults ended: {error}')
