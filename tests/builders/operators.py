"""Runs the operator API on loopback and the client's commands against it."""

import asyncio
import json
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput
from expression import Result

from tests.builders.configuration import Cluster
from tests.builders.peers import free_address
from yuccadale._internal.cli import make_application
from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.refusals import Refusal
from yuccadale_core.settings import split_address
from yuccadale_router._internal.network.http_app import make_app, serve_app
from yuccadale_router._internal.network.operator_api import (
    Document,
    OperatorServices,
    OwnerAnswer,
    register_operator_api,
)


@dataclass(slots=True)
class OperatorInstance:
    """An instance whose operator API is served.

    Attributes:
        address: ``host:port`` of the API.
        draining: whether the instance reports that it is shutting down.
        peers: live peers that the instance reports.
    """

    address: str
    draining: bool
    peers: list[InstanceRef]


async def _find_owner(service: str, key: str) -> OwnerAnswer:
    if service == 'unknown':
        return Result.Error(Refusal(ResultCode.service_unknown, 'entry-1'))
    return Result.Ok({'service': service, 'key': key, 'leader': 'entry-2'})


def _slow_requests(service: str) -> Sequence[Document]:
    return [{'request_id': 'r-1', 'total_ms': 31.5, 'hops': ['entry 1 ms']}]


@asynccontextmanager
async def serving_operators(
    cluster: Cluster, name: str
) -> AsyncIterator[OperatorInstance]:
    """Serves the operator API of an instance until the block ends."""
    instance = OperatorInstance(free_address(), draining=False, peers=[])
    counters = Counters()
    counters.count('refusal.queue_full', 3)
    app = make_app(f'operators-{uuid.uuid4().hex}', 1 << 20)
    register_operator_api(
        app,
        OperatorServices(
            me=InstanceRef(
                name, 'i', 'lodz-a', 'rack-0', 'peer', instance.address
            ),
            configuration=cluster.service_by_name[name],
            counters=counters,
            live_peers=lambda: instance.peers,
            groups=lambda: [{'group': 'ledger/lodz-a/0', 'role': 'leader'}],
            find_owner=_find_owner,
            slow_requests=_slow_requests,
            is_draining=lambda: instance.draining,
        ),
    )
    host, port = split_address(instance.address)
    async with serve_app(app, host, port):
        yield instance


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit status and output of a command."""

    status: int
    output: str
    errors: str

    @property
    def document(self) -> Any:
        """The decoded output of a command with ``--json``."""
        return json.loads(self.output)


async def run_client(*arguments: str) -> CommandResult:
    """Runs a client command in a separate thread."""
    output = BufferedOutput()
    errors = BufferedOutput()
    status = await asyncio.to_thread(
        make_application().run,
        ArgvInput(['yuccadale', *arguments]),
        output,
        errors,
    )
    return CommandResult(status, output.fetch(), errors.fetch())
