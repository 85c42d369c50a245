"""Every decoder that faces a wire, with random and damaged input.

Guards against an error that a decoder's caller does not expect: it would end
a task, a connection or a process.
"""

import json
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.platform_system import configuration
from tests.builders.store_answers import table_page, table_row
from yuccadale_edge._internal.membership import (
    electorate,
    leader,
    leadership,
    limit_exchange,
    links,
    member,
)
from yuccadale_edge._internal.ownership.records import (
    InvalidRecordError,
    decode_record,
)
from yuccadale_edge._internal.routing import forwarding
from yuccadale_edge._internal.store import StoredRow
from yuccadale_edge.instance import (
    CallerMessage,
    InvalidRowError,
    StoreOutcomeUnknownError,
)
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_platform._internal.requests import PlatformCodec
from yuccadale_platform._internal.settings import SettingsError, read_settings
from yuccadale_platform._internal.store import (
    _AnswerRefusedError,
    _decode_changes,
    _decode_page,
    _decode_time,
    _decode_written,
)
from yuccadale_platform.adapter import decode_configuration, decode_server

_EXAMPLES = 150
_DEEP = 20_000


@dataclass(frozen=True)
class Decoder:
    """A decoder, the errors that its callers handle, and valid input."""

    name: str
    decode: Callable[[bytes], Any]
    errors: tuple[type[Exception], ...]
    valid: bytes


_ENTRY = MappingProxyType(
    {
        'address': '10.1.0.1:80',
        'born': 1,
        'info': {'service': 's', 'zone': 'a', 'slots': 2},
        'status': {'state': 'ready', 'slow_start_time': '0ms'},
    }
)
_SEGMENTS = ((0, 65535, 7, [('k', 1, '10.1.0.1', 80, 7)]),)
_SETTINGS = """
[instance]
name = a
data_centre = a
region = n
[addresses]
callers = 1.1.1.1:1
readiness = 1.1.1.1:2
peers = 1.1.1.1:3
metrics = 1.1.1.1:4
store = 1.1.1.1:5
[bounds]
grace = 6s
"""
_REPORT = (
    ('i', '1.1.1.1', 1, 'a', False, 1.0),
    {'servers': 1},
    (0, 0),
    {},
    [],
    [],
    [],
)
_UPDATE = ((1, 'i', '1.1.1.1', 1, 2), 0, 3, [], None, [], [])
_pack = msgspec.msgpack.encode

DECODERS = (
    Decoder(
        'configuration',
        decode_configuration,
        (InvalidRowError,),
        json.dumps(configuration()).encode(),
    ),
    Decoder(
        'server',
        lambda content: decode_server('s', content),
        (InvalidRowError,),
        json.dumps(dict(_ENTRY)).encode(),
    ),
    Decoder(
        'record of keys',
        decode_record,
        (InvalidRecordError,),
        json.dumps((3, _SEGMENTS, False)).encode(),
    ),
    Decoder(
        'row of the leader',
        lambda content: leadership._decode_row(StoredRow('leader', content, 1)),
        (),
        json.dumps([[1, 'i', '1.1.1.1', 1, 2], False, []]).encode(),
    ),
    Decoder(
        'page of the store',
        lambda body: _decode_page(Answer(200, [], body), 'own', ''),
        (_AnswerRefusedError,),
        json.dumps(table_page(table_row('k', 3))).encode(),
    ),
    Decoder(
        'changes of the store',
        lambda body: _decode_changes(Answer(200, [], body), 'own', 2),
        (_AnswerRefusedError,),
        json.dumps(table_page(table_row('k', 3))).encode(),
    ),
    Decoder(
        'clock of the store',
        lambda body: _decode_time(body.decode('utf-8', 'replace')),
        (_AnswerRefusedError,),
        b'51230ms',
    ),
    Decoder(
        'answer to a write',
        lambda body: _decode_written(Answer(412, [], body), 1),
        (StoreOutcomeUnknownError,),
        b'{"rows":[{"key":"k","value":"e30=","ver":3}],"ver":4}',
    ),
    Decoder(
        'settings',
        lambda text: read_settings(text.decode('utf-8', 'replace')),
        (SettingsError,),
        _SETTINGS.encode(),
    ),
    Decoder(
        'frame',
        links._decoder.decode,
        links.DECODE_ERRORS,
        _pack((0, 1, 'report', b'body')),
    ),
    Decoder(
        'report', leader._decode_report, links.DECODE_ERRORS, _pack(_REPORT)
    ),
    Decoder(
        'update of the leader',
        member._decode_update,
        links.DECODE_ERRORS,
        _pack(_UPDATE),
    ),
    Decoder(
        'response to a report',
        member._decode_response,
        links.DECODE_ERRORS,
        _pack((_UPDATE, None)),
    ),
    Decoder(
        'rows of a peer',
        member._decode_rows,
        links.DECODE_ERRORS,
        _pack(('servers', 0, 1, False, [('k', 1, b'{}', False)])),
    ),
    Decoder(
        'vote', electorate._decode_answer, links.DECODE_ERRORS, _pack(True)
    ),
    Decoder(
        'forwarded result',
        forwarding._decode_result,
        links.DECODE_ERRORS,
        _pack(('Served', 200, [], b'', 's', 1, 0.5, 0.5)),
    ),
    Decoder(
        'limits of servers',
        limit_exchange._decode,
        links.DECODE_ERRORS,
        _pack([('s', 1, 6.5, 0.1), ('t', 1, None, 0.1)]),
    ),
)


