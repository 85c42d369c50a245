"""The command ``demo``: runs Klatka's system and injects failures."""

import argparse
import asyncio
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from yuccadale_core.codes import ResultCode
from yuccadale_bench._internal.callers import (
    REPEATABLE_PREFIX,
    Balancer,
    CallerKind,
    CallerReport,
    Callers,
)
from yuccadale_bench._internal.cluster import (
    Cluster,
    ClusterPlan,
    Node,
    apply_declaration,
    fetch_json,
    running_cluster,
)
from yuccadale_bench._internal.plans import klatka

_KINDS = (
    CallerKind('ledger', 'charge-deposit', repeatable=False),
    CallerKind('ledger', 'read-archive', repeatable=True),
    CallerKind('stagebook', 'confirm-booking', repeatable=False),
    CallerKind('stagebook', 'check-availability', repeatable=True),
)
_CALLERS = 40
_KILLED_SERVER = 'ledger-lodz-a-0'
_KILLED_INSTANCE = 'lodz-a-0'
_STOPPED_INSTANCE = 'krakow-a-1'
_READY_TIMEOUT_S = 30
_POLL_S = 0.1


def run_command(arguments: Sequence[str]) -> int:
    """Runs the demonstration; returns 1 when a guarantee was violated."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench demo')
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--seed', type=int, default=1)
    parsed = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix='yuccadale-demo-') as directory:
        return asyncio.run(
            _demonstrate(klatka(), Path(directory), parsed.seconds, parsed.seed)
        )


async def _demonstrate(
    plan: ClusterPlan, directory: Path, seconds: float, seed: int
) -> int:
    print('Starting the platform stand-in, 32 servers and 10 instances ...')
    async with running_cluster(plan, directory) as cluster:
        print(await apply_declaration(cluster, plan))
        await wait_for_leaders(cluster, plan)
        print(f'Every group has a leader; callers send for {seconds:g} s.')
        callers = Callers(
            Balancer(caller_addresses(cluster)),
            list(_KINDS),
            callers=_CALLERS,
            seconds=seconds,
            seed=seed,
        )
        sending = asyncio.create_task(callers.run())
        runs_by_id = await _inject_failures(cluster, seconds)
        report = await sending
        runs_by_id += await runs_with_effect(cluster.nodes('server'))
    return _print_summary(report, runs_by_id)


async def _inject_failures(cluster: Cluster, seconds: float) -> Counter[str]:
    """Kills a server and an entry instance, and stops another instance.

    Returns:
        executions on the killed server by request id, read just before the
        kill, since its records cannot be read afterwards.
    """
    await asyncio.sleep(seconds / 4)
    killed_server = cluster.node_by_name[_KILLED_SERVER]
    runs_by_id = await runs_with_effect([killed_server])
    print(f'Server {_KILLED_SERVER} is killed.')
    cluster.kill(_KILLED_SERVER)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_KILLED_INSTANCE} is killed.')
    cluster.kill(_KILLED_INSTANCE)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_STOPPED_INSTANCE} is asked to stop.')
    cluster.signal(_STOPPED_INSTANCE, signal.SIGTERM)
    return runs_by_id


def caller_addresses(cluster: Cluster) -> list[str]:
    """Returns the caller addresses of all entry instances."""
    return [node.addresses['caller'] for node in cluster.nodes('entry')]


async def wait_for_leaders(cluster: Cluster, plan: ClusterPlan) -> None:
    """Waits until every group has a leader; raises RuntimeError if not."""
    expected_count = len(plan.centres) * len(plan.services)
    deadline = time.monotonic() + _READY_TIMEOUT_S
    groups: set[str] = set()
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline:
            groups = await _groups_with_leader(cluster, session)
            if len(groups) == expected_count:
                return
            await asyncio.sleep(_POLL_S)
    raise RuntimeError(f'only these groups have a leader: {sorted(groups)}')


async def _groups_with_leader(
    cluster: Cluster, session: aiohttp.ClientSession
) -> set[str]:
    groups = set()
    for address in cluster.operator_addresses():
        status = await fetch_json(session, f'http://{address}/status')
        for group in status['groups']:
            if group['role'] == 'leader':
                groups.add(group['group'])
    return groups


async def runs_with_effect(nodes: list[Node]) -> Counter[str]:
    """Counts executions that took effect on running servers, by request id."""
    runs_by_id: Counter[str] = Counter()
    async with aiohttp.ClientSession() as session:
        for node in nodes:
            if not node.running:
                continue
            records = await fetch_json(
                session, f'http://{node.addresses["serve"]}/records'
            )
            for record in records['runs']:
                runs_by_id[record['request_id']] += record['effect']
    return runs_by_id


def _print_summary(report: CallerReport, runs_by_id: Counter[str]) -> int:
    repeated_ids = [
        request_id
        for request_id, runs in runs_by_id.items()
        if runs > 1 and not request_id.startswith(REPEATABLE_PREFIX)
    ]
    print('\nSummary')
    print(f'  answered                       {report.answered}')
    for code, count in sorted(report.refused_by_code.items()):
        print(f'  refused with {_code_name(code):<30} {count}')
    print(f'  attempts after a refusal       {report.retried}')
    print(f'  entry instance not reachable   {report.unreachable}')
    print(f'  outcome stayed unknown         {report.unknown}')
    gaps_s = sorted(report.longest_gap_by_key_s.values())
    if gaps_s:
        print(f'  longest time until an answer   {gaps_s[-1]:.2f} s')
        late = sum(gap_s > 2 for gap_s in gaps_s)
        print(f'  keys that waited above 2 s     {late} of {len(gaps_s)}')
    print(f'  answers of another request     {report.wrong}')
    print(f'  non-repeatable work run twice  {len(repeated_ids)}')
    return 1 if report.wrong or repeated_ids or not report.answered else 0


def _code_name(code: str) -> str:
    try:
        return f'{code} {ResultCode(int(code)).name}'
    except ValueError:
        return code
