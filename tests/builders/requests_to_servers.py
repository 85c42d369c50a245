"""Builders of requests and grants that a leader sends to a server."""

from yuccadale_core.targets import Grant, TargetRequest, Ticket


def build_request(
    request_id: str = 'id-1',
    *,
    method: str = 'POST',
    slot: int = 7,
    token: int = 2,
    remaining_ms: float = 2000,
) -> TargetRequest:
    """Returns a request for one slot."""
    return TargetRequest(
        request_id=request_id,
        service='ledger',
        key='deposit-1',
        slot=slot,
        token=token,
        method=method,
        path='/deposits/1?currency=pln',
        remaining_ms=remaining_ms,
        headers={'Content-Type': 'text/plain'},
        body=b'' if method == 'GET' else b'amount=100',
    )


def build_grant(
    ticket: Ticket,
    *,
    slots: tuple[int, ...] = (7,),
    token: int = 2,
    sequence: int = 1,
    holder: str = 'leader-a',
    ttl_ms: float = 1000,
) -> Grant:
    """Returns a grant with the given ticket."""
    return Grant(holder, token, ticket, ttl_ms, slots, sequence)
