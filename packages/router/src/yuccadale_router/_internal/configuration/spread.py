"""Spreads revisions between peers: heartbeats name them, peers ask."""

from collections.abc import Callable, Mapping

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import (
    PeerMessage,
    RevisionsRequest,
    RevisionsAnswer,
    ScopeRevision,
)

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.configuration.in_force import InForce
from yuccadale_router._internal.contracts import Peers

# One peer is asked at a time; another one when it has not answered by then.
_ASK_INTERVAL_MS = 300
# The readers of a region fetch a revision once for the region; a peer in
# another region is asked only when that has not happened by then.
_OTHER_REGION_DELAY_MS = 1500


class Spread:
    """Asks peers that are ahead and answers those that are behind."""

    def __init__(
        self,
        me: InstanceRef,
        in_force: InForce,
        learn: Callable[[list[ScopeRevision]], None],
        *,
        peers: Peers,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._me = me
        self._in_force = in_force
        self._learn = learn
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._asked_ms: float | None = None
        self._behind_since_ms: float | None = None
        peers.handle(RevisionsRequest, self._answer)
        peers.handle(RevisionsAnswer, self._take)

    def peer_revisions(
        self, peer: InstanceRef, revision_by_scope: Mapping[str, int]
    ) -> bool:
        """Asks the peer if it is ahead; says whether it is not."""
        self._in_force.announce(revision_by_scope)
        known = self._in_force.revision_by_scope()
        ahead = any(
            number > known.get(scope, 0)
            for scope, number in revision_by_scope.items()
        )
        if not ahead:
            if not self._in_force.scopes_behind():
                self._behind_since_ms = None
            return True
        if self._behind_since_ms is None:
            self._behind_since_ms = self._clock()
        if self._may_ask(peer):
            self._asked_ms = self._clock()
            self._counters.count('configuration.asked_peer')
            self._peers.send(peer.name, RevisionsRequest(known))
        return False

    def _may_ask(self, peer: InstanceRef) -> bool:
        now = self._clock()
        if (
            self._asked_ms is not None
            and now - self._asked_ms < _ASK_INTERVAL_MS
        ):
            return False
        if self._same_region(peer) or self._behind_since_ms is None:
            return True
        return now - self._behind_since_ms >= _OTHER_REGION_DELAY_MS

    def _same_region(self, peer: InstanceRef) -> bool:
        """Data centres that are not declared yet count as one region."""
        data_centres = self._in_force.declaration.data_centre_by_name
        mine = data_centres.get(self._me.data_centre)
        other = data_centres.get(peer.data_centre)
        if mine is None or other is None:
            return True
        return mine.region == other.region

    def _answer(self, peer: InstanceRef, message: PeerMessage) -> None:
        if not isinstance(message, RevisionsRequest):
            return
        scopes = self._in_force.newer_than(message.revision_by_scope)
        if scopes:
            self._counters.count('configuration.told_peer')
            self._peers.send(peer.name, RevisionsAnswer(scopes))

    def _take(self, peer: InstanceRef, message: PeerMessage) -> None:
        if isinstance(message, RevisionsAnswer):
            self._asked_ms = None
            self._learn(message.scopes)
