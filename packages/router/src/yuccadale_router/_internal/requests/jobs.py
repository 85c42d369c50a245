"""State of one request in a dispatcher."""

from yuccadale_core.codes import ResultCode
from yuccadale_core.messages import Forward
from yuccadale_router._internal.requests.idempotency import Record


class Job:
    """State of one request at the leader.

    Attributes:
        slot: slot of the key, or the slot that the key is pinned to.
        record: the idempotency record of non-repeatable work.
        replicated_for_server: server for which the standby has the started
            record.
        written: whether the request may have reached a server.
        caller_gone: whether the caller has cancelled the request.
        last_failure_code: why the last server did not accept the request.
    """

    __slots__ = (
        'caller_gone',
        'deadline_ms',
        'forward',
        'last_failure_code',
        'received_ms',
        'record',
        'replicated_for_server',
        'slot',
        'written',
    )

    def __init__(self, forward: Forward, received_ms: float) -> None:
        self.forward = forward
        self.received_ms = received_ms
        self.deadline_ms = received_ms + forward.remaining_ms
        self.slot = forward.slot
        self.record: Record | None = None
        self.replicated_for_server = ''
        self.written = False
        self.caller_gone = False
        self.last_failure_code: ResultCode | None = None
