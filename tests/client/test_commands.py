"""Operators apply, compare and read through the client alone."""

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
import pytest

from tests.builders.configuration import Cluster, Fault
from tests.builders.declarations import (
    EXAMPLES,
    example_texts,
    intent_text,
    places_text,
    service_text,
)
from tests.builders.operators import (
    OperatorInstance,
    run_client,
    serving_operators,
)
from tests.builders.peers import free_address
from yuccadale._internal import exit_status
from yuccadale._internal.cli import COMMANDS
from yuccadale_core.authority import (
    OperatorKeys,
    SignedSubmission,
    Submission,
    load_operator_key,
    save_operator_key,
)
from yuccadale_core.instances import InstanceRef

_KLATKA = tuple(
    str(EXAMPLES / 'klatka' / name) for name in example_texts('klatka')
)


@pytest.fixture
def cluster(tmp_path: Path) -> Cluster:
    """Returns two instances and the private key file of operator ``ana``."""
    made = Cluster(tmp_path / 'operators', ['ana'])
    save_operator_key(made.key_by_operator['ana'], tmp_path / 'ana.key')
    made.start('entry-1')
    made.start('entry-2')
    return made


@pytest.fixture
async def instance(
    cluster: Cluster,
) -> AsyncIterator[OperatorInstance]:
    """Serves the operator API of the first instance."""
    async with serving_operators(cluster, 'entry-1') as served:
        yield served


def _write(tmp_path: Path, name: str, text: str) -> str:
    path = tmp_path / name
    path.write_text(text, encoding='utf-8')
    return str(path)


async def _apply(tmp_path: Path, instance: OperatorInstance, *arguments: str):
    key = str(tmp_path / 'ana.key')
    return await run_client(
        'apply', '--key', key, '-i', instance.address, *arguments
    )


async def test_apply_shows_difference_and_base(
    tmp_path: Path, instance: OperatorInstance
) -> None:
    """Guards against a change that the operator did not see before."""
    applied = await _apply(tmp_path, instance, *_KLATKA)
    assert applied.status == exit_status.OK, applied.errors
    assert 'on base revision 0' in applied.output
    changed = _write(tmp_path, 'intent.ini', intent_text(9))
    compared = await run_client('diff', changed, '-i', instance.address)
    assert compared.status == exit_status.DIFFERENT
    assert '[weights] churn: 1 -> 9' in compared.output
    again = await _apply(tmp_path, instance, changed)
    assert 'on base revision 1' in again.output
    assert '[weights] churn: 1 -> 9' in again.output
    assert 'committed as revision 2' in again.output
    unchanged = await _apply(tmp_path, instance, changed)
    assert 'no difference' in unchanged.output
    shown = await run_client('show', 'intent', '1', '-i', instance.address)
    assert 'unavailable_time = 5' in shown.output
    history = await run_client(
        'history', 'intent', '--json', '-i', instance.address
    )
    assert [one['revision'] for one in history.document['revisions']] == [2, 1]


async def test_wait_names_instances_that_are_behind(
    tmp_path: Path, cluster: Cluster, instance: OperatorInstance
) -> None:
    """Guards against a change that is said to be in force everywhere."""
    intent = _write(tmp_path, 'intent.ini', intent_text(2))
    gone = free_address()
    async with serving_operators(cluster, 'entry-2') as second:
        instance.peers = [
            InstanceRef('entry-2', 'i', 'dc', 'rack', 'peer', second.address),
            InstanceRef('entry-3', 'i', 'dc', 'rack', 'peer', gone),
        ]
        waited = await _apply(
            tmp_path, instance, intent, '--wait', '--wait-timeout', '0.3'
        )
        assert waited.status == exit_status.NOT_EVERYWHERE
        assert f'{second.address} is behind: cut off' in waited.output
        assert 'intent 0 of 1' in waited.output
        assert f'{gone}: Connection refused' in waited.output
        instance.peers.pop()
        cluster.exchange_heartbeats()
        intent = _write(tmp_path, 'intent.ini', intent_text(3))
        in_force = await _apply(tmp_path, instance, intent)
        cluster.exchange_heartbeats()
        waited = await _apply(tmp_path, instance, intent, '--wait')
    assert in_force.status == waited.status == exit_status.OK
    assert 'In force on all 2 instances' in waited.output


async def test_lost_needs_the_option(
    tmp_path: Path, instance: OperatorInstance
) -> None:
    """Guards against a second owner by a slip in a file."""
    ledger = _write(tmp_path, 'ledger.ini', service_text())
    live = _write(tmp_path, 'places.ini', places_text())
    await _apply(tmp_path, instance, ledger, live)
    lost = _write(tmp_path, 'lost.ini', places_text('lost'))
    refused = await _apply(tmp_path, instance, lost)
    assert refused.status == exit_status.NEEDS_CONFIRMATION
    assert 'lodz-a' in refused.errors
    confirmed = await _apply(tmp_path, instance, lost, '--confirm-lost')
    assert confirmed.status == exit_status.OK


async def test_invalid_second_file_stops_the_first(
    tmp_path: Path, cluster: Cluster, instance: OperatorInstance
) -> None:
    """Guards against half of a set of files that were given together."""
    ledger = _write(tmp_path, 'ledger.ini', service_text())
    places = _write(tmp_path, 'places.ini', places_text(service='legder'))
    refused = await _apply(tmp_path, instance, ledger, places, '--json')
    assert refused.status == exit_status.INVALID_DECLARATION
    assert refused.document['errors'][0]['allowed'] == 'ledger'
    assert not cluster.platform.rows_written


