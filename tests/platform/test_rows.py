"""Decoding of configurations and server entries."""

import json
from collections.abc import Callable

import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import HOST, configuration, route
from yuccadale_edge.instance import InvalidRowError, ServerState
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
