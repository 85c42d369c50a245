"""Tests of the daemon as a process: forbidden resources and exit status."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import aiohttp
import pytest
import pytest_asyncio

from yuccadale_bench._internal.cluster import (
    CentrePlan,
    Cluster,
    ClusterPlan,
    plan_cluster,
)

_TIMEOUT_S = 60
_RING = 'anon_inode:[io_uring]'
_FORBIDDEN_EVENTS = 'subprocess.Popen,os.fork,os.forkpty,os.posix_spawn,os.exec'
# Runs the daemon with an audit hook that exits if it starts a process.
_WATCHED_MAIN = f"""
import os, sys
FORBIDDEN = '{_FORBIDDEN_EVENTS}'.split(',')
def watch(event, arguments):
    if event in FORBIDDEN or event == 'os.system':
        os.write(2, f'started a process: {{event}}'.encode())
        os._exit(99)
sys.addaudithook(watch)
sys.argv = ['yuccadaled', 'run', sys.argv[1]]
from yuccadale_router._internal.cli import main
sys.exit(main())
"""


@pytest_asyncio.fixture(name='cluster')
async def running_instance(tmp_path: Path) -> AsyncIterator[Cluster]:
    """Runs the platform stand-in and one entry instance with the hook."""
    plan = ClusterPlan((CentrePlan('east', 'region', 1),), (), ())
    cluster = plan_cluster(plan, tmp_path)
    settings = str(tmp_path / 'east-0.ini')
    cluster.node_by_name['east-0'].command = ['-c', _WATCHED_MAIN, settings]
    try:
        await cluster.start('platform')
        await cluster.start('east-0')
        yield cluster
    finally:
        await cluster.stop_all()


def _open_files(pid: int) -> list[str]:
    names = []
    for entry in Path(f'/proc/{pid}/fd').iterdir():
        # A descriptor may be closed after it was listed.
        with suppress(FileNotFoundError):
            names.append(os.readlink(entry))
    return names


async def _health(cluster: Cluster) -> str:
    address = cluster.node_by_name['east-0'].addresses['operator']
    async with (
        aiohttp.ClientSession() as session,
        session.get(f'http://{address}/health') as answer,
    ):
        document = await answer.json()
        return str(document['state'])


async def test_daemon_opens_no_io_uring_and_starts_no_process(
    cluster: Cluster,
) -> None:
    """Guards against libraries that open a ring or start processes.

    By default uvloop opens an io_uring ring and the banner of Sanic runs
    uname.
    """
    assert await _health(cluster)
    process = cluster.node_by_name['east-0'].process
    assert process is not None
    assert process.returncode is None
    rings = [name for name in _open_files(process.pid) if name == _RING]
    assert not rings
    shared = [name for name in _open_files(process.pid) if '/dev/shm' in name]
    assert not shared


async def test_sigterm_ends_the_daemon_cleanly(cluster: Cluster) -> None:
    """Guards against a shutdown that hangs or reports a failure."""
    assert await _health(cluster)
    cluster.signal('east-0', signal.SIGTERM)
    assert await asyncio.wait_for(cluster.wait_for_exit('east-0'), 60) == 0


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('no section', 'no section headers'),
        ('[instance]\nname = X!\n', 'section [instance], key name'),
        (
            '[instance]\nname = a\ndata_centre = b\ncaller_address = 1\n'
            'peer_address = h:1\noperator_address = h:2\n'
            '[platform]\nurl = http://h\n[keys]\npeer_keys = a\n'
            'operator_keys = b\n',
            'section [instance], key caller_address: Value error, must be',
        ),
    ],
)
def test_invalid_settings_print_one_line(
    tmp_path: Path, text: str, expected: str
) -> None:
    """Guards against a traceback instead of file, section and key."""
    path = tmp_path / 'settings.ini'
    path.write_text(text)
    result = subprocess.run(
        [sys.executable, '-m', 'yuccadale_router', 'run', str(path)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 78
    assert expected in result.stderr
    assert str(path) in result.stderr
    assert len(result.stderr.strip().splitlines()) == 1
