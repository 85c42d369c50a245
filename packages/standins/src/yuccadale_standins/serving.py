"""Serves a stand-in's application on a loopback port."""

from yuccadale_standins._internal.serving import (
    Listener,
    drop_connection,
    listening,
)

__all__ = ('Listener', 'drop_connection', 'listening')
