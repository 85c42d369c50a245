"""The command ``configuration``: time until a submission is in force."""

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from yuccadale_bench._internal.cluster import (
    Cluster,
    ClusterPlan,
    apply_declaration,
    plan_cluster,
    start_nodes,
    write_settings,
)
from yuccadale_bench._internal.configuration_costs import (
    Costs,
    cost_lines,
    read_costs,
)
from yuccadale_bench._internal.configuration_edits import Editor
from yuccadale_bench._internal.configuration_watch import (
    InstanceWatch,
    submit_to_any,
)
from yuccadale_bench._internal.demo import wait_for_leaders
from yuccadale_bench._internal.plans import klatka

_RESTARTED_INSTANCE = 'lodz-a-1'
_PARTITIONED_CENTRE = 'krakow-b'
_LEADERSHIP_SPREAD_S = 5
_IDLE_S = 10
_PAUSE_LIMIT_S = 0.1
_TARGET_S = 5
_WAIT_TIMEOUT_S = 30
_OTHER_PEER_KEY = 'key-of-a-cut-data-centre'


@dataclass(slots=True)
class Measurements:
    """Results of one run; times are in seconds.

    Attributes:
        worst_by_submission: from the acknowledgement until the submission is
            in force on all running instances of reachable data centres.
        commit_by_submission: from the submission until its acknowledgement.
        restarted_s: from the start of listening until a restarted instance
            has all revisions that were acknowledged by then.
        restarted_down_s: the same while the platform is down.
        healed_s: the same for the partitioned data centre, from the end of
            the partition.
        missing_revisions: revisions that the partitioned data centre lacked
            at the end of the partition.
    """

    worst_by_submission: list[float] = field(default_factory=list)
    commit_by_submission: list[float] = field(default_factory=list)
    restarted_s: float = 0
    restarted_down_s: float = 0
    healed_s: float = 0
    missing_revisions: int = 0


def run_command(arguments: Sequence[str]) -> int:
    """Runs the measurement; returns 1 when the target is missed."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench configuration')
    parser.add_argument('--submissions', type=int, default=200)
    parser.add_argument('--seed', type=int, default=1)
    parsed = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix='yuccadale-conf-') as directory:
        return asyncio.run(
            _measure(Path(directory), parsed.submissions, parsed.seed)
        )


async def _measure(directory: Path, submissions: int, seed: int) -> int:
    plan = klatka()
    cluster = plan_cluster(plan, directory)
    partition = _Partition(cluster)
    try:
        await start_nodes(cluster)
        await apply_declaration(cluster, plan)
        await wait_for_leaders(cluster, plan)
        # Heartbeats carry each change of leadership for two seconds; these
        # messages must not count as idle costs.
        await asyncio.sleep(_LEADERSHIP_SPREAD_S)
        async with aiohttp.ClientSession() as session:
            run = _Run(cluster, plan, partition, session, seed)
            return await run.measure(submissions)
    finally:
        await cluster.stop_all()


async def set_faults(
    session: aiohttp.ClientSession, platform_url: str, faults: dict[str, Any]
) -> None:
    """Sets faults of the platform stand-in."""
    async with session.post(f'{platform_url}/faults', json=faults) as answer:
        answer.raise_for_status()


class _Partition:
    """Partitions one data centre from the platform and all other peers.

    Its instances read a separate file of peer keys. During the partition the
    file holds another key, so that both sides reject each other's messages.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._platform_url = cluster.platform_url
        self._keys = (cluster.directory / 'peer-keys').read_text()
        directory = cluster.directory / _PARTITIONED_CENTRE
        directory.mkdir()
        self._key_path = directory / 'peer-keys'
        self._key_path.write_text(self._keys)
        operator_keys = (cluster.directory / 'operator-keys').read_text()
        (directory / 'operator-keys').write_text(operator_keys)
        for node in cluster.nodes('entry'):
            if node.data_centre == _PARTITIONED_CENTRE:
                path = write_settings(directory, node, cluster.platform_url)
                node.command[-1] = str(path)

    async def begin(self, session: aiohttp.ClientSession) -> None:
        """Starts the partition; instances reload keys within a second."""
        self._key_path.write_text(f'{_OTHER_PEER_KEY}\n')
        await self._set_partitioned(session, [_PARTITIONED_CENTRE])

    async def end(self, session: aiohttp.ClientSession) -> None:
        """Ends the partition."""
        self._key_path.write_text(self._keys)
        await self._set_partitioned(session, [])

    async def _set_partitioned(
        self, session: aiohttp.ClientSession, names: list[str]
    ) -> None:
        await set_faults(session, self._platform_url, {'cut': names})


