"""Tells the other instances what servers say in their answers.

Changes are gathered for a short time, so that the messages do not grow with
the requests. What was told is repeated for instances that join and for lost
messages.
"""

import asyncio
from collections.abc import Callable

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.system_view import SystemView

# All instances have to know a limit within 0.5 s.
_INTERVAL_S = 0.1
_REPEAT_S = 2.0

# Returns the message with the changes, and with what was told before if asked
# to repeat it; None without any.
TakeNotices = Callable[[bool], bytes | None]


class NoticeExchange:
    """Sends and receives notices of one kind."""

    def __init__(
        self,
        take_notices: TakeNotices,
        apply: Callable[[bytes], None],
        topic: str,
        relay_topic: str,
        system_view: SystemView,
        broadcaster: Broadcaster,
    ) -> None:
        """Creates the exchange of one instance.

        Args:
            take_notices: returns what to send.
            apply: applies a message of another instance.
            topic: of the messages.
            relay_topic: of those to an instance that relays them.
            system_view: the roster.
            broadcaster: sends to the other instances.
        """
        self._take_notices = take_notices
        self._apply = apply
        self._topic = topic
        self._relay_topic = relay_topic
        self._system_view = system_view
        self._broadcaster = broadcaster
        self._repeated_s = elapsed_s()
        self._known_instances: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Sends changes until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            body = self._take_notices(self._repeat_due())
            if body is not None:
                self._broadcaster.broadcast(
                    body, self._topic, self._relay_topic
                )

    def handle(self, body: bytes) -> None:
        """Applies notices of another instance."""
        self._apply(body)

    def handle_relay(self, body: bytes) -> None:
        """Applies notices and relays them to the instances of this region."""
        self.handle(body)
        self._broadcaster.broadcast_in_region(self._topic, body)

    def _repeat_due(self) -> bool:
        instances = frozenset(self._system_view.instance_by_name)
        joined = not instances <= self._known_instances
        self._known_instances = instances
        now_s = elapsed_s()
        if not joined and now_s - self._repeated_s < _REPEAT_S:
            return False
        self._repeated_s = now_s
        return True
