"""Whether a request may go to a server now, from this instance."""

from collections.abc import Callable

from yuccadale_edge._internal.model import Server, ServerState


class ServerAvailability:
    """What entries of servers and attempts to connect say."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates the state of one instance.

        Args:
            now: returns the time in seconds.
        """
        self._now = now
        # A failed connection says nothing about the incarnation.
        self._unreachable_until_s_by_id: dict[str, float] = {}

    def accepts_requests(self, server: Server) -> bool:
        """Whether new requests may be sent to a server."""
        return not self.is_leaving(server) and self.is_reachable(
            server.server_id
        )

    def is_leaving(self, server: Server) -> bool:
        """Whether a server has said that it leaves."""
        return server.state != ServerState.ready

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
