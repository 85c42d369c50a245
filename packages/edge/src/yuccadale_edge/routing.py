"""Decisions about requests, without network."""

from yuccadale_edge._internal.routing.retry_budget import RetryBudget
from yuccadale_edge._internal.routing.senders import choose_sender
from yuccadale_edge._internal.routing.server_queue import (
    LineFullError,
    ServerLine,
)

__all__ = ('LineFullError', 'RetryBudget', 'ServerLine', 'choose_sender')
