"""Tells the other instances the limits that servers named."""

import msgspec

from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.messages import (
    LIMITS_RELAY_TOPIC,
    LIMITS_TOPIC,
)
from yuccadale_edge._internal.membership.notice_exchange import NoticeExchange
from yuccadale_edge._internal.routing.rate_limits import (
    LimitNotice,
    RateLimits,
)
from yuccadale_edge._internal.system_view import SystemView

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[LimitNotice]).decode


def exchange_limits(
    rate_limits: RateLimits, system_view: SystemView, broadcaster: Broadcaster
) -> NoticeExchange:
    """Returns the exchange of limits of one instance."""

    def take(repeat: bool) -> bytes | None:  # noqa: FBT001
        notices = rate_limits.take_notices(repeat=repeat)
        return _encode(notices) if notices else None

    def apply(body: bytes) -> None:
        rate_limits.apply(_decode(body))

    return NoticeExchange(
        take,
        apply,
        LIMITS_TOPIC,
        LIMITS_RELAY_TOPIC,
        system_view,
        broadcaster,
    )
