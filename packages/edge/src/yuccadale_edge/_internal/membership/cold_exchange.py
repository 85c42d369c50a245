"""Tells the other instances what health responses of servers say."""

import msgspec

from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.messages import (
    COLD_RELAY_TOPIC,
    COLD_TOPIC,
)
from yuccadale_edge._internal.membership.notice_exchange import NoticeExchange
from yuccadale_edge._internal.routing.cold_servers import ColdNotice
from yuccadale_edge._internal.system_view import SystemView

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[ColdNotice]).decode


def exchange_cold(
    system_view: SystemView, broadcaster: Broadcaster
) -> NoticeExchange:
    """Returns the exchange of health responses of one instance."""

    def take(repeat: bool) -> bytes | None:  # noqa: FBT001
        notices = system_view.cold_servers.take_notices(repeat=repeat)
        return _encode(notices) if notices else None

    def apply(body: bytes) -> None:
        system_view.cold_servers.apply_notices(_decode(body))

    return NoticeExchange(
        take, apply, COLD_TOPIC, COLD_RELAY_TOPIC, system_view, broadcaster
    )