async def test_failure_names_what_was_committed_before(
    tmp_path: Path, cluster: Cluster, instance: OperatorInstance
) -> None:
    """Guards against an operator who cannot tell which files took effect."""
    ledger = _write(tmp_path, 'ledger.ini', service_text())
    places = _write(tmp_path, 'places.ini', places_text())
    # The first submission needs a read and a write, and its hint as many.
    cluster.platform.faults = [
        Fault.none if number < 2 else Fault.unavailable for number in range(9)
    ]
    refused = await _apply(tmp_path, instance, ledger, places)
    assert refused.status == exit_status.PLATFORM_DOWN
    assert 'Committed before: service.ledger revision 1' in refused.errors


async def test_outdated_base_names_the_winner(
    tmp_path: Path, instance: OperatorInstance
) -> None:
    """Guards against an overwritten change of a colleague."""
    for churn in (1, 2):
        intent = _write(tmp_path, 'intent.ini', intent_text(churn))
        await _apply(tmp_path, instance, intent)
    mine = _write(tmp_path, 'mine.ini', intent_text(3))
    refused = await _apply(tmp_path, instance, mine, '--base', '1')
    assert refused.status == exit_status.OUTDATED
    assert 'ana submitted revision 2' in refused.errors
    assert '[weights] churn: 1 -> 2' in refused.errors


async def test_unknown_outcome_is_resolved_by_repeating(
    tmp_path: Path, cluster: Cluster, instance: OperatorInstance
) -> None:
    """Guards against a second commit after a lost answer."""
    # The write and the read that would resolve it fail, then all is well.
    cluster.platform.faults = [Fault.none, Fault.lost, Fault.unavailable]
    intent = _write(tmp_path, 'intent.ini', intent_text(1))
    applied = await _apply(tmp_path, instance, intent, '--json')
    assert applied.document['committed'][0]['repeated']
    names = [row.name for row in cluster.platform.rows_written]
    assert names.count('declaration/intent') == 1


async def test_platform_down_has_its_own_words(
    tmp_path: Path, cluster: Cluster, instance: OperatorInstance
) -> None:
    """Guards against a platform outage that looks like a refusal."""
    cluster.platform.disconnected = {'entry-1'}
    intent = _write(tmp_path, 'intent.ini', intent_text(1))
    refused = await _apply(tmp_path, instance, intent)
    assert refused.status == exit_status.PLATFORM_DOWN
    assert 'what is in force stays so' in refused.errors


async def test_unreachable_instance_has_its_own_words(
    tmp_path: Path,
) -> None:
    """Guards against a traceback where an address is wrong."""
    address = free_address()
    for command in ('status', 'history', 'counters'):
        ended = await run_client(command, '-i', address)
        assert f'{address}: Connection refused' in ended.errors + ended.output
    intent = _write(tmp_path, 'intent.ini', intent_text(1))
    no_key = await run_client('apply', intent, '-i', address)
    assert no_key.status == exit_status.USAGE
    assert 'YUCCADALE_KEY' in no_key.errors


async def test_reading_commands(instance: OperatorInstance) -> None:
    """Guards against commands that do not fit the operator API."""
    at = ('-i', instance.address)
    status = await run_client('status', *at)
    assert 'entry-1' in status.output
    assert 'ledger/lodz-a/0' in status.output
    owner = await run_client('owners', 'ledger', 'a/b <c>&é', '--json', *at)
    assert owner.document['key'] == 'a/b <c>&é'
    unknown = await run_client('owners', 'unknown', 'k', *at)
    assert unknown.status == exit_status.NOT_FOUND
    slow = await run_client('slow', 'ledger', *at)
    assert 'r-1' in slow.output
    counters = await run_client('counters', 'refusal.', '--json', *at)
    assert counters.document == {instance.address: {'refusal.queue_full': 3}}


async def test_offline_commands(tmp_path: Path) -> None:
    """Guards against commands that need an instance without reason."""
    checked = await run_client('check', *_KLATKA)
    assert checked.status == exit_status.OK
    broken = _write(tmp_path, 'intent.ini', intent_text(-1))
    refused = await run_client('check', broken)
    assert refused.status == exit_status.INVALID_DECLARATION
    assert f"{broken}:5: [weights] churn: found '-1'" in refused.errors
    explained = await run_client('explain', '5002')
    assert 'Another submission came first' in explained.output
    private = tmp_path / 'rui.key'
    made = await run_client('keygen', 'rui', str(private), '--json')
    public = _write(tmp_path, 'public', made.document['public_line'])
    assert OperatorKeys(Path(public)).reload() is False
    assert load_operator_key(private).public_line in Path(public).read_text()


@pytest.mark.parametrize('name', sorted(COMMANDS))
async def test_help_has_examples(name: str) -> None:
    """Guards against a command without an example."""
    shown = await run_client('help', name)
    assert COMMANDS[name].summary in shown.output
    assert f'yuccadale {name}' in shown.output


async def test_health_tells_the_balancer(
    instance: OperatorInstance,
) -> None:
    """Guards against new callers at an instance that shuts down."""
    url = f'http://{instance.address}/health'
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            assert response.status == 200
        instance.draining = True
        async with session.get(url) as response:
            assert response.status == 503
            assert await response.json() == {'state': 'draining'}


_SURROGATE = SignedSubmission(Submission('intent', 0, 'w', 'ana', 'HERE'), '')


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{}',
        b'[1]',
        b'\xff',
        msgspec.json.encode(_SURROGATE).replace(
            b'HERE', '\N{REVERSE SOLIDUS}ud800'.encode()
        ),
    ],
)
async def test_malformed_submission_is_refused(
    instance: OperatorInstance, body: bytes
) -> None:
    """Guards against a traceback for a hostile body."""
    url = f'http://{instance.address}/declarations'
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=body) as response:
            assert response.status == 422
            assert (await response.json())['code'] == 5001
