"""The command ``load``: sends requests and checks every answer."""

import argparse
import json
from collections.abc import Sequence

import uvloop

from yuccadale_bench._internal.load_run import (
    LoadPlan,
    direct_to_server,
    run_load,
    through_entry,
)


def run_command(arguments: Sequence[str]) -> int:
    """Sends a load and prints a JSON summary; returns 1 on a wrong answer."""
    options = _parser().parse_args(arguments)
    endpoint = direct_to_server if options.direct else through_entry
    report = uvloop.run(run_load(_plan(options), endpoint=endpoint))
    print(json.dumps(report.summary()))
    return 1 if report.items_by_outcome['wrong'] else 0


def _plan(options: argparse.Namespace) -> LoadPlan:
    return LoadPlan(
        addresses=tuple(options.addresses.split(',')),
        service=options.service,
        workers=options.workers,
        rate=options.rate,
        requests=options.requests,
        seconds=options.seconds,
        once_share=options.once_share,
        keys=options.keys,
        deadline_ms=options.deadline_ms,
        item_limit_s=options.item_limit_s,
        pause_s=options.pause_s,
        attempts=options.attempts,
        seed=options.seed,
        name=options.name,
        body=b'x' * options.body_bytes,
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='yuccadale_bench load')
    parser.add_argument(
        '--addresses', required=True, help='host:port, separated by commas'
    )
    parser.add_argument('--service', default='ledger')
    parser.add_argument(
        '--direct',
        action='store_true',
        help='send to servers that do not check grants',
    )
    defaults = LoadPlan((), '')
    for name in (
        'workers',
        'rate',
        'requests',
        'seconds',
        'once_share',
        'keys',
        'deadline_ms',
        'item_limit_s',
        'pause_s',
        'attempts',
        'seed',
        'name',
    ):
        default = getattr(defaults, name)
        flag = name.replace('_', '-')
        parser.add_argument(f'--{flag}', type=type(default), default=default)
    parser.add_argument('--body-bytes', type=int, default=0)
    return parser
