"""Removes the rules that keep ownership safe, one at a time.

Each entry returns a context in which one rule is missing. The fault sequences
must then find a violation: otherwise they could not find the same fault in the
product.
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


def _without_takeover_wait() -> AbstractContextManager[object]:
    def may_take_over(promise: StandbyPromise) -> bool:
        return not promise.resigned

    return mock.patch.object(StandbyPromise, 'may_take_over', may_take_over)


def _without_successor_wait() -> AbstractContextManager[object]:
    return mock.patch.object(
        SimulatedServer, 'waits_for_earlier_holder', new=False
    )


def _without_lease_check() -> AbstractContextManager[object]:
    """A lease stays valid for ever after its first renewal."""

    def is_valid(lease: LeaderLease) -> bool:
        return lease.valid_until > -math.inf

    return mock.patch.object(LeaderLease, 'is_valid', is_valid)


@contextmanager
def _without_revoke() -> Iterator[None]:
    """Planned moves take effect before the old owner's grant has expired."""

    async def skip_wait(*arguments: object) -> None:
        """Returns at once."""

    with mock.patch.object(moving, 'wait_until_revoked', skip_wait):
        yield


def _without_grant_end() -> AbstractContextManager[object]:
    """Forced moves take effect before the old owner's grant has expired."""

    def slot_expires_at(grants: ServerGrants, slot: int) -> float:
        return -math.inf

    return mock.patch.object(ServerGrants, 'slot_expires_at', slot_expires_at)


def _without_lifetime_limit() -> AbstractContextManager[object]:
    """Grants have the full lifetime, without the limits for each slot."""
    prepare = GrantLedger.prepare

    def prepare_unlimited(
        ledger: GrantLedger,
        server_name: str,
        limit_by_slot: dict[int, float],
        *retained: object,
    ) -> object:
        unlimited = dict.fromkeys(limit_by_slot, math.inf)
        return prepare(ledger, server_name, unlimited, *retained)

    return mock.patch.object(GrantLedger, 'prepare', prepare_unlimited)


def _without_successor_rule() -> AbstractContextManager[object]:
    """A successor is replaced while grants may still rely on its answers."""
    return mock.patch.object(
        moving, '_ttl_has_passed', lambda state, since: True
    )


def _without_standby_record() -> AbstractContextManager[object]:
    """Moves take effect without the standby's acknowledgement."""

    async def acknowledge(*arguments: object) -> bool:
        return True

    return mock.patch.object(recording, '_replicate_row', acknowledge)


_Removal = Callable[[], AbstractContextManager[object]]

RULES: Mapping[str, _Removal] = MappingProxyType(
    {
        "the server's check of token and sequence": _without_fence,
        "the taker's wait for the end of the promise": _without_takeover_wait,
        "the successor's wait for the earlier holder": _without_successor_wait,
        'the lease check before each action': _without_lease_check,
        'the confirmation of a revoke': _without_revoke,
        "the end of the lost server's grant": _without_grant_end,
        'the limit of lifetimes by R3': _without_lifetime_limit,
        'the conditions of R6': _without_successor_rule,
        "the standby's acknowledgement of a record": _without_standby_record,
    }
)
