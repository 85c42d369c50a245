"""Builds the records of simulated servers."""

from pathlib import Path

import msgspec

from yuccadale_standins.records import RunRecord


def run_record(server: str, request_id: str) -> RunRecord:
    """Returns the record of a request that took effect."""
    return RunRecord(
        server=server,
        incarnation='1',
        request_id=request_id,
        key='k',
        slot=7,
        token=2,
        method='POST',
        path='/',
        kind='',
        start_ms=0,
        end_ms=1,
        effect=True,
        end='done',
    )


def write_runs(
    directory: Path, request_ids_by_server: dict[str, list[str]]
) -> None:
    """Writes the records file of each server; all requests took effect."""
    for server, request_ids in request_ids_by_server.items():
        runs = [run_record(server, request_id) for request_id in request_ids]
        path = directory / f'{server}.records'
        path.write_bytes(msgspec.json.Encoder().encode_lines(runs))