class _Run:
    """One sequence of submissions with its faults."""

    def __init__(
        self,
        cluster: Cluster,
        plan: ClusterPlan,
        partition: _Partition,
        session: aiohttp.ClientSession,
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._partition = partition
        self._session = session
        self._random = random.Random(seed)
        self._editor = Editor(
            plan.declaration_files, cluster.operator_private_key, self._random
        )
        self._measurements = Measurements()
        self._watch_by_name = {
            node.name: InstanceWatch(session, node.addresses['operator'])
            for node in cluster.nodes('entry')
        }
        self._unavailable: set[str] = set()
        self._faults: list[asyncio.Task[None]] = []

    async def measure(self, submissions: int) -> int:
        """Measures idle costs and submissions; returns the exit status."""
        idle_before = await self._read_costs()
        await asyncio.sleep(_IDLE_S)
        busy_before = await self._read_costs()
        for number in range(submissions):
            await self._start_fault(number, submissions)
            await self._submit()
            pause_s = self._random.uniform(0, _PAUSE_LIMIT_S)
            await asyncio.sleep(pause_s)
        await asyncio.gather(*self._faults)
        busy_after = await self._read_costs()
        await self._restart_without_platform()
        lines = cost_lines(
            busy_before - idle_before, busy_after - busy_before, submissions
        )
        return self._print_report(lines)

    async def _submit(self) -> None:
        signed = self._editor.next_submission()
        scope = signed.submission.scope
        available = self._available_instances()
        self._random.shuffle(available)
        sent_at = time.monotonic()
        revision = await submit_to_any(
            self._session,
            [self._watch_by_name[name].address for name in available],
            signed,
        )
        acknowledged_at = time.monotonic()
        self._editor.record_revision(scope, revision)
        reached_at = await asyncio.gather(
            *(
                self._watch_by_name[name].wait_for_revisions(
                    {scope: revision}, _WAIT_TIMEOUT_S
                )
                for name in available
                if name not in self._unavailable
            )
        )
        self._measurements.commit_by_submission.append(
            acknowledged_at - sent_at
        )
        self._measurements.worst_by_submission.append(
            max(reached_at) - acknowledged_at
        )

    async def _start_fault(self, number: int, submissions: int) -> None:
        if number == submissions // 4:
            self._unavailable.add(_RESTARTED_INSTANCE)
            self._cluster.kill(_RESTARTED_INSTANCE)
            await self._cluster.wait_for_exit(_RESTARTED_INSTANCE)
            self._faults.append(asyncio.create_task(self._restart()))
        elif number == submissions // 2:
            self._unavailable.update(self._partitioned_instances())
            await self._partition.begin(self._session)
        elif number == 3 * submissions // 4:
            self._faults.append(asyncio.create_task(self._end_partition()))

    async def _restart(self) -> None:
        await self._cluster.start(_RESTARTED_INSTANCE)
        self._measurements.restarted_s = await self._catch_up(
            [_RESTARTED_INSTANCE]
        )

    async def _restart_without_platform(self) -> None:
        """Restarts an instance that can get the revisions only from peers."""
        url = self._cluster.platform_url
        self._cluster.kill(_RESTARTED_INSTANCE)
        await self._cluster.wait_for_exit(_RESTARTED_INSTANCE)
        await set_faults(self._session, url, {'down': True})
        await self._cluster.start(_RESTARTED_INSTANCE)
        self._measurements.restarted_down_s = await self._catch_up(
            [_RESTARTED_INSTANCE]
        )
        await set_faults(self._session, url, {'down': False})

    async def _end_partition(self) -> None:
        self._measurements.missing_revisions = await self._missing_revisions()
        await self._partition.end(self._session)
        self._measurements.healed_s = await self._catch_up(
            self._partitioned_instances()
        )

    async def _catch_up(self, names: list[str]) -> float:
        began_at = time.monotonic()
        expected = self._editor.revision_by_scope()
        reached_at = await asyncio.gather(
            *(
                self._watch_by_name[name].wait_for_revisions(
                    expected, _WAIT_TIMEOUT_S
                )
                for name in names
            )
        )
        self._unavailable.difference_update(names)
        return max(reached_at) - began_at

    async def _missing_revisions(self) -> int:
        expected = self._editor.revision_by_scope()
        revisions_by_instance = [
            await self._watch_by_name[name].revisions()
            for name in self._partitioned_instances()
        ]
        return min(
            sum(expected.values()) - sum(in_force.values())
            for in_force in revisions_by_instance
        )

    def _partitioned_instances(self) -> list[str]:
        return [
            node.name
            for node in self._cluster.nodes('entry')
            if node.data_centre == _PARTITIONED_CENTRE
        ]

    def _available_instances(self) -> list[str]:
        return [
            name
            for name in self._watch_by_name
            if name not in self._unavailable
        ]

    async def _read_costs(self) -> Costs:
        addresses = [
            watch.address
            for name, watch in self._watch_by_name.items()
            if name != _RESTARTED_INSTANCE
        ]
        return await read_costs(
            self._session, self._cluster.platform_url, addresses
        )

    def _print_report(self, lines: list[str]) -> int:
        measurements = self._measurements
        worst = sorted(measurements.worst_by_submission)
        commits = sorted(measurements.commit_by_submission)
        middle = len(worst) // 2
        print(
            f'submissions: {len(worst)}; in force on all live instances of'
            f' reachable data centres after: median {worst[middle]:.3f} s,'
            f' worst {worst[-1]:.3f} s'
        )
        print(
            f'submission until acknowledgement: median'
            f' {commits[middle]:.3f} s, worst {commits[-1]:.3f} s'
        )
        print(
            f'{_RESTARTED_INSTANCE} killed and restarted: has all revisions'
            f' {measurements.restarted_s:.3f} s after it listens'
        )
        print(
            f'the same while the platform is down:'
            f' {measurements.restarted_down_s:.3f} s'
        )
        print(
            f'{_PARTITIONED_CENTRE} partitioned: has all revisions'
            f' {measurements.healed_s:.3f} s after the partition ended; it'
            f' lacked {measurements.missing_revisions} revisions'
        )
        for line in lines:
            print(line)
        slowest = max(
            worst[-1], measurements.restarted_s, measurements.healed_s
        )
        met = slowest <= _TARGET_S
        print(
            f'target {_TARGET_S} s for the worst: {"met" if met else "MISSED"}'
        )
        return 0 if met else 1
