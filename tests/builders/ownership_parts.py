"""Builders of clocks, instances, rows and grant answers."""

from yuccadale_core.instances import InstanceRef, ServerRef
from yuccadale_core.targets import Grant, GrantAnswer, LastGrant, Ticket
from yuccadale_router._internal.ownership.rows import GroupRow


class ManualClock:
    """A clock that a test sets, in milliseconds."""

    def __init__(self) -> None:
        self.now = 10_000.0

    def __call__(self) -> float:
        """Reads the clock."""
        return self.now


def make_instance(name: str = 'i0', incarnation: str = '1') -> InstanceRef:
    """Returns an instance in data centre ``lodz-a``."""
    return InstanceRef(name, incarnation, 'lodz-a', f'r-{name}', f'{name}:1')


def make_row(
    owner_by_slot: dict[int, str] | None = None,
    successor_by_slot: dict[int, str] | None = None,
    term: int = 1,
) -> GroupRow:
    """Returns a row with servers ``a``, ``b`` and ``c``."""
    return GroupRow(
        term=term,
        leader=make_instance('i0'),
        standby=make_instance('i1'),
        server_by_name={
            name: ServerRef(name, f'{name}:1', 'r0', 'ledger')
            for name in ('a', 'b', 'c')
        },
        owner_by_slot=owner_by_slot or {0: 'a', 1: 'b'},
        successor_by_slot=successor_by_slot or {0: 'b', 1: 'c'},
    )


def make_answer(
    *,
    accepted: bool = True,
    token: int = 2,
    incarnation: str = 'p1',
    last_grant: LastGrant | None = None,
) -> GrantAnswer:
    """Returns a server's answer."""
    return GrantAnswer(
        accepted, Ticket(incarnation, 0), token, last_grant=last_grant
    )


def accept(ledger, server_name: str, grant: Grant, token: int = 2) -> None:
    """Records in the ledger that a server accepted a grant."""
    ledger.note_accepted(server_name, grant, make_answer(token=token))
