"""Configurations and server entries as the platform writes them."""

import json
from collections.abc import Callable

import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import HOST, configuration, route
from yuccadale_edge.instance import InvalidRowError, ServerState
from yuccadale_platform.parts import decode_configuration, decode_server


def _decoded(document: object):
    return decode_configuration(json.dumps(document).encode())


def _without(name: str) -> Callable[[dict], None]:
    def remove(document: dict) -> None:
        document['routes']['keyed'].pop(name)

    return remove


def _unknown_service(document: dict) -> None:
    document['routes']['keyed']['service'] = 'nowhere'


def _bare_prefix(document: dict) -> None:
    document['routes']['keyed']['prefix'] = 'keyed'


def _no_weight(document: dict) -> None:
    document['routes']['keyed']['traffic_split'] = [
        {'service': 'ledger', 'weight': 0}
    ]


def _version_no_number(document: dict) -> None:
    document['version'] = 'newest'


def test_a_configuration_is_decoded_once_and_whole() -> None:
    """Guards against units or kinds that are read as something else."""
    decoded = _decoded(configuration(0x2C))
    assert decoded.version == 0x2C
    found = decoded.route_for(HOST, '/keyed/x')
    assert found is not None
    assert (found.timeout_s, found.target_latency_s) == (2.0, 0.5)
    assert not found.repeatable
    assert decoded.service_by_name['ledger'].keyed
    assert decoded.limits.idle_timeout_s == 15


def test_the_longest_prefix_wins() -> None:
    """Guards against a route that hides a longer one."""
    decoded = _decoded(
        configuration(1, inner=route(prefix='/keyed/in/', service='stage'))
    )
    found = decoded.route_for(HOST, '/keyed/in/x')
    assert found is not None
    assert found.name == 'inner'


@pytest.mark.parametrize(
    'spoil',
    [
        _without('timeout'),
        _without('max_attempts'),
        _without('kind'),
        _unknown_service,
        _bare_prefix,
        _no_weight,
        _version_no_number,
    ],
)
def test_a_bad_configuration_is_refused_whole(
    spoil: Callable[[dict], None],
) -> None:
    """Guards against half of a configuration in force."""
    document = configuration(9)
    spoil(document)
    with pytest.raises(InvalidRowError):
        _decoded(document)


def test_a_configuration_that_is_cut_short_is_refused() -> None:
    """Guards against a decoder that takes what it got."""
    whole = json.dumps(configuration(9)).encode()
    for size in range(0, len(whole), 37):
        with pytest.raises(InvalidRowError):
            decode_configuration(whole[:size])


def test_new_fields_are_ignored() -> None:
    """Guards against a configuration refused for what is new in it."""
    document = configuration(9) | {'colour': 'green'}
    document['routes']['keyed']['shade'] = 7
    assert _decoded(document).version == 9


def test_a_server_entry_is_decoded() -> None:
    """Guards against a leaving server that is taken as ready."""
    server = PlatformServer('k', 'ledger', 'a', keyed=True)
    server.address = '10.1.64.39:8360'
    entry = json.dumps(server.entry('draining')).encode()
    decoded = decode_server('k', entry)
    assert decoded.state == ServerState.leaving
    assert decoded.address == ('10.1.64.39', 8360)
    assert decoded.incarnation == server.born


@pytest.mark.parametrize(
    'forged',
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
def test_a_forged_entry_names_no_server(forged: bytes) -> None:
    """Guards against work that is sent where another writer says."""
    with pytest.raises(InvalidRowError):
        decode_server('forged', forged)
