"""Decoding of configurations and server entries."""

import json
from collections.abc import Callable

import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import HOST, configuration, route
from yuccadale_edge.instance import InvalidRowError, Server, ServerState
from yuccadale_platform.adapter import decode_configuration, decode_server


def _decoded(document: object):
    return decode_configuration(json.dumps(document).encode())


def _without(name: str) -> Callable[[dict], None]:
    def remove(document: dict) -> None:
        document['routes']['keyed'].pop(name)

    return remove


def _unknown_service(document: dict) -> None:
    document['routes']['keyed']['service'] = 'nowhere'


def _prefix_without_slashes(document: dict) -> None:
    document['routes']['keyed']['prefix'] = 'keyed'


def _no_weight(document: dict) -> None:
    document['routes']['keyed']['traffic_split'] = [
        {'service': 'ledger', 'weight': 0}
    ]


def _version_not_a_number(document: dict) -> None:
    document['version'] = 'newest'


def test_a_configuration_is_decoded() -> None:
    """Guards against units or kinds that are decoded wrongly."""
    decoded = _decoded(configuration(0x2C))
    assert decoded.version == 0x2C
    matched = decoded.route_for(HOST, '/keyed/x')
    assert matched is not None
    assert (matched.timeout_s, matched.target_latency_s) == (2.0, 0.5)
    assert not matched.repeatable
    assert decoded.service_by_name['ledger'].keyed
    assert decoded.limits.idle_timeout_s == 15


@pytest.mark.parametrize(
    ('kind', 'repeatable'),
    [('download', True), ('upload', False), ('a later kind', False)],
)
def test_a_kind_does_not_exclude_the_other_routes(
    kind: str, repeatable: bool
) -> None:
    """Guards against one kind that makes a configuration unusable."""
    bulk = route(prefix='/bulk/', service='stage') | {
        'kind': kind,
        'allowed_regions': ['north'],
    }
    decoded = _decoded(configuration(1, bulk=bulk))
    matched = decoded.route_for(HOST, '/bulk/x')
    assert matched is not None
    assert matched.repeatable == repeatable
    assert matched.regions == ('north',)
    assert decoded.route_for(HOST, '/keyed/x') is not None


def test_the_longest_prefix_matches() -> None:
    """Guards against a route that hides one with a longer prefix."""
    decoded = _decoded(
        configuration(1, inner=route(prefix='/keyed/in/', service='stage'))
    )
    matched = decoded.route_for(HOST, '/keyed/in/x')
    assert matched is not None
    assert matched.name == 'inner'


@pytest.mark.parametrize(
    'invalidate',
    [
        _without('timeout'),
        _without('max_attempts'),
        _without('kind'),
        _unknown_service,
        _prefix_without_slashes,
        _no_weight,
        _version_not_a_number,
    ],
)
def test_an_invalid_configuration_is_rejected(
    invalidate: Callable[[dict], None],
) -> None:
    """Guards against a configuration that is applied in part."""
    document = configuration(9)
    invalidate(document)
    with pytest.raises(InvalidRowError):
        _decoded(document)


def test_a_truncated_configuration_is_rejected() -> None:
    """Guards against a decoder that accepts truncated content."""
    content = json.dumps(configuration(9)).encode()
    for size in range(0, len(content), 37):
        with pytest.raises(InvalidRowError):
            decode_configuration(content[:size])


def test_unknown_fields_are_ignored() -> None:
    """Guards against a configuration that is rejected for a new field."""
    document = configuration(9) | {'colour': 'green'}
    document['routes']['keyed']['shade'] = 7
    assert _decoded(document).version == 9


def test_a_server_entry_is_decoded() -> None:
    """Guards against a draining server that is decoded as ready."""
    server = PlatformServer('k', 'ledger', 'a', keyed=True)
    server.address = '10.1.64.39:8360'
    entry = json.dumps(server.entry('draining')).encode()
    decoded = decode_server('k', entry)
    assert decoded.state == ServerState.leaving
    assert decoded.address == ('10.1.64.39', 8360)
    assert decoded.incarnation == server.born


@pytest.mark.parametrize(
    'content',
    [
        b'\xff\x00',
        b'{}',
        b'[]',
        b'{"address": "nowhere", "info": {}, "status": {}}',
        b'{"address": "10.0.0.1:1", "info": {"service": "s", "zone": "a",'
        b' "slots": "two"}, "status": {"state": "ready"}}',
        b'{"address": "10.0.0.1:1", "info": {"service": "s", "zone": "a",'
        b' "slots": 2}, "status": {"state": "asleep"}}',
    ],
)
def test_a_forged_entry_is_rejected(content: bytes) -> None:
    """Guards against requests that are sent to a forged address."""
    with pytest.raises(InvalidRowError):
        decode_server('forged', content)


@pytest.mark.parametrize('born', (2**63, 2**64, 2**70, -1))
def test_a_start_time_that_cannot_be_sent_on_is_rejected(born: int) -> None:
    """Guards against one entry that fails every update of the leader.

    The messages between instances hold integers of 64 bits.
    """
    with pytest.raises(InvalidRowError):
        _decoded_server(born=born)
    assert _decoded_server(born=2**63 - 1).incarnation == 2**63 - 1


@pytest.mark.parametrize(
    'address',
    ('10.0.0.1:0', '0.0.0.0:80', '255.255.255.255:80', '224.0.0.1:80'),
)
def test_an_address_of_no_single_host_is_rejected(address: str) -> None:
    """Guards against keys that are planned onto a server that cannot exist."""
    with pytest.raises(InvalidRowError):
        _decoded_server(address=address)


@pytest.mark.parametrize('slow_start', ('9999999999s', f'{10**300}s'))
def test_a_slow_start_without_end_is_rejected(slow_start: str) -> None:
    """Guards against a server that counts as slow for ever."""
    status = {'state': 'ready', 'slow_start_time': slow_start}
    with pytest.raises(InvalidRowError):
        _decoded_server(status=status)


@pytest.mark.parametrize('version', (f'{2**63:x}', f'{2**68:x}', '-1'))
def test_a_version_that_cannot_be_sent_on_is_rejected(version: str) -> None:
    """Guards against a configuration that fails every report of a member."""
    document = configuration(9) | {'version': version}
    with pytest.raises(InvalidRowError):
        _decoded(document)


def _decoded_server(**changes: object) -> Server:
    server = PlatformServer('k', 'ledger', 'a', keyed=True)
    server.address = '10.1.64.39:8360'
    entry = server.entry() | changes
    return decode_server('k', json.dumps(entry).encode())
