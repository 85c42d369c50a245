"""Whether a request may go to a server now, from this instance.

What a server says in its answers counts for its incarnation and holds against
its entry, which the store may deliver late or not at all.

A server that leaves gets no more requests from the moment at which that is
known here, also none of those that are queued for it.
"""

from collections.abc import Callable, Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

import msgspec
import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.ownership.segments import Holder

_log = structlog.get_logger()

# An entry may be missing for a while and return; a statement is forgotten when
# its server was not registered for this long.
_RETENTION_S = 120.0


class LeavingNotice(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells the others about a server that leaves."""

    server_id: str
    incarnation: int


@dataclass(slots=True)
class _Leaving:
    """A statement of a server that it leaves.

    Attributes:
        direct: whether an answer to this instance said so.
        known_s: when its server was last known to be registered.
    """

    direct: bool
    known_s: float


class ServerAvailability:
    """What entries and answers of servers and attempts to connect say."""

    def __init__(
        self,
        now: Callable[[], float],
        server_by_id: Mapping[str, Server],
        evacuated: AbstractSet[str] = frozenset(),
    ) -> None:
        """Creates the state of one instance.

        Args:
            now: returns the time in seconds.
            server_by_id: the servers that are registered at present.
            evacuated: the data centres that are evacuated at present.
        """
        self._now = now
        self._server_by_id = server_by_id
        self._evacuated = evacuated
        # A failed connection says nothing about the incarnation.
        self._unreachable_until_s_by_id: dict[str, float] = {}
        self._leaving_by_holder: dict[Holder, _Leaving] = {}
        self._untold: set[Holder] = set()
        self._paused_until_s_by_holder: dict[Holder, float] = {}

    def accepts_requests(self, server: Server) -> bool:
        """Whether new requests may be sent to a server."""
        return not self.is_leaving(server) and self.is_reachable(
            server.server_id
        )

    def obstacle(self, holder: Holder) -> ResultCode | None:
        """Returns why a server takes no requests now; None if it does.

        Whether it is reachable shows when a request is sent.
        """
        server = self._server_by_id.get(holder.server_id)
        if server is None or server.incarnation != holder.incarnation:
            return ResultCode.server_draining
        if self.is_leaving(server):
            return ResultCode.server_draining
        if self.pause_left_s(holder):
            return ResultCode.server_paused
        return None

    def is_leaving(self, server: Server) -> bool:
        """Whether a server leaves, or its data centre is evacuated."""
        holder = Holder(server.server_id, server.incarnation)
        return (
            server.state != ServerState.ready
            or server.data_centre in self._evacuated
            or self.said_it_leaves(holder)
        )

    def said_it_leaves(self, holder: Holder) -> bool:
        """Whether an answer of a server has said that it leaves."""
        return holder in self._leaving_by_holder

    def pause_left_s(self, holder: Holder) -> float:
        """Returns for how long a server wants no requests from here."""
        until_s = self._paused_until_s_by_holder.get(holder, 0)
        return max(0, until_s - self._now())

    def is_reachable(self, server_id: str) -> bool:
        """Whether no connection to a server has failed lately."""
        return self._unreachable_until_s_by_id.get(server_id, 0) < self._now()

    def unreachable_ids(self) -> list[str]:
        """Returns the ids of the servers that are not reachable."""
        now_s = self._now()
        return [
            server_id
            for server_id, until_s in self._unreachable_until_s_by_id.items()
            if until_s > now_s
        ]

    def mark_unreachable(self, server_id: str, for_s: float) -> bool:
        """Records a failed connection.

        Args:
            server_id: of the server.
            for_s: how long it gets no requests.

        Returns:
            Whether the server was reachable before.
        """
        was_reachable = self.is_reachable(server_id)
        self._unreachable_until_s_by_id[server_id] = self._now() + for_s
        return was_reachable

    def mark_paused(self, holder: Holder, for_s: float) -> bool:
        """Records that a server wants no requests from this instance.

        Returns:
            Whether it took requests before.
        """
        left_s = self.pause_left_s(holder)
        self._paused_until_s_by_holder[holder] = self._now() + max(
            for_s, left_s
        )
        return not left_s

    def mark_leaving(self, holder: Holder) -> bool:
        """Records that an answer of a server says that it leaves.

        Returns:
            Whether that was not known.
        """
        known = self._leaving_by_holder.get(holder)
        if known is None:
            self._untold.add(holder)
        elif known.direct:
            return False
        return self._record_leaving(holder, direct=True)

    def apply_leaving(self, notices: Iterable[LeavingNotice]) -> bool:
        """Applies what another instance tells.

        Returns:
            Whether any of it was not known.
        """
        holders = [Holder(one.server_id, one.incarnation) for one in notices]
        return any(
            [self._record_leaving(holder, direct=False) for holder in holders]
        )

    def take_leaving(
        self, *, repeat: bool, all_known: bool
    ) -> list[LeavingNotice]:
        """Returns the servers that leave to tell the other instances.

        Args:
            repeat: add those that were told before.
            all_known: also those that other instances told.
        """
        holders = set(self._untold)
        self._untold.clear()
        if repeat:
            holders.update(
                holder
                for holder, leaving in self._leaving_by_holder.items()
                if leaving.direct or all_known
            )
        return [LeavingNotice(*holder) for holder in sorted(holders)]

    def forget_ended(self, registered: set[Holder]) -> None:
        """Forgets pauses and servers that have ended, these after a while."""
        now_s = self._now()
        self._paused_until_s_by_holder = {
            holder: until_s
            for holder, until_s in self._paused_until_s_by_holder.items()
            if until_s > now_s
        }
        for holder, leaving in list(self._leaving_by_holder.items()):
            if holder in registered:
                leaving.known_s = now_s
            elif now_s - leaving.known_s > _RETENTION_S:
                self._leaving_by_holder.pop(holder)
        self._untold &= self._leaving_by_holder.keys()

    def _record_leaving(self, holder: Holder, *, direct: bool) -> bool:
        known = self._leaving_by_holder.get(holder)
        if known is not None:
            known.direct = known.direct or direct
            return False
        self._leaving_by_holder[holder] = _Leaving(direct, self._now())
        _log.info(
            'server says that it leaves',
            server=holder.server_id,
            incarnation=holder.incarnation,
            from_answer=direct,
        )
        return True
