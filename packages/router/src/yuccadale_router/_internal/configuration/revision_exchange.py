"""Exchanges revisions with peers.

Heartbeats name the revisions in force; an instance that lacks one requests it
from the sender.
"""

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
from yuccadale_router._internal.configuration.in_force import RevisionsInForce
from yuccadale_router._internal.contracts import Peers

# One request is outstanding at a time. Without an answer, another peer is
# queried after this time.
_REQUEST_INTERVAL_MS = 300
# The table readers of a region fetch a new revision for the whole region. A
# peer in another region is queried only if it has not arrived after this time.
_OTHER_REGION_DELAY_MS = 1500


class RevisionExchange:
    """Requests newer revisions from peers and answers their requests."""

    def __init__(
        self,
        me: InstanceRef,
        in_force: RevisionsInForce,
        apply_revisions: Callable[[list[ScopeRevision]], None],
        *,
        peers: Peers,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._me = me
        self._in_force = in_force
        self._apply_revisions = apply_revisions
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._requested_ms: float | None = None
        self._behind_since_ms: float | None = None
        peers.handle(RevisionsRequest, self._handle_request)
        peers.handle(RevisionsAnswer, self._handle_answer)

    def handle_peer_revisions(
        self, peer: InstanceRef, revision_by_scope: Mapping[str, int]
    ) -> bool:
        """Requests newer revisions of the peer; returns whether it has none."""
        self._in_force.note_existing_revisions(revision_by_scope)
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
        if self._may_request(peer):
            self._requested_ms = self._clock()
            self._counters.count('configuration.asked_peer')
            self._peers.send(peer.name, RevisionsRequest(known))
        return False

    def _may_request(self, peer: InstanceRef) -> bool:
        now = self._clock()
        if (
            self._requested_ms is not None
            and now - self._requested_ms < _REQUEST_INTERVAL_MS
        ):
            return False
        if self._same_region(peer) or self._behind_since_ms is None:
            return True
        return now - self._behind_since_ms >= _OTHER_REGION_DELAY_MS

    def _same_region(self, peer: InstanceRef) -> bool:
        """Treats data centres that are not declared yet as one region."""
        data_centres = self._in_force.declaration.data_centre_by_name
        mine = data_centres.get(self._me.data_centre)
        other = data_centres.get(peer.data_centre)
        if mine is None or other is None:
            return True
        return mine.region == other.region

    def _handle_request(self, peer: InstanceRef, message: PeerMessage) -> None:
        if not isinstance(message, RevisionsRequest):
            return
        scopes = self._in_force.newer_than(message.revision_by_scope)
        if scopes:
            self._counters.count('configuration.told_peer')
            self._peers.send(peer.name, RevisionsAnswer(scopes))

    def _handle_answer(self, peer: InstanceRef, message: PeerMessage) -> None:
        if isinstance(message, RevisionsAnswer):
            self._requested_ms = None
            self._apply_revisions(message.scopes)
