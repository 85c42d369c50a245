"""``demo``: the whole path of Klatka's system, with losses on the way."""

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
_LOST_SERVER = 'ledger-lodz-a-0'
_LOST_INSTANCE = 'lodz-a-0'
_LEAVING_INSTANCE = 'krakow-a-1'
_READY_TIMEOUT_S = 30
_POLL_S = 0.1


def run_command(arguments: Sequence[str]) -> int:
    """Runs the demonstration; the status is 1 when a promise was broken."""
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
        await wait_until_led(cluster, plan)
        print(f'Every group has a leader; callers send for {seconds:g} s.')
        callers = Callers(
            Balancer(caller_addresses(cluster)),
            list(_KINDS),
            callers=_CALLERS,
            seconds=seconds,
            seed=seed,
        )
        sending = asyncio.create_task(callers.run())
        runs_by_id = await _lose_parts(cluster, seconds)
        report = await sending
        runs_by_id += await runs_with_effect(cluster.nodes('server'))
    return _print_summary(report, runs_by_id)


async def _lose_parts(cluster: Cluster, seconds: float) -> Counter[str]:
    """Stops a server and two instances.

    Returns:
        the runs of the server by request id, read just before its end; its
        records end with it.
    """
    await asyncio.sleep(seconds / 4)
    lost_server = cluster.node_by_name[_LOST_SERVER]
    runs_by_id = await runs_with_effect([lost_server])
    print(f'Server {_LOST_SERVER} is killed.')
    cluster.kill(_LOST_SERVER)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_LOST_INSTANCE} is killed.')
    cluster.kill(_LOST_INSTANCE)
    await asyncio.sleep(seconds / 4)
    print(f'Entry instance {_LEAVING_INSTANCE} is asked to stop.')
    cluster.signal(_LEAVING_INSTANCE, signal.SIGTERM)
    return runs_by_id


def caller_addresses(cluster: Cluster) -> list[str]:
    """Returns the caller addresses of all entry instances."""
    return [node.addresses['caller'] for node in cluster.nodes('entry')]


async def wait_until_led(cluster: Cluster, plan: ClusterPlan) -> None:
    """Returns when every group has a leader that serves all its slots."""
    wanted = len(plan.centres) * len(plan.services)
    give_up = time.monotonic() + _READY_TIMEOUT_S
    led: set[str] = set()
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < give_up:
            led = await _led_groups(cluster, session)
            if len(led) == wanted:
                return
            await asyncio.sleep(_POLL_S)
    raise RuntimeError(f'only these groups have a leader: {sorted(led)}')


async def _led_groups(
    cluster: Cluster, session: aiohttp.ClientSession
) -> set[str]:
    led = set()
    for address in cluster.operator_addresses():
        status = await fetch_json(session, f'http://{address}/status')
        for group in status['groups']:
            if group['role'] == 'leader':
                led.add(group['group'])
    return led


async def runs_with_effect(nodes: list[Node]) -> Counter[str]:
    """Counts by request id how often work took effect at live servers."""
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
    twice = [
        name
        for name, runs in runs_by_id.items()
        if runs > 1 and not name.startswith(REPEATABLE_PREFIX)
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
    print(f'  non-repeatable work run twice  {len(twice)}')
    return 1 if report.wrong or twice or not report.answered else 0


def _code_name(code: str) -> str:
    try:
        return f'{code} {ResultCode(int(code)).name}'
    except ValueError:
        return code
