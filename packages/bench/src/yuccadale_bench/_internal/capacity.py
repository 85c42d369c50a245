"""The command ``capacity``: generates docs/CAPACITY.md from slopes.

A slope is the measured cost of one more slot, server, message and so on.
"""

import argparse
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SLOPES_PATH = Path('docs') / 'slopes.json'

# Design size, section 1.7 of docs/design.md.
_SERVERS = 17_000
_SLOTS = _SERVERS * 32
_SERVERS_PER_GROUP = 12
_GROUPS = -(-_SERVERS // _SERVERS_PER_GROUP)
_DATA_CENTRES = 18
_REQUESTS_PER_NODE = 14_100
_CHANGES_PER_DAY = 51_000
_RESTARTS_PER_DAY = 1_500
_FAILURES_PER_DAY = 42
_CORE_LIMIT_PERCENT = 2.7
_MEMORY_LIMIT_MB = 256
_BYTES_LIMIT_PER_S = 6_000
# Intervals of the protocol, sections 3.2, 3.3 and 5 of docs/design.md. A round
# is one heartbeat, promise or grant to each receiver.
_ROUNDS_PER_S = 5
_STORE_READS_PER_S = 2
_STORE_READERS = 3 * _DATA_CENTRES
# The peer links select 8 peers in the same data centre and 3 in others.
_HEARTBEAT_PEERS = 8 + 3
_RETRY_WINDOW_S = 600
_SECONDS_PER_DAY = 86_400
_MEGABYTE = 1_000_000
_MICROSECONDS = 1_000_000
_NOT_MEASURED = 'not measured'
_COMMAND = 'python -m yuccadale_bench'

Slopes = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Line:
    """One mechanism of a role at the design size: a row of the page's table."""

    role: str
    mechanism: str
    state_bytes: float
    messages_per_s: float
    bytes_per_s: float
    core_percent: float
    commands: str


def run_command(arguments: Sequence[str]) -> int:
    """Prints the page; merges newly measured slopes into the file first."""
    parser = argparse.ArgumentParser(prog=f'{_COMMAND} capacity')
    parser.add_argument('--slopes', type=Path, default=SLOPES_PATH)
    parser.add_argument(
        '--take',
        type=Path,
        nargs='*',
        default=(),
        help='JSON output of measuring commands to merge into the slopes',
    )
    options = parser.parse_args(arguments)
    slopes = read_slopes(options.slopes)
    for path in options.take:
        slopes.update(json.loads(path.read_text(encoding='utf-8')))
    if options.take:
        text = json.dumps(slopes, indent=2, sort_keys=True)
        options.slopes.write_text(f'{text}\n', encoding='utf-8')
    print(capacity_page(slopes), end='')
    return 0


def read_slopes(path: Path) -> dict[str, Any]:
    """Reads the slopes by the command that measured them."""
    slopes: dict[str, Any] = json.loads(path.read_text(encoding='utf-8'))
    return slopes


def capacity_page(slopes: Slopes) -> str:
    """Returns the page as Markdown."""
    lines = list(role_lines(slopes))
    parts = [
        _HEAD,
        _table(lines),
        '',
        _sums(lines),
        '',
        '## Other measurements, and what is missing',
        '',
        *_unmeasured(slopes),
        '',
        '## What does not hold',
        '',
        *_shortfalls(slopes, lines),
        '',
    ]
    return '\n'.join(parts)


def role_lines(slopes: Slopes) -> Iterator[Line]:
    """Yields the mechanisms of each role at the design size."""
    state = slopes['state_cost']
    decision = _placement_of_group(slopes)
    heartbeats = 2 * _HEARTBEAT_PEERS * _ROUNDS_PER_S
    grants = _SERVERS_PER_GROUP * _ROUNDS_PER_S
    yield Line(
        'entry',
        f'map of {_SLOTS:,} slots to groups',
        state['group_map_bytes_per_slot'] * _SLOTS,
        0,
        0,
        0,
        'state-cost',
    )
    yield Line(
        'entry',
        f'leaders of {_GROUPS:,} groups',
        state['leadership_bytes_per_group'] * _GROUPS,
        0,
        0,
        0,
        'state-cost',
    )
    yield Line(
        'entry',
        f'heartbeats with {_HEARTBEAT_PEERS} peers, both ways',
        0,
        heartbeats,
        heartbeats * state['heartbeat_bytes'],
        _percent(heartbeats / 2, state['heartbeat_codec_us']),
        'state-cost',
    )
    yield Line(
        'leader',
        'promises of the standby',
        0,
        2 * _ROUNDS_PER_S,
        _ROUNDS_PER_S * state['promise_bytes_both_ways'],
        _percent(_ROUNDS_PER_S, state['promise_codec_us']),
        'state-cost',
    )
    yield Line(
        'leader',
        f'grants to {_SERVERS_PER_GROUP} servers (bodies only)',
        0,
        2 * grants,
        grants * state['grant_body_bytes_both_ways'],
        _percent(grants, state['grant_codec_us']),
        'state-cost',
    )
    yield Line(
        'leader',
        'placement, one decision a second',
        decision['decision_peak_bytes'],
        0,
        0,
        _percent(1, decision['propose_ms'] * 1000),
        'placement-cost',
    )
    yield Line(
        'leader',
        f'load figures of {_REQUESTS_PER_NODE:,} requests a second',
        0,
        0,
        0,
        _percent(_REQUESTS_PER_NODE, decision['observe_us_per_request']),
        'placement-cost',
    )
    yield Line(
        'leader',
        'group row',
        state['row_bytes'],
        0,
        0,
        0,
        'state-cost',
    )
    yield Line(
        'standby',
        'promises to the leader',
        0,
        2 * _ROUNDS_PER_S,
        _ROUNDS_PER_S * state['promise_bytes_both_ways'],
        _percent(_ROUNDS_PER_S, state['promise_codec_us']),
        'state-cost',
    )
    yield Line(
        'standby', 'group row', state['row_bytes'], 0, 0, 0, 'state-cost'
    )
    yield Line(
        'store reader',
        f'reads of the head row; {_STORE_READERS * _STORE_READS_PER_S} a '
        'second by all readers',
        0,
        _STORE_READS_PER_S,
        slopes['configuration']['idle_store_bytes_per_s_per_reader'],
        0,
        'configuration',
    )
    yield Line(
        'candidate',
        'reads one group row and writes it when chosen',
        state['row_bytes'],
        0,
        0,
        0,
        'state-cost',
    )
    yield Line(
        'client',
        f'{_CHANGES_PER_DAY:,} submissions a day by all operators',
        0,
        round(_CHANGES_PER_DAY / _SECONDS_PER_DAY, 2),
        0,
        0,
        'section 1.7',
    )


_HEAD = f"""# Capacity

Written by `{_COMMAND} capacity` from `docs/slopes.json`; do not edit.

State, messages, processor time and memory of each role at the design size:
{_SERVERS:,} servers, {_SLOTS:,} slots, {_GROUPS:,} groups of
{_SERVERS_PER_GROUP}, {_DATA_CENTRES} data centres. A node may use
{_CORE_LIMIT_PERCENT}% of a core, {_MEMORY_LIMIT_MB} MB and
{_BYTES_LIMIT_PER_S // 1000} KB a second for control. Every instance is an
entry; here it also leads one group and stands by for another. Processor time
is that of encoding, sealing, checking and decoding in one process; transport
is not in it. Bytes are those of message bodies without HTTP, TCP and IP.
"""


def _table(lines: Sequence[Line]) -> str:
    head = (
        '| role | mechanism | state | messages/s | bytes/s | % of a core '
        '| measured by |\n|---|---|---:|---:|---:|---:|---|'
    )
    return '\n'.join([head, *(_table_line(line) for line in lines)])


def _table_line(line: Line) -> str:
    return (
        f'| {line.role} | {line.mechanism} | {_size(line.state_bytes)} '
        f'| {line.messages_per_s:,} | {line.bytes_per_s:,.0f} '
        f'| {line.core_percent:.3f} | `{line.commands}` |'
    )


def _sums(lines: Sequence[Line]) -> str:
    state = sum(line.state_bytes for line in lines)
    core = sum(line.core_percent for line in lines)
    sent = sum(line.bytes_per_s for line in lines)
    return (
        f'All roles on one instance: {_size(state)} of {_MEMORY_LIMIT_MB} MB, '
        f'{core:.2f}% of a core of {_CORE_LIMIT_PERCENT}%, '
        f'{sent:,.0f} bytes a second of {_BYTES_LIMIT_PER_S:,}.'
    )


def _unmeasured(slopes: Slopes) -> Iterator[str]:
    for name, meaning in (
        ('control_cost', 'transport of control messages'),
        ('request_cost', 'entry and dispatch without network'),
    ):
        measured = slopes.get(name)
        command = name.replace('_', '-')
        if measured is None:
            yield f'- {meaning} (`{command}`): {_NOT_MEASURED}.'
        else:
            yield f'- {meaning} (`{command}`): measured, see below.'
            yield from _measurement_items(measured)
    yield (
        '- Requests per core and hop with HTTP and peer links: '
        f'{_NOT_MEASURED} here.'
    )
    yield (
        '- Memory of a running process as a whole, and the store reader and '
        f'the client in operation: {_NOT_MEASURED}.'
    )


def _measurement_items(measured: Any) -> Iterator[str]:
    if isinstance(measured, dict):
        for name in sorted(measured):
            yield f'  - {name}: {measured[name]}'
    else:
        yield f'  - {measured}'


def _shortfalls(slopes: Slopes, lines: Sequence[Line]) -> Iterator[str]:
    for line in lines:
        if line.bytes_per_s > _BYTES_LIMIT_PER_S:
            yield (
                f'- {line.mechanism} ({line.role}): {line.bytes_per_s:,.0f} '
                f'bytes a second are more than {_BYTES_LIMIT_PER_S:,}; at '
                'most '
                f'{_BYTES_LIMIT_PER_S / line.bytes_per_s * _ROUNDS_PER_S:.2f} '
                f'a second for each peer or server would fit, {_ROUNDS_PER_S} '
                'are sent. Grants that travel on requests and name slots only '
                'when they change, and heartbeats that leave out unchanged '
                'revisions, would lower it; neither is built.'
            )
        if line.core_percent > _CORE_LIMIT_PERCENT:
            yield (
                f'- {line.mechanism} ({line.role}): {line.core_percent:.2f}% '
                f'of a core is more than {_CORE_LIMIT_PERCENT}% if it counts '
                'as control; sampling the requests would lower it.'
            )
    yield _leadership_repair(slopes['state_cost'])
    record_bytes = slopes['state_cost']['record_memory_bytes']
    records = _REQUESTS_PER_NODE * _RETRY_WINDOW_S
    share = _MEMORY_LIMIT_MB * _MEGABYTE / (records * record_bytes)
    yield (
        f'- Idempotency records: one takes {record_bytes} bytes with a '
        f'response of 300 bytes. At {_REQUESTS_PER_NODE:,} requests a second '
        f'and {_RETRY_WINDOW_S} s, {_MEMORY_LIMIT_MB} MB hold the records '
        f'of {share:.1%} of the requests; more non-repeatable work needs a '
        'shorter window, smaller responses or more memory (`state-cost`).'
    )
    yield _throughput(slopes.get('request_cost'))
    writes = (_RESTARTS_PER_DAY + _FAILURES_PER_DAY) * 2 / _SECONDS_PER_DAY
    yield (
        f'- Holds: table writes. {_RESTARTS_PER_DAY + _FAILURES_PER_DAY:,} '
        'instances a day that end as leader of one group and standby of '
        f'another cause {writes:.3f} row writes a second; the table accepts '
        'several hundred.'
    )


def _leadership_repair(state: Mapping[str, float]) -> str:
    all_bytes = state['leadership_message_bytes'] * _GROUPS
    return (
        f'- Two peers that know different leaders send each other all '
        f'{_GROUPS:,}: {all_bytes:,.0f} bytes each way, '
        f'{all_bytes / _BYTES_LIMIT_PER_S:.0f} s of the limit (`state-cost`). '
        'They do so only after they have differed for 4 s; the news of a '
        'change is passed on for 2 s. Digests of parts of the table would '
        'lower it; they are not built.'
    )


def _throughput(request_cost: Mapping[str, float] | None) -> str:
    required = f'{_REQUESTS_PER_NODE:,} requests a second a node'
    with_network = (
        'requests per core and hop with HTTP and peer links are '
        f'{_NOT_MEASURED} here'
    )
    if request_cost is None:
        return f'- {required}: {with_network}.'
    rate = request_cost['entries_with_dispatch_per_cpu_s']
    return (
        f'- {required}: entry and dispatch alone carry {rate:,.0f} a second of '
        'processor time without network, so they take '
        f'{_REQUESTS_PER_NODE / rate:.2f} of a core (`request-cost`); '
        f'{with_network}, so it is not shown that a node carries them.'
    )


def _placement_of_group(slopes: Slopes) -> Mapping[str, Any]:
    for measured in slopes['placement_cost']:
        if measured['servers'] == _SERVERS_PER_GROUP:
            return dict(measured)
    raise KeyError(f'no placement cost for {_SERVERS_PER_GROUP} servers')


def _percent(per_s: float, microseconds: float) -> float:
    return per_s * microseconds / _MICROSECONDS * 100


def _size(size_bytes: float) -> str:
    if size_bytes >= _MEGABYTE:
        return f'{size_bytes / _MEGABYTE:.1f} MB'
    return f'{size_bytes / 1000:.1f} KB' if size_bytes else '-'
