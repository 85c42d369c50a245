"""The instance as a process: forbidden system features, and its exit."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from unittest.mock import Mock

import aiohttp
import pytest

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import running_store
from tests.builders.platform_system import configuration
from tests.builders.ports import free_port
from yuccadale_platform._internal.main import handled_signals

_TIMEOUT_S = 30
# Longer than a start takes.
_START_S = 1.5
_SIGNAL_PAUSE_S = 0.001
_PURPOSES = ('callers', 'readiness', 'peers', 'metrics')
# Nothing listens there.
_NO_STORE = ('127.0.0.1', 1)
_IO_URING_DESCRIPTOR = 'anon_inode:[io_uring]'
_STARTED_A_PROCESS = 99
# Runs the program with an audit hook that exits when it starts a process.
_AUDITED_MAIN = f"""
import os, sys
FORBIDDEN = {{
    'subprocess.Popen', 'os.fork', 'os.forkpty', 'os.posix_spawn', 'os.exec',
    'os.system',
}}
def watch(event, arguments):
    if event in FORBIDDEN:
        os._exit({_STARTED_A_PROCESS})
sys.addaudithook(watch)
from yuccadale_platform._internal.main import main
sys.exit(main())
"""

# Runs the program, which gets a signal while it imports its modules, and again
# while the interpreter ends.
_SIGNALLED_MAIN = """
import os, runpy, signal, sys
number = int(sys.argv.pop(1))
class Last:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=number):
        kill(pid, number)
last = Last()
def watch(event, arguments):
    if event == 'import' and arguments[0] == 'yuccadale_edge':
        os.kill(os.getpid(), number)
sys.addaudithook(watch)
runpy.run_module('yuccadale_platform', run_name='__main__')
"""


def _free_ports() -> dict[str, int]:
    return {purpose: free_port() for purpose in _PURPOSES}


def _settings(store: tuple[str, int], ports: dict[str, int]) -> str:
    addresses = '\n'.join(
        f'{name} = 127.0.0.1:{port}' for name, port in ports.items()
    )
    return (
        '[instance]\nname = edge-0\ndata_centre = a\nregion = north\n'
        '[data_centres]\na = north\n'
        f'[addresses]\n{addresses}\nstore = {store[0]}:{store[1]}\n'
        '[bounds]\ngrace = 3s\n'
    )


def _open_files(pid: int) -> list[str]:
    names = []
    for entry in Path(f'/proc/{pid}/fd').iterdir():
        # A descriptor can be closed after the directory was listed.
        with suppress(FileNotFoundError):
            names.append(str(entry.readlink()))
    return names


async def _is_ready(session: aiohttp.ClientSession, port: int) -> bool:
    try:
        async with session.get(f'http://127.0.0.1:{port}/v1/readyz') as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False


async def _wait_until_ready(port: int) -> None:
    async with (
        asyncio.timeout(_TIMEOUT_S),
        aiohttp.ClientSession() as session,
    ):
        while not await _is_ready(session, port):
            await asyncio.sleep(0.05)


async def _wait_until_listening(port: int) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.close()
                return
            await asyncio.sleep(0.05)


async def test_the_program_uses_no_io_uring_and_starts_no_process(
    tmp_path: Path,
) -> None:
    """Guards against io_uring, child processes, and a failed shutdown."""
    ports = _free_ports()
    async with running_store() as store:
        store.state.put('op', 'config', configuration())
        server = PlatformServer('p0', 'stage', 'a', keyed=False)
        async with running_server(server, store):
            path = tmp_path / 'edge.ini'
            path.write_text(_settings(store.address, ports))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                _AUDITED_MAIN,
                stdout=asyncio.subprocess.DEVNULL,
                env=os.environ | {'YUCCADALE_BOOT': str(path)},
            )
            try:
                await _wait_until_ready(ports['readiness'])
                files = _open_files(process.pid)
            finally:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
                status = await asyncio.wait_for(process.wait(), _TIMEOUT_S)
    assert files
    assert _IO_URING_DESCRIPTOR not in files
    assert status == 0


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
async def test_a_signal_during_the_start_does_not_end_it_by_an_error(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against a process that counts as ended by itself.

    Settings may change, and the instance may be stopped, at any moment.
    """
    path = tmp_path / 'settings.ini'
    path.write_text(_settings(_NO_STORE, _free_ports()))
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', _SIGNALLED_MAIN, str(int(number)), '--check', path
    )
    assert await asyncio.wait_for(process.wait(), _TIMEOUT_S) == os.EX_OK