def _damaged(valid: bytes) -> st.SearchStrategy[bytes]:
    """Returns valid input with some bytes replaced, removed or repeated."""

    def damage(edits: list[tuple[int, int, bytes]]) -> bytes:
        damaged = valid
        for position, removed, inserted in edits:
            at = position % (len(damaged) + 1)
            damaged = damaged[:at] + inserted + damaged[at + removed :]
        return damaged

    edit = st.tuples(
        st.integers(0, len(valid)), st.integers(0, 8), st.binary(max_size=8)
    )
    return st.lists(edit, min_size=1, max_size=4).map(damage)


def _decodes_or_refuses(decoder: Decoder, content: bytes) -> None:
    with suppress(*decoder.errors):
        decoder.decode(content)


@pytest.mark.parametrize('decoder', DECODERS, ids=lambda one: one.name)
def test_valid_input_is_decoded(decoder: Decoder) -> None:
    """Guards against a fuzz of input that is refused in any case."""
    decoder.decode(decoder.valid)


@pytest.mark.parametrize('decoder', DECODERS, ids=lambda one: one.name)
def test_random_input_raises_expected_errors_only(decoder: Decoder) -> None:
    """Guards against unexpected errors for bytes of another kind."""

    @settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
    @given(st.one_of(st.binary(), _damaged(decoder.valid)))
    def check(content: bytes) -> None:
        _decodes_or_refuses(decoder, content)

    check()


@pytest.mark.parametrize('decoder', DECODERS, ids=lambda one: one.name)
@pytest.mark.parametrize('nesting', [b'[', b'{"a":', b'\x91', b'\x81\x01'])
def test_deep_nesting_raises_expected_errors_only(
    decoder: Decoder, nesting: bytes
) -> None:
    """Guards against a recursion error that nobody expects."""
    _decodes_or_refuses(decoder, nesting * _DEEP)


@pytest.mark.parametrize(
    ('per_s', 'age_s'),
    [(float('nan'), 0), (-1, 0), (float('inf'), 0), (1, -1), (1, float('nan'))],
)
def test_an_impossible_limit_of_a_peer_is_refused(
    per_s: float, age_s: float
) -> None:
    """Guards against a number that stops the requests to a server."""
    with pytest.raises(msgspec.ValidationError):
        limit_exchange._decode(_pack([('s', 1, per_s, age_s)]))


_json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(('1s', '-1s', 'infs', 'nans', '1e400s', '00000007', '/')),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def _with_replaced_value(document: Any, path: list[int], value: Any) -> Any:
    """Returns a document with one value, at a path of positions, replaced."""
    if not path or not isinstance(document, dict | list) or not document:
        return value
    if isinstance(document, list):
        at = path[0] % len(document)
        inner = _with_replaced_value(document[at], path[1:], value)
        return [*document[:at], inner, *document[at + 1 :]]
    key = list(document)[path[0] % len(document)]
    return document | {
        key: _with_replaced_value(document[key], path[1:], value)
    }


@pytest.mark.parametrize('decoder', DECODERS[:4], ids=lambda one: one.name)
def test_values_of_other_types_raise_expected_errors_only(
    decoder: Decoder,
) -> None:
    """Guards against a field with a value that is used in calculations."""
    document = json.loads(decoder.valid)

    @settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 9), max_size=4), _json_values)
    def check(path: list[int], value: Any) -> None:
        changed = _with_replaced_value(document, path, value)
        _decodes_or_refuses(decoder, json.dumps(changed).encode())

    check()


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                (
                    b'host',
                    b'x-deadline-ms',
                    b'x-shard-key',
                    b'x-attempt-id',
                    b'connection',
                )
            ),
            st.one_of(
                st.binary(max_size=20),
                st.integers().map(lambda number: str(number).encode()),
                st.just(b'9' * 5000),
            ),
        ),
        max_size=6,
    ),
    st.binary(max_size=30),
)
def test_headers_of_callers_raise_nothing(
    headers: list[tuple[bytes, bytes]], target: bytes
) -> None:
    """Guards against a request that ends without an answer."""
    codec = PlatformCodec()
    message = CallerMessage(b'GET', target, headers, b'', 1.0)
    request = codec.read_request(message)
    assert request.key is None or 0 <= request.key < 65536
    codec.forwarded_headers(message)
