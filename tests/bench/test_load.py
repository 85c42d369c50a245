"""Tests of the load generator and its check of answers."""

import json

import pytest

from yuccadale_bench._internal.load_run import (
    LoadPlan,
    direct_to_server,
    run_load,
)
from yuccadale_bench._internal.work_items import (
    AttemptOutcome,
    WorkItem,
    check_answer,
)
from yuccadale_standins.server import ServerFaults, ServerOptions, run_server

_ITEM = WorkItem(3, 'load-3', 'ledger', 'key-1', repeatable=False)


def _echo(change: dict[str, str]) -> bytes:
    echo = {
        'request_id': 'load-3',
        'key': 'key-1',
        'method': 'POST',
        'path': '/work/3?item=3',
        # Hash of an empty body.
        'body_hash': '2d06800538d394c2',
    }
    return json.dumps(echo | change).encode()


@pytest.mark.parametrize(
    ('change', 'outcome'),
    [
        ({}, AttemptOutcome.done),
        ({'request_id': 'load-4'}, AttemptOutcome.wrong),
        ({'key': 'key-2'}, AttemptOutcome.wrong),
        ({'path': '/work/4?item=4'}, AttemptOutcome.wrong),
        ({'body_hash': '0'}, AttemptOutcome.wrong),
    ],
)
def test_answer_to_another_request_is_wrong(
    change: dict[str, str], outcome: AttemptOutcome
) -> None:
    """Guards against accepting the answer to another request."""
    result = check_answer(_ITEM, 200, {}, _echo(change))
    assert result.outcome == outcome


@pytest.mark.parametrize('outcome', ['not run', 'unknown'])
def test_refusal_keeps_its_outcome(outcome: str) -> None:
    """Guards against counting a refusal as an answer."""
    headers = {'Yuccadale-Outcome': outcome, 'Yuccadale-Code': '2003'}
    result = check_answer(_ITEM, 503, headers, b'')
    assert (result.outcome, result.code) == (AttemptOutcome(outcome), '2003')


@pytest.mark.parametrize('rate', [0, 2000], ids=['closed', 'open'])
async def test_load_is_bounded_and_all_work_is_accounted_for(
    rate: float,
) -> None:
    """Guards against exceeding the bounds and against uncounted items."""
    options = ServerOptions('s1', 'ledger', concurrency=50, checks_grants=False)
    async with run_server(options) as server:
        server.state.apply_faults(ServerFaults(lose_answers=3))
        plan = LoadPlan(
            (server.address,),
            'ledger',
            # More than the requests, so that no arrival is dropped on a busy
            # machine.
            workers=250,
            rate=rate,
            requests=200,
            seconds=30,
            pause_s=0.001,
        )
        report = await run_load(plan, endpoint=direct_to_server)
        runs = server.state.records().runs
    assert report.items_by_outcome['done'] == 200
    assert report.attempts == 203
    assert len(runs) == 203
    assert sum(report.refusals_by_code.values()) == 3
