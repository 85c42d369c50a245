"""Free ports of the loopback address."""

import itertools
import os
import socket

# Below the ephemeral ports. Parallel test runs use different blocks, since a
# port stays free until its process listens on it.
_BLOCK_PORTS = 1000
_BLOCKS = 20
_FIRST_PORT = 12000 + os.getpid() % _BLOCKS * _BLOCK_PORTS
# Runs that share a block begin at different ports of it.
_FIRST_OFFSET = os.getpid() // _BLOCKS * 100 % _BLOCK_PORTS
_PORTS = itertools.cycle(range(_FIRST_PORT, _FIRST_PORT + _BLOCK_PORTS))
_PORTS_FROM_OFFSET = itertools.islice(_PORTS, _FIRST_OFFSET, None)


def free_port() -> int:
    """Returns a free port outside the ephemeral range.

    An outgoing connection may take an ephemeral port before the instance
    listens on it, or while a listener is closed for a moment.
    """
    for port in itertools.islice(_PORTS_FROM_OFFSET, _BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise RuntimeError('no port is free')
