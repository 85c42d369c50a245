"""The simulated server: grants, requests, faults, records."""

from yuccadale_standins._internal.server_app import (
    RunningServer,
    run_server,
    server_application,
)
from yuccadale_standins._internal.server_state import (
    ServerFaults,
    ServerOptions,
    ServerState,
)

__all__ = [
    'RunningServer',
    'ServerFaults',
    'ServerOptions',
    'ServerState',
    'run_server',
    'server_application',
]
