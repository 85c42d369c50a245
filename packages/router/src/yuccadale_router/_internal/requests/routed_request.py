"""A caller's request with its route."""

from dataclasses import dataclass

from yuccadale_core.instances import GroupId
from yuccadale_core.messages import Forward
from yuccadale_router._internal.requests.parsing import CallerRequest


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its slot, group and deadline.

    Attributes:
        received_ms: time of arrival on this process's clock.
        deadline_ms: latest time for the answer on this process's clock.
        body_limit_bytes: largest answer body that the service allows.
    """

    request: CallerRequest
    request_id: str
    group: GroupId
    slot: int
    repeatable: bool
    priority: int
    received_ms: float
    deadline_ms: float
    body_limit_bytes: int

    def to_forward(
        self, forward_id: int, now_ms: float, body_pieces: int = 0
    ) -> Forward:
        """Returns the request as a message; a body in pieces is left out."""
        request = self.request
        age_ms = request.first_sent_ago_ms
        if age_ms >= 0:
            age_ms += now_ms - self.received_ms
        return Forward(
            forward_id=forward_id,
            group=self.group,
            service=request.service,
            key=request.key,
            slot=self.slot,
            request_id=self.request_id,
            kind=request.kind,
            repeatable=self.repeatable,
            priority=self.priority,
            method=request.method,
            path=request.path,
            headers=dict(request.headers or {}),
            body=b'' if body_pieces else request.body,
            remaining_ms=self.deadline_ms - now_ms,
            first_sent_ago_ms=age_ms,
            body_pieces=body_pieces,
        )
