"""Public interface to routing decisions that need no network."""

from yuccadale_edge._internal.routing.retry_budget import RetryBudget
from yuccadale_edge._internal.routing.senders import choose_sender
from yuccadale_edge._internal.routing.server_queue import (
    AdmissionError,
    ServerQueue,
)

__all__ = ('AdmissionError', 'RetryBudget', 'ServerQueue', 'choose_sender')
