"""Serves requests that other instances forward to this leader."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import (
    BodyPiece,
    Cancel,
    Forward,
    ForwardAnswer,
    PeerMessage,
)
from yuccadale_core.refusals import Refusal
from yuccadale_core.timing import seconds
from yuccadale_router._internal.contracts import Peers
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.answers import DispatchAnswer
from yuccadale_router._internal.requests.pieces import (
    Assembly,
    piece_count,
    split,
)
from yuccadale_router._internal.requests.region_budget import RegionLinks
from yuccadale_router._internal.requests.replay_window import ReplayWindow

# Incarnations of one peer whose forward ids are kept to detect duplicates.
_MAX_INCARNATIONS_PER_PEER = 3
# Above every body limit that services declare; bounds incomplete bodies.
_BODY_LIMIT_BYTES = 64 << 20

Dispatch = Callable[[Forward], Awaitable[DispatchAnswer]]
_ForwardKey = tuple[str, str, int]


@dataclass(slots=True)
class _IncompleteForward:
    """A forward whose body has not arrived completely."""

    sender: InstanceRef
    forward: Forward
    assembly: Assembly
    timer: asyncio.TimerHandle


# Fills the refusal fields of an answer that a server gave.
_NO_REFUSAL = Refusal(ResultCode.done, '')


class ForwardServer:
    """Runs forwarded requests at the leader and returns the answers."""

    def __init__(
        self,
        peers: Peers,
        counters: Counters,
        region_links: RegionLinks,
        dispatch: Dispatch,
    ) -> None:
        self._peers = peers
        self._counters = counters
        self._region_links = region_links
        self._dispatch = dispatch
        self._task_by_key: dict[_ForwardKey, asyncio.Task[None]] = {}
        self._incomplete_by_key: dict[_ForwardKey, _IncompleteForward] = {}
        # Received forward ids by peer name, then by incarnation.
        self._windows_by_peer: dict[str, dict[str, ReplayWindow]] = {}
        peers.handle(Forward, self._handle_message)
        peers.handle(Cancel, self._handle_message)

    @property
    def running_count(self) -> int:
        """Number of forwards that are being served."""
        return len(self._task_by_key)

    def handle_piece(self, sender: InstanceRef, piece: BodyPiece) -> None:
        """Adds a piece to a forward's body."""
        key = _key(sender, piece.forward_id)
        incomplete = self._incomplete_by_key.get(key)
        if incomplete is None:
            self._counters.count(counter_names.PIECE_UNEXPECTED)
            return
        if not incomplete.assembly.add(piece):
            self._drop_incomplete(key)
            return
        if incomplete.assembly.complete:
            incomplete.timer.cancel()
            self._incomplete_by_key.pop(key)
            forward = msgspec.structs.replace(
                incomplete.forward, body=incomplete.assembly.body
            )
            self._start(sender, forward)

    def _handle_message(
        self, sender: InstanceRef, message: PeerMessage
    ) -> None:
        if isinstance(message, Forward):
            self._handle_forward(sender, message)
        elif isinstance(message, Cancel):
            self._handle_cancel(sender, message)

    def _handle_forward(self, sender: InstanceRef, forward: Forward) -> None:
        if not self._is_new(sender, forward.forward_id):
            self._counters.count(counter_names.FORWARD_DUPLICATE)
            return
        self._counters.count(counter_names.FORWARD_RECEIVED)
        if not forward.body_pieces:
            self._start(sender, forward)
            return
        key = _key(sender, forward.forward_id)
        timer = asyncio.get_running_loop().call_later(
            seconds(max(0, forward.remaining_ms)), self._drop_incomplete, key
        )
        self._incomplete_by_key[key] = _IncompleteForward(
            sender,
            forward,
            Assembly(forward.body_pieces, _BODY_LIMIT_BYTES),
            timer,
        )

    def _is_new(self, sender: InstanceRef, forward_id: int) -> bool:
        """Returns whether the forward arrives for the first time.

        A duplicate message must not run work that was refused here as
        ``not run``.
        """
        window_by_process = self._windows_by_peer.setdefault(sender.name, {})
        window = window_by_process.get(sender.incarnation)
        if window is None:
            window = ReplayWindow()
            window_by_process[sender.incarnation] = window
            if len(window_by_process) > _MAX_INCARNATIONS_PER_PEER:
                window_by_process.pop(next(iter(window_by_process)))
        return window.is_new(forward_id)

    def _handle_cancel(self, sender: InstanceRef, cancel: Cancel) -> None:
        key = _key(sender, cancel.forward_id)
        task = self._task_by_key.get(key)
        if task is not None:
            self._counters.count(counter_names.FORWARD_CANCELLED)
            task.cancel()
        elif key in self._incomplete_by_key:
            self._drop_incomplete(key)

    def _drop_incomplete(self, key: _ForwardKey) -> None:
        incomplete = self._incomplete_by_key.pop(key)
        incomplete.timer.cancel()
        self._counters.count(counter_names.FORWARD_INCOMPLETE)

    def _start(self, sender: InstanceRef, forward: Forward) -> None:
        key = _key(sender, forward.forward_id)
        task = asyncio.create_task(self._serve(sender, forward))
        self._task_by_key[key] = task
        task.add_done_callback(lambda _: self._task_by_key.pop(key))

    async def _serve(self, sender: InstanceRef, forward: Forward) -> None:
        answer = await self._dispatch(forward)
        body = answer.body
        admitted = await self._region_links.admit(
            sender,
            forward.service,
            priority=forward.priority,
            body_bytes=len(body),
            limit_ms=forward.remaining_ms,
        )
        if not admitted:
            # The work ran; without the answer its outcome would be unknown to
            # the caller.
            self._region_links.charge(sender, forward.service, len(body))
        message = _answer_message(sender, forward.forward_id, answer)
        sent = self._peers.send(sender.name, message)
        for piece in split(forward.forward_id, body, of_answer=True):
            await asyncio.sleep(0)
            sent = sent and self._peers.send(sender.name, piece)
        if not sent:
            self._counters.count(counter_names.ANSWER_NOT_SENT)


def _answer_message(
    sender: InstanceRef, forward_id: int, answer: DispatchAnswer
) -> ForwardAnswer:
    pieces = piece_count(len(answer.body))
    refusal = answer.refusal or _NO_REFUSAL
    retry_after_s = refusal.retry_after_s
    return ForwardAnswer(
        forward_id=forward_id,
        incarnation=sender.incarnation,
        code=refusal.code,
        where=refusal.where,
        detail=refusal.detail,
        retry_after_s=-1 if retry_after_s is None else retry_after_s,
        status=answer.status,
        headers=dict(answer.headers),
        body=b'' if pieces else answer.body,
        body_length=len(answer.body),
        hops=list(answer.hops),
        body_pieces=pieces,
        other_group=refusal.other_group,
    )


def _key(sender: InstanceRef, forward_id: int) -> _ForwardKey:
    return sender.name, sender.incarnation, forward_id
