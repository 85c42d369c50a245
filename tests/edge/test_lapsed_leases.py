"""Releases that go on after a lease has expired, without servers."""

from yuccadale_edge._internal.ownership.lapsed_leases import (
    RELEASE_INTERVAL_S,
    LapsedLeases,
)
from yuccadale_edge._internal.ownership.segments import (
    LeaseEnd,
    LeaseEndReason,
)
from yuccadale_edge.ownership import CallKind, Holder, OwnershipCall

SILENT = Holder('silent', 1)
_FENCE = 7


def _lapsed() -> LapsedLeases:
    """Returns the lapse of one range at 0 s."""
    lapsed = LapsedLeases()
    lapsed.add(LeaseEnd(0, 99, SILENT, _FENCE, LeaseEndReason.expired), 0)
    return lapsed


def _grant(first: int, last: int) -> OwnershipCall:
    return OwnershipCall(CallKind.grant, SILENT, first, last, _FENCE + 1)


def test_a_silent_server_is_asked_until_it_has_answered_twice() -> None:
    """Guards against a grant that is read just after the only release."""
    lapsed = _lapsed()
    now_s: float = 0
    for answered in (False, False, True, True):
        releases = lapsed.releases_due(now_s)
        assert len(releases) == 1
        assert not lapsed.releases_due(now_s)
        lapsed.release_ended(releases[0], now_s, answered=answered)
        assert not lapsed.releases_due(now_s)
        now_s += RELEASE_INTERVAL_S
    assert not lapsed.releases_due(now_s)


def test_a_grant_waits_for_a_release_in_flight() -> None:
    """Guards against a late release that ends a newer grant."""
    lapsed = _lapsed()
    release = lapsed.releases_due(0)[0]
    assert lapsed.begin_grant(_grant(100, 199))
    assert not lapsed.begin_grant(_grant(50, 149))
    lapsed.release_ended(release, 0, answered=False)
    assert lapsed.begin_grant(_grant(0, 149))
    assert not lapsed.releases_due(RELEASE_INTERVAL_S)
    lapsed.end_grant(_grant(0, 149), accepted=True)
    assert not lapsed.releases_due(RELEASE_INTERVAL_S)


def test_a_server_that_has_ended_is_not_asked() -> None:
    """Guards against calls to an address that has another owner."""
    lapsed = _lapsed()
    lapsed.remove(SILENT)
    assert not lapsed.releases_due(0)


def test_a_server_is_not_asked_for_ever() -> None:
    """Guards against calls to a server that is gone for good."""
    lapsed = _lapsed()
    assert not lapsed.releases_due(60)
