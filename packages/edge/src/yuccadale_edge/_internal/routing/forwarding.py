"""Forwards requests to the instances that send to servers."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    FORWARD_TOPIC,
    LinkLostError,
    NoRoomError,
    PeerLinks,
    PeerUnreachableError,
    RequestFailedError,
)
from yuccadale_edge._internal.model import Place, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.region_links import (
    Crossing,
    RegionLinks,
    needs_room,
)
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.senders import (
    choose_sender,
    first_senders,
)
from yuccadale_edge._internal.system_view import Instance, SystemView

_log = structlog.get_logger()

_MS_PER_S = 1000.0
# Added to the deadline of a forwarded request, so that an answer sent just
# before the deadline still arrives.
_LINK_GRACE_S = 0.2
# How long no requests are forwarded to an instance that was unreachable.
_SUSPECT_S = 1.0
# Instances that disagree on the sender do not pass a request on for ever.
_MAX_FORWARDS = 2
# Part of a server's limit that an instance may use, by its position among the
# senders of the server. Those after the sender replace it while it cannot be
# reached; it may still send, so all parts together stay below what a server
# tolerates. Instances after these send nothing to a limited server.
LIMIT_SHARES = (1.0, 0.25, 0.1, 0.05)

# When a caller may return whose request found no room.
_NO_ROOM_RETRY_S = 0.5

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
        self.region_links = RegionLinks(place, metrics, elapsed_s)
        self._suspect_until_by_name: dict[str, float] = {}
        self._senders_by_place: dict[tuple[str, str], list[Instance]] = {}
        self._roster_of_senders: object = None

    def reachable_sender(
        self, hash_key: str, data_centre: str, regions: tuple[str, ...] = ()
    ) -> Instance | None:
        """Returns the sender to forward to; None if it is this instance.

        Args:
            hash_key: see ``choose_sender``.
            data_centre: see ``choose_sender``.
            regions: of the senders; all if empty.
        """
        sender = choose_sender(
            hash_key,
            data_centre,
            [
                one
                for one in self._system_view.instance_by_name.values()
                if self._place.allows(one.data_centre, regions)
            ],
            self._place,
            self._is_suspected,
        )
        if sender is None or sender.name == self._instance:
            return None
        return sender

    def sends_for(self, service: str) -> bool:
        """Whether this instance sends for a service without keys.

        The loss of the sender of its data centre counts here once it is known.
        """
        place = self._place
        sender = self.reachable_sender(
            f'{service}@{place.region}', place.data_centre
        )
        return sender is None

    def limit_share(self, server: Server) -> float:
        """Returns the part of a server's limit that this instance may use.

        An instance without the leader cannot know whether others replace it,
        so it uses the part of the next position.
        """
        names = [one.name for one in self._senders_of(server)]
        if not names:
            # Instances that start together have no roster yet.
            return LIMIT_SHARES[-1]
        if self._instance not in names:
            return 0
        position = names.index(self._instance)
        if not self._hears_leader():
            position += 1
        return LIMIT_SHARES[position] if position < len(LIMIT_SHARES) else 0

    def is_limit_sender(self, server: Server) -> bool:
        """Whether this instance is the first sender that may be reached."""
        for sender in self._senders_of(server):
            if not self._is_suspected(sender):
                return sender.name == self._instance
        return False

    def limit_sender(
        self, server: Server, request: RoutedRequest
    ) -> Instance | None:
        """Returns the sender through which a limited server is reached.

        Returns:
            None if it is this instance, none can be reached, or the request
            was forwarded too often.
        """
        if request.forwards >= _MAX_FORWARDS:
            return None
        for sender in self._senders_of(server):
            if sender.name == self._instance:
                return None
            allowed = self._place.allows(sender.data_centre, request.regions)
            if allowed and not self._is_suspected(sender):
                return sender
        return None

    async def forward(
        self, sender: Instance, request: RoutedRequest
    ) -> Result | None:
        """Forwards a request and returns the result of its sender.

        A large body to another region may be refused instead.

        Returns:
            None if the sender was not reached; the request was not sent.
        """
        if not needs_room(self._place, request, sender.data_centre):
            begun_s = elapsed_s()
            result = await self._forward(sender, request, None)
            self._observe_small(sender, elapsed_s() - begun_s, result)
            return result
        refused = self.region_links.owner_refusal(request)
        if refused is not None:
            return refused
        async with self.region_links.crossing(
            request, sender.data_centre
        ) as crossing:
            if crossing.refused is not None:
                return crossing.refused
            return await self._forward(sender, request, crossing)

    async def _forward(
        self,
        sender: Instance,
        request: RoutedRequest,
        crossing: Crossing | None,
    ) -> Result | None:
        try:
            await self._connect(sender, request)
        except PeerUnreachableError as error:
            _note_loss(crossing)
            self._mark_suspected(sender, str(error))
            return None
        except TimeoutError:
            return Refused(
                ResultCode.deadline_passed,
                f'the deadline passed while {sender.name} was connected',
            )
        return await self._send(sender, request, crossing)

    async def _send(
        self,
        sender: Instance,
        request: RoutedRequest,
        crossing: Crossing | None,
    ) -> Result | None:
        request.forwards += 1
        try:
            result = await self._links.request(
                sender.address,
                FORWARD_TOPIC,
                encode_message(request),
                request.remaining_ms / _MS_PER_S + _LINK_GRACE_S,
                _decode_result,
            )
        except PeerUnreachableError as error:
            request.forwards -= 1
            _note_loss(crossing)
            self._mark_suspected(sender, str(error))
            return None
        except NoRoomError:
            request.forwards -= 1
            return Refused(
                ResultCode.bodies_full,
                f'{sender.name} has no room for the body',
                _NO_ROOM_RETRY_S,
            )
        except LinkLostError as error:
            if not isinstance(error, RequestFailedError):
                _note_loss(crossing)
                self._mark_suspected(sender, str(error))
            return Refused(
                ResultCode.link_lost, f'{sender.name}: {error}', attempts=1
            )
        if crossing is not None:
            crossing.observe_forwarded(result)
            self.region_links.observe_owner(request, result)
        if _is_stopping(result):
            request.forwards -= 1
            self._mark_suspected(sender, 'it is stopping')
            return None
        return result

    async def _connect(self, sender: Instance, request: RoutedRequest) -> None:
        """Opens the link to a sender; reduces the times by what that takes.

        Raises:
            PeerUnreachableError: no link could be opened.
            TimeoutError: the deadline has passed.
        """
        begun_s = elapsed_s()
        try:
            async with asyncio.timeout(request.remaining_ms / _MS_PER_S):
                await self._links.connect(sender.address)
        finally:
            _reduce_times(request, begun_s)

    def _observe_small(
        self, sender: Instance, took_s: float, result: Result | None
    ) -> None:
        if result is None or self._place.distance(sender.data_centre) < 2:
            return
        if isinstance(result, Served) or result.code != ResultCode.link_lost:
            self.region_links.observe_small(sender.data_centre, took_s, result)

    def _senders_of(self, server: Server) -> list[Instance]:
        """Returns the senders of a server in order, kept for each roster."""
        instances = self._system_view.instance_by_name
        roster = (self._system_view.membership_version, len(instances))
        if roster != self._roster_of_senders:
            self._roster_of_senders = roster
            self._senders_by_place.clear()
        place = (server.server_id, server.data_centre)
        senders = self._senders_by_place.get(place)
        if senders is None:
            senders = first_senders(
                server.server_id,
                server.data_centre,
                instances.values(),
                self._place,
                len(LIMIT_SHARES),
            )
            self._senders_by_place[place] = senders
        return senders

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


def _reduce_times(request: RoutedRequest, since_s: float) -> None:
    """Reduces the times of a request by what has passed."""
    took_ms = (elapsed_s() - since_s) * _MS_PER_S
    request.remaining_ms -= took_ms
    request.until_target_ms -= took_ms


def _is_stopping(result: Result) -> bool:
    """Whether the sender refused a request since its process ends."""
    return (
        isinstance(result, Refused)
        and result.code == ResultCode.instance_draining
    )


def _note_loss(crossing: Crossing | None) -> None:
    if crossing is not None:
        crossing.lose()
