"""The command ``state-cost``: bytes, time and memory of state and messages.

Messages are encoded and decoded in this process. The command ``control-cost``
measures the processing of control messages.
"""

import argparse
import json
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)
from yuccadale_core.mapping import build_group_map
from yuccadale_core.messages import (
    AnyMessage,
    Batch,
    Heartbeat,
    Promise,
    PromiseRequest,
    RecordChange,
    decode_batch,
    encode_batch,
)
from yuccadale_core.peer_keys import PeerKeys
from yuccadale_core.targets import Grant, GrantAnswer, LastGrant, Ticket
from yuccadale_router.group_rows import GroupRow, decode_row, encode_row

SLOTS = 544_000
DATA_CENTRES = 18
GROUP_SERVERS = 12
SLOTS_PER_SERVER = 32
_GROUPS_PER_DATA_CENTRE = 79
_REPEATS = 2000
_RECORDS = 20_000
_BODY_BYTES = 300
_MICROSECONDS = 1_000_000

_GROUP = GroupId('ledger', 'data-centre-01', 17)


def run_command(arguments: Sequence[str]) -> int:
    """Prints the measurements, or writes them to a file."""
    parser = argparse.ArgumentParser(
        prog='python -m yuccadale_bench state-cost'
    )
    parser.add_argument('--output', type=Path)
    options = parser.parse_args(arguments)
    measured = {
        **_group_map_cost(),
        **_leadership_cost(),
        **_message_costs(),
        **_grant_cost(),
        **_row_cost(),
        **_record_cost(),
    }
    text = json.dumps({'state_cost': measured}, indent=2)
    if options.output is None:
        print(text)
    else:
        options.output.write_text(f'{text}\n', encoding='utf-8')
    return 0


def _instance(number: int) -> InstanceRef:
    return InstanceRef(
        f'instance-{number:05d}',
        f'{number:016x}',
        'data-centre-01',
        f'rack-{number % 40:02d}',
        f'10.0.{number // 250}.{number % 250}:7001',
        f'10.0.{number // 250}.{number % 250}:7002',
    )


def _group_map_cost() -> dict[str, float]:
    declaration = Declaration(
        data_centre_by_name={
            f'data-centre-{number:02d}': DataCentre(
                f'data-centre-{number:02d}',
                'region',
                capacity_by_service={'ledger': 950},
            )
            for number in range(DATA_CENTRES)
        }
    )
    service = Service(
        'ledger',
        SLOTS,
        2,
        120,
        groups_per_data_centre=_GROUPS_PER_DATA_CENTRE,
    )
    started = time.perf_counter()
    build_group_map(declaration, service)
    seconds = time.perf_counter() - started
    retained_bytes, _ = _memory_of(
        lambda: build_group_map(declaration, service)
    )
    return {
        'group_map_bytes_per_slot': round(retained_bytes / SLOTS, 2),
        'group_map_build_us_per_slot': round(
            seconds * _MICROSECONDS / SLOTS, 3
        ),
    }


def _leadership_cost() -> dict[str, float]:
    count = 1000
    retained_bytes, _ = _memory_of(
        lambda: {
            GroupId('ledger', 'data-centre-01', number): Leadership(
                GroupId('ledger', 'data-centre-01', number),
                number,
                _instance(number),
                _instance(number + 1),
            )
            for number in range(count)
        }
    )
    return {'leadership_bytes_per_group': round(retained_bytes / count, 1)}


