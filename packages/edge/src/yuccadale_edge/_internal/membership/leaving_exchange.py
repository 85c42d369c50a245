"""Tells the other instances which servers say that they leave."""

from collections.abc import Callable

import msgspec

from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.messages import (
    LEAVING_RELAY_TOPIC,
    LEAVING_TOPIC,
)
from yuccadale_edge._internal.membership.notice_exchange import NoticeExchange
from yuccadale_edge._internal.server_availability import LeavingNotice
from yuccadale_edge._internal.system_view import SystemView

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[LeavingNotice]).decode


def exchange_leaving(
    system_view: SystemView,
    broadcaster: Broadcaster,
    leads: Callable[[], bool],
) -> NoticeExchange:
    """Returns the exchange of servers that leave of one instance.

    Args:
        system_view: what this instance knows.
        broadcaster: sends to the other instances.
        leads: whether this instance leads. The leader repeats what others
            told, since they may have ended.
    """
    availability = system_view.availability

    def take(repeat: bool) -> bytes | None:  # noqa: FBT001
        notices = availability.take_leaving(repeat=repeat, all_known=leads())
        return _encode(notices) if notices else None

    def apply(body: bytes) -> None:
        if availability.apply_leaving(_decode(body)):
            system_view.wake()

    return NoticeExchange(
        take,
        apply,
        LEAVING_TOPIC,
        LEAVING_RELAY_TOPIC,
        system_view,
        broadcaster,
    )
