"""Tells the other instances the limits that servers named.

Changes are gathered for a short time, so that the messages do not grow with
the requests. Limits are repeated for instances that join and for lost messages.
"""

import asyncio

import msgspec

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.messages import (
    LIMITS_RELAY_TOPIC,
    LIMITS_TOPIC,
)
from yuccadale_edge._internal.routing.rate_limits import (
    LimitNotice,
    RateLimits,
)
from yuccadale_edge._internal.system_view import SystemView

# All instances have to know a limit within 0.5 s.
_INTERVAL_S = 0.1
_REPEAT_S = 2.0

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[LimitNotice]).decode


class LimitExchange:
    """Sends and receives notices of limits."""

    def __init__(
        self,
        rate_limits: RateLimits,
        system_view: SystemView,
        broadcaster: Broadcaster,
    ) -> None:
        self._rate_limits = rate_limits
        self._system_view = system_view
        self._broadcaster = broadcaster
        self._repeated_s = elapsed_s()
        self._known_instances: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Sends changes until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            notices = self._rate_limits.take_notices(repeat=self._repeat_due())
            if notices:
                self._broadcaster.broadcast(
                    _encode(notices), LIMITS_TOPIC, LIMITS_RELAY_TOPIC
                )

    def handle(self, body: bytes) -> None:
        """Applies notices of another instance."""
        self._rate_limits.apply(_decode(body))

    def handle_relay(self, body: bytes) -> None:
        """Applies notices and relays them to the instances of this region."""
        self.handle(body)
        self._broadcaster.broadcast_in_region(LIMITS_TOPIC, body)

    def _repeat_due(self) -> bool:
        instances = frozenset(self._system_view.instance_by_name)
        joined = not instances <= self._known_instances
        self._known_instances = instances
        now_s = elapsed_s()
        if not joined and now_s - self._repeated_s < _REPEAT_S:
            return False
        self._repeated_s = now_s
        return True
