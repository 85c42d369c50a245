"""The command ``demo``: runs Klatka's system and injects failures."""

import argparse
import asyncio
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from yuccadale_core.codes import ResultCode
from yuccadale_bench._internal.callers import (
    ONCE_PREFIX,
    Balancer,
    CallerKind,
    CallerReport,
    Callers,
)
from yuccadale_bench._internal.cluster import (
    Cluster,
    ClusterPlan,
    apply_declaration,
    fetch_json,
    running_cluster,
)
from yuccadale_bench._internal.plans import klatka
from yuccadale_bench._internal.safety_checks import check_records

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
        await _inject_failures(cluster, seconds)
        report = await sending
    return summarize(report, directory)


async def _inject_failures(cluster: Cluster, seconds: float) -> None:
    """Kills a server and an entry instance, and stops another instance."""
    await asyncio.sleep(seconds / 4)
    print(f'Server {_KILLED_SERVER} is killed.')
    cluster.kill(_KILLED_SERVER)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_KILLED_INSTANCE} is killed.')
    cluster.kill(_KILLED_INSTANCE)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_STOPPED_INSTANCE} is asked to stop.')
    cluster.signal(_STOPPED_INSTANCE, signal.SIGTERM)


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


def summarize(report: CallerReport, directory: Path) -> int:
    """Prints a summary; returns 1 when a guarantee was violated.

    Args:
        directory: directory with the records of all servers.
    """
    # Entry instances replace the ids of repeatable requests, so only the
    # prefix of non-repeatable ones reaches the records.
    safety = check_records(directory, ONCE_PREFIX, report.done_ids)
    _print_report(report)
    print(f'  non-repeatable work run twice  {len(safety.repeated)}')
    print(f'  answered, but without effect   {len(safety.lost)}')
    violated = report.wrong or safety.repeated or safety.lost
    return 1 if violated or not report.answered else 0


def _print_report(report: CallerReport) -> None:
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


def _code_name(code: str) -> str:
    try:
        return f'{code} {ResultCode(int(code)).name}'
    except ValueError:
        return code
