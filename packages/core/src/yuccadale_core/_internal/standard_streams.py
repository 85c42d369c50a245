"""Standard streams of a process that was started without some of them."""

import os
import sys

_STDERR = 2
_DESCRIPTOR_BY_OUTPUT = (('stdout', 1), ('stderr', _STDERR))


def open_standard_streams() -> None:
    """Opens the null device for each standard stream that is closed.

    Otherwise the first sockets of the process get the descriptors of the
    streams. libuv aborts the process when it closes one of these, and what is
    written to the stream goes to a connection.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= _STDERR:
        descriptor = os.dup(descriptor)
    os.close(descriptor)
    for name, number in _DESCRIPTOR_BY_OUTPUT:
        if getattr(sys, name) is None:
            setattr(sys, name, os.fdopen(number, 'w', closefd=False))
