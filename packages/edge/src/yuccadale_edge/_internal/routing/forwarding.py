"""Forwards requests to the instances that send to servers."""

from collections.abc import Callable

import msgspec
import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
    RequestFailedError,
)
from yuccadale_edge._internal.model import Place, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
)
from yuccadale_edge._internal.routing.senders import choose_sender
from yuccadale_edge._internal.system_view import Instance, SystemView

_log = structlog.get_logger()

_MS_PER_S = 1000.0
# Added to the deadline of a forwarded request, so that an answer sent just
# before the deadline still arrives.
_LINK_GRACE_S = 0.2
# How long no requests are forwarded to an instance that was unreachable.
_SUSPECT_S = 1.0
# The choice of a sender takes one hash for each instance.
_SENDERS_VALID_S = 0.1
# Instances that disagree on the sender do not pass a request on for ever.
_MAX_FORWARDS = 2

FORWARD_TOPIC = 'forward'

encode_message = msgspec.msgpack.Encoder().encode
decode_request = msgspec.msgpack.Decoder(RoutedRequest).decode
_decode_result = msgspec.msgpack.Decoder(Result).decode


class Forwarder:
    """Knows the sender of each server and forwards requests to it."""

    def __init__(
        self,
        system_view: SystemView,
        links: PeerLinks,
        metrics: Metrics,
        place: Place,
        instance: str,
        hears_leader: Callable[[], bool],
    ) -> None:
        """Creates the forwarder of one instance.

        Args:
            system_view: the roster.
            links: connections to the other instances.
            metrics: counts instances that could not be reached.
            place: where this instance runs.
            instance: its name.
            hears_leader: whether the roster here is the leader's.
        """
        self._system_view = system_view
        self._links = links
        self._metrics = metrics
        self._place = place
        self._instance = instance
        self._hears_leader = hears_leader
        self._suspect_until_by_name: dict[str, float] = {}
        self._sender_by_server: dict[str, Instance | None] = {}
        self._senders_until_s: float = 0

    def reachable_sender(
        self, hash_key: str, data_centre: str
    ) -> Instance | None:
        """Returns the sender to forward to; None if it is this instance."""
        sender = choose_sender(
            hash_key,
            data_centre,
            self._system_view.instance_by_name.values(),
            self._place,
            self._is_suspected,
        )
        if sender is None or sender.name == self._instance:
            return None
        return sender

    def is_sender(self, server: Server) -> bool:
        """Whether the other instances send to a server through this one.

        An instance without the leader cannot know that.
        """
        sender = self._sender_of(server)
        return self._hears_leader() and (
            sender is None or sender.name == self._instance
        )

    def limit_keeper(
        self, server: Server, request: RoutedRequest
    ) -> Instance | None:
        """Returns the sender that keeps a server's limit.

        Returns:
            None if it is this instance, cannot be reached, or the request was
            forwarded too often.
        """
        sender = self._sender_of(server)
        if sender is None or sender.name == self._instance:
            return None
        if request.forwards >= _MAX_FORWARDS or self._is_suspected(sender):
            return None
        return sender

    async def forward(
        self, sender: Instance, request: RoutedRequest
    ) -> Result | None:
        """Forwards a request and returns the result of its sender.

        Returns:
            None if the sender was not reached; the request was not sent.
        """
        request.forwards += 1
        try:
            return await self._links.request(
                sender.address,
                FORWARD_TOPIC,
                encode_message(request),
                request.remaining_ms / _MS_PER_S + _LINK_GRACE_S,
                _decode_result,
            )
        except PeerUnreachableError as error:
            request.forwards -= 1
            self._mark_suspected(sender, str(error))
            return None
        except LinkLostError as error:
            if not isinstance(error, RequestFailedError):
                self._mark_suspected(sender, str(error))
            return Refused(
                ResultCode.link_lost, f'{sender.name}: {error}', attempts=1
            )

    def _sender_of(self, server: Server) -> Instance | None:
        now_s = elapsed_s()
        if now_s >= self._senders_until_s:
            self._senders_until_s = now_s + _SENDERS_VALID_S
            self._sender_by_server.clear()
        if server.server_id not in self._sender_by_server:
            self._sender_by_server[server.server_id] = self._choose(server)
        return self._sender_by_server[server.server_id]

    def _choose(self, server: Server) -> Instance | None:
        return choose_sender(
            server.server_id,
            server.data_centre,
            self._system_view.instance_by_name.values(),
            self._place,
            _never_suspected,
        )

    def _is_suspected(self, instance: Instance) -> bool:
        if instance.name == self._instance:
            return False
        until = self._suspect_until_by_name.get(instance.name, 0)
        return elapsed_s() < until

    def _mark_suspected(self, instance: Instance, reason: str) -> None:
        self._suspect_until_by_name[instance.name] = elapsed_s() + _SUSPECT_S
        self._metrics.count('peer_suspected')
        _log.warning(
            'instance suspected',
            peer=instance.name,
            reason=reason,
            for_s=_SUSPECT_S,
        )


def _never_suspected(_instance: Instance) -> bool:
    return False