@asynccontextmanager
async def _running_process(
    directory: Path,
    store: tuple[str, int],
    ports: dict[str, int],
    *arguments: str,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs the program; kills it after the block if it did not end.

    Args:
        arguments: of the interpreter, in place of those that run the module.
    """
    path = directory / 'edge.ini'
    path.write_text(_settings(store, ports))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *(arguments or ('-m', 'yuccadale_platform')),
        stdout=asyncio.subprocess.DEVNULL,
        env=os.environ | {'YUCCADALE_BOOT': str(path)},
    )
    try:
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def _end(process: asyncio.subprocess.Process) -> int:
    process.terminate()
    return await asyncio.wait_for(process.wait(), _TIMEOUT_S)


@pytest.mark.parametrize('purpose', _PURPOSES)
async def test_an_address_in_use_at_the_start_does_not_end_the_process(
    tmp_path: Path, purpose: str
) -> None:
    """Guards against a process that ends since another one has its port."""
    ports = _free_ports()
    async with running_store() as store:
        store.state.put('op', 'config', configuration())
        server = PlatformServer('p0', 'stage', 'a', keyed=False)
        async with running_server(server, store):
            taken = socket.create_server(('127.0.0.1', ports[purpose]))
            async with _running_process(
                tmp_path, store.address, ports
            ) as process:
                with taken:
                    await asyncio.sleep(_START_S)
                    assert process.returncode is None
                await _wait_until_ready(ports['readiness'])
                assert await _end(process) == os.EX_OK


async def test_a_process_that_waits_for_an_address_can_be_stopped(
    tmp_path: Path,
) -> None:
    """Guards against a start that only SIGKILL ends."""
    ports = _free_ports()
    with socket.create_server(('127.0.0.1', ports['callers'])):
        async with _running_process(tmp_path, _NO_STORE, ports) as process:
            await asyncio.sleep(_START_S)
            assert await _end(process) == os.EX_OK


# Runs the program after a statement that changes what it inherits.
_INHERITING_MAIN = """
import os, signal, sys
{statement}
os.execv(sys.executable, [sys.executable, '-m', 'yuccadale_platform'])
"""


async def _status_after_stop(directory: Path, statement: str) -> int:
    """Returns the exit status of a program that listened and was stopped."""
    ports = _free_ports()
    program = _INHERITING_MAIN.format(statement=statement)
    async with _running_process(
        directory, _NO_STORE, ports, '-c', program
    ) as process:
        await _wait_until_listening(ports['callers'])
        return await _end(process)


@pytest.mark.parametrize('closed', ['0', '1', '2', '012'])
async def test_closed_standard_streams_do_not_end_the_process(
    tmp_path: Path, closed: str
) -> None:
    """Guards against a socket with the descriptor of a standard stream.

    Closing it aborts the process; without standard output it did not start.
    """
    statement = ';'.join(f'os.close({number})' for number in closed)
    assert await _status_after_stop(tmp_path, statement) == os.EX_OK


async def test_a_process_with_blocked_signals_can_be_stopped(
    tmp_path: Path,
) -> None:
    """Guards against a stop that only SIGKILL completes."""
    statement = (
        'signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())'
    )
    assert await _status_after_stop(tmp_path, statement) == os.EX_OK


@pytest.fixture
def _own_signals() -> Iterator[None]:
    """Restores the signal handlers of this process after the test."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


@pytest.mark.usefixtures('_own_signals')
async def test_a_series_of_signals_is_handled_once() -> None:
    """Guards against signals that queue up and delay a stop."""
    instance = Mock()
    with handled_signals(instance):
        for _ in range(100):
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
        assert instance.reload.call_count == 1
        assert instance.stop.call_count == 1
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        assert instance.reload.call_count == 2


async def test_repeated_signals_do_not_end_a_stop_by_an_error(
    tmp_path: Path,
) -> None:
    """Guards against a stop that counts as an end by itself."""
    async with _running_process(tmp_path, _NO_STORE, _free_ports()) as process:
        await asyncio.sleep(_START_S)
        while process.returncode is None:
            for number in (signal.SIGTERM, signal.SIGHUP):
                # The method of the process may take its exit status from the
                # event loop.
                with suppress(ProcessLookupError):
                    os.kill(process.pid, number)
            await asyncio.sleep(_SIGNAL_PAUSE_S)
        assert process.returncode == os.EX_OK