def _message_costs() -> dict[str, float]:
    heartbeat = Heartbeat(
        123_456,
        123_455,
        None,
        {f'service.name-{number}': 4000 + number for number in range(5)},
        [],
        configuration_age_ms=312.5,
        wants_answer=True,
        leadership_digest=1 << 62,
    )
    leadership = Leadership(_GROUP, 14, _instance(1), _instance(2))
    request = PromiseRequest(_GROUP, 14, 123_456)
    promise = Promise(_GROUP, 14, 123_456, granted=True, highest_token=14)
    heartbeat_bytes, heartbeat_us = _batch_cost([heartbeat])
    request_bytes, request_us = _batch_cost([request])
    promise_bytes, promise_us = _batch_cost([promise])
    return {
        'heartbeat_bytes': heartbeat_bytes,
        'leadership_message_bytes': len(msgspec.msgpack.encode(leadership)),
        'heartbeat_codec_us': heartbeat_us,
        'promise_bytes_both_ways': request_bytes + promise_bytes,
        'promise_codec_us': round(request_us + promise_us, 2),
    }


def _batch_cost(messages: list[AnyMessage]) -> tuple[int, float]:
    """Returns the bytes and the time to encode, seal, open and decode in us."""
    batch = Batch('instance-00001', 'a' * 16, 'instance-00002', 9, messages)
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'peer.keys'
        path.write_text('a-key-for-measurement\n', encoding='utf-8')
        keys = PeerKeys(path)
    sealed = keys.seal(encode_batch(batch))

    def work() -> None:
        opened = keys.open(keys.seal(encode_batch(batch)))
        decode_batch(opened or b'')

    return len(sealed), _mean_us(work)


def _grant_cost() -> dict[str, float]:
    slots = tuple(range(100_000, 100_000 + SLOTS_PER_SERVER))
    ticket = Ticket('a' * 16, 123_456_789)
    grant = Grant('instance-00001/aaaa', 14, ticket, 1000, slots, 123_456)
    answer = GrantAnswer(
        accepted=True,
        ticket=ticket,
        highest_token=14,
        last_grant=LastGrant(
            'instance-00001/aaaa', 14, 123_455, slots, live=True, gap=False
        ),
    )
    decoder = msgspec.json.Decoder(GrantAnswer)

    def work() -> None:
        msgspec.json.encode(grant)
        decoder.decode(msgspec.json.encode(answer))

    bodies = (msgspec.json.encode(grant), msgspec.json.encode(answer))
    return {
        'grant_body_bytes_both_ways': sum(len(body) for body in bodies),
        'grant_codec_us': _mean_us(work),
    }


def _row_cost() -> dict[str, float]:
    names = [f'server-{number:05d}' for number in range(GROUP_SERVERS)]
    owners = names * SLOTS_PER_SERVER
    successors = [*owners[1:], *owners[:1]]
    slots = range(100_000, 100_000 + len(owners) * 17, 17)
    row = GroupRow(
        7,
        _instance(1),
        _instance(2),
        {name: ServerRef(name, '10.0.0.1:9000', 'rack-01') for name in names},
        dict(zip(slots, owners, strict=True)),
        dict(zip(slots, successors, strict=True)),
    )
    text = encode_row(row)
    return {
        'row_bytes': len(text),
        'row_codec_us': _mean_us(lambda: decode_row(encode_row(row))),
    }


def _record_cost() -> dict[str, float]:
    def make(number: int) -> RecordChange:
        return RecordChange(
            number,
            f'{number:032x}',
            'done',
            number,
            'server-00001',
            0,
            200,
            {'Content-Type': 'application/json'},
            bytes([number % 256]) * _BODY_BYTES,
        )

    retained_bytes, _ = _memory_of(
        lambda: {f'{number:032x}': make(number) for number in range(_RECORDS)}
    )
    return {
        'record_memory_bytes': round(retained_bytes / _RECORDS),
        'record_message_bytes': len(msgspec.msgpack.encode(make(1))),
    }


def _memory_of(make: Callable[[], object]) -> tuple[int, object]:
    """Returns the allocated bytes of the created object, and the object."""
    tracemalloc.start()
    try:
        made = make()
        retained_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return retained_bytes, made


def _mean_us(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    for _ in range(_REPEATS):
        work()
    seconds = time.perf_counter() - started
    return round(seconds * _MICROSECONDS / _REPEATS, 2)
