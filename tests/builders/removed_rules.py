"""Rules of the design that a proof removes, one at a time.

Each entry returns a context in which the rule is missing. A fuzzing that
finds nothing then would not see the rule's failure in the product either.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from types import MappingProxyType
from unittest import mock

from tests.builders.simulated_server import SimulatedServer
from yuccadale_router._internal.ownership import moving, recording
from yuccadale_router._internal.ownership.grants import (
    GrantLedger,
    ServerGrants,
)
from yuccadale_router._internal.ownership.lease import (
    LeaderLease,
    StandbyPromise,
)


def _without_fence() -> AbstractContextManager[object]:
    return mock.patch.object(SimulatedServer, 'checks_token', new=False)


def _without_taker_wait() -> AbstractContextManager[object]:
    def may_take_over(promise: StandbyPromise) -> bool:
        return not promise.resigned

    return mock.patch.object(StandbyPromise, 'may_take_over', may_take_over)


def _without_successor_wait() -> AbstractContextManager[object]:
    return mock.patch.object(SimulatedServer, 'waits', new=False)


def _without_lease_check() -> AbstractContextManager[object]:
    """The lease counts as valid once it was valid."""

    def is_valid(lease: LeaderLease) -> bool:
        return lease.valid_until > -math.inf

    return mock.patch.object(LeaderLease, 'is_valid', is_valid)


@contextmanager
def _without_revoke() -> Iterator[None]:
    """Planned moves take effect before the old owner's grant is over."""

    async def go_on(*arguments: object) -> None:
        """Waits for nothing."""

    with mock.patch.object(moving, 'until_revoked', go_on):
        yield


def _without_grant_end() -> AbstractContextManager[object]:
    """Forced moves take effect before the old owner's grant is over."""

    def slot_over_at(grants: ServerGrants, slot: int) -> float:
        return -math.inf

    return mock.patch.object(ServerGrants, 'slot_over_at', slot_over_at)


def _without_lifetime_limit() -> AbstractContextManager[object]:
    """Grants live for the whole lifetime whatever R3 says."""
    prepare = GrantLedger.prepare

    def prepare_freely(
        ledger: GrantLedger,
        server_name: str,
        limit_by_slot: dict[int, float],
        *retained: object,
    ) -> object:
        freely = dict.fromkeys(limit_by_slot, math.inf)
        return prepare(ledger, server_name, freely, *retained)

    return mock.patch.object(GrantLedger, 'prepare', prepare_freely)


def _without_successor_rule() -> AbstractContextManager[object]:
    """R6: a successor is replaced although an older token may rely on it."""
    return mock.patch.object(moving, '_waited', lambda state, since: True)


def _without_standby_record() -> AbstractContextManager[object]:
    """R2: moves take effect without the standby's acknowledgement."""

    async def acknowledge(*arguments: object) -> bool:
        return True

    return mock.patch.object(recording, '_replicate_row', acknowledge)


_Removal = Callable[[], AbstractContextManager[object]]

RULES: Mapping[str, _Removal] = MappingProxyType(
    {
        "the server's check of token and sequence": _without_fence,
        "the taker's wait for the end of the promise": _without_taker_wait,
        "the successor's wait for the earlier holder": _without_successor_wait,
        'the lease check before each action': _without_lease_check,
        'the confirmation of a revoke': _without_revoke,
        "the end of the lost server's grant": _without_grant_end,
        'the limit of lifetimes by R3': _without_lifetime_limit,
        'the conditions of R6': _without_successor_rule,
        "the standby's acknowledgement of a record": _without_standby_record,
    }
)
