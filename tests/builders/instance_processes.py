"""Instances of one data centre as processes, and their memory."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from tests.builders.ports import free_port
from tests.soak.processes import SoakInstance

_BYTES_PER_KB = 1024


@asynccontextmanager
async def instance_processes(
    count: int,
    directory: Path,
    store: tuple[str, int],
    **machine: int,
) -> AsyncIterator[list[SoakInstance]]:
    """Runs instances in data centre a; ends what it started.

    Args:
        count: their number.
        directory: of their settings and logs.
        store: the address of the store.
        machine: fields of the section of the machine.
    """
    instances = [_instance(number, directory, store) for number in range(count)]
    for instance in instances:
        instance.machine.update(machine)
    async with AsyncExitStack() as stack:
        for instance in instances:
            stack.push_async_callback(instance.kill)
            await instance.start()
        yield instances


def peak_resident_bytes(instance: SoakInstance) -> int:
    """Returns the largest resident memory that the process has had."""
    assert instance.process is not None
    status = Path(f'/proc/{instance.process.pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * _BYTES_PER_KB
    raise ProcessLookupError(instance.name)


def _instance(
    number: int, directory: Path, store: tuple[str, int]
) -> SoakInstance:
    ports = {
        purpose: free_port()
        for purpose in ('callers', 'readiness', 'peers', 'metrics')
    }
    ports['advertised'] = ports['peers']
    return SoakInstance(
        f'edge-{number}',
        'a',
        directory,
        f'{store[0]}:{store[1]}',
        [],
        ports,
    )
