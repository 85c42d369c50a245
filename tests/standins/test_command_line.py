"""The stand-ins can be run as separate processes."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import aiohttp
import pytest

_TIMEOUT_S = 20


@pytest.mark.parametrize(
    ('arguments', 'path'),
    [
        (['platform'], '/instances'),
        (['server', '--name', 's1', '--service', 'ledger'], '/hello'),
    ],
    ids=['platform', 'server'],
)
async def test_process_prints_its_url(
    arguments: list[str], path: str, tmp_path: Path
) -> None:
    """Guards against a stand-in that can only be run inside a test."""
    if arguments == ['platform']:
        instances = tmp_path / 'instances.json'
        instances.write_text('[]')
        arguments = [*arguments, '--instances', str(instances)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'yuccadale_standins',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await asyncio.wait_for(process.stdout.readline(), _TIMEOUT_S)
        url = line.decode().split()[-1]
        async with aiohttp.ClientSession() as session:
            async with session.get(f'{url}{path}') as answer:
                json.loads(await answer.read())
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), _TIMEOUT_S) == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
