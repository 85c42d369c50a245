"""Sends requests to the leader of their group and matches the answers."""

import asyncio

from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef, Leadership
from yuccadale_core.messages import (
    BodyPiece,
    Cancel,
    ForwardAnswer,
    PeerMessage,
)
from yuccadale_core.refusals import Refusal
from yuccadale_core.timing import (
    LINK_TIMEOUT_MS,
    STANDBY_TIMEOUT_MS,
    seconds,
)
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import Peers
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.answers import (
    DispatchAnswer,
    refused_answer,
)
from yuccadale_router._internal.requests.errands import Errand
from yuccadale_router._internal.requests.pieces import (
    Assembly,
    piece_count,
    split,
)
from yuccadale_router._internal.requests.region_budget import RegionLinks

_SWEEP_INTERVAL_MS = 100
# The leader knows for certain whether work ran by its deadline; its answer is
# worth waiting for beyond the way between regions and back (16 ms).
_ANSWER_GRACE_MS = 50


class _Pending:
    """A forward that waits for its answer."""

    __slots__ = ('answer', 'answered', 'assembly', 'body_limit', 'leader')

    def __init__(
        self,
        leader: InstanceRef,
        body_limit: int,
        answered: asyncio.Future[DispatchAnswer],
    ) -> None:
        self.leader = leader
        self.body_limit = body_limit
        self.answered = answered
        self.answer: ForwardAnswer | None = None
        self.assembly: Assembly | None = None

    def resolve(self, answer: DispatchAnswer) -> None:
        """Ends the wait, if it has not ended."""
        if not self.answered.done():
            self.answered.set_result(answer)


class Forwarder:
    """The entry instance's side of a forward."""

    def __init__(
        self,
        me: InstanceRef,
        peers: Peers,
        counters: Counters,
        clock: Clock,
        links: RegionLinks,
    ) -> None:
        self._me = me
        self._where = f'entry {me.name}'
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._links = links
        self._last_id = 0
        self._pending_by_id: dict[int, _Pending] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        peers.handle(ForwardAnswer, self._take_message)

    @property
    def pending_count(self) -> int:
        """Number of forwards that wait for an answer."""
        return len(self._pending_by_id)

    async def forward(
        self, leader: InstanceRef, errand: Errand
    ) -> DispatchAnswer:
        """Sends the request once and waits for the leader's answer.

        A refusal with the outcome ``not run`` means that the leader said so
        or that the request was not sent. Cancelling the call sends a
        ``Cancel`` after the request.
        """
        body = errand.request.body
        admitted = await self._links.admit(
            leader,
            errand.request.service,
            priority=errand.priority,
            body_bytes=len(body),
            limit_ms=errand.deadline_ms - self._clock(),
        )
        if not admitted:
            return self._refused(ResultCode.region_budget_spent)
        self._last_id += 1
        forward_id = self._last_id
        pending = self._open(leader, errand, forward_id)
        try:
            if await self._send(leader.name, errand, forward_id):
                return await pending.answered
            self._cancel(leader.name, forward_id)
            return self._refused(ResultCode.peer_queue_full)
        except asyncio.CancelledError:
            self._cancel(leader.name, forward_id)
            raise
        finally:
            self._pending_by_id.pop(forward_id)

    def take_piece(self, sender: InstanceRef, piece: BodyPiece) -> None:
        """Takes a piece of an answer's body."""
        pending = self._pending_by_id.get(piece.forward_id)
        if pending is None or not _same_process(sender, pending.leader):
            self._counters.count(counter_names.PIECE_UNEXPECTED)
            return
        assembly = pending.assembly
        if assembly is None or not assembly.add(piece):
            self._counters.count(counter_names.PIECE_UNEXPECTED)
            pending.resolve(self._refused(ResultCode.answer_malformed))
            return
        if assembly.complete and pending.answer is not None:
            self._finish(pending, pending.answer, assembly.body)

    def leadership_changed(self, leadership: Leadership) -> None:
        """Gives up forwards to a leader that was replaced while silent."""
        for pending in list(self._pending_by_id.values()):
            silent_ms = self._peers.silence_ms(pending.leader.name)
            replaced = not _same_process(pending.leader, leadership.leader)
            if replaced and silent_ms > STANDBY_TIMEOUT_MS:
                self._lose(pending)

    def link_replaced(self, leader_name: str) -> None:
        """Gives up forwards that may have been lost with the old link."""
        for pending in list(self._pending_by_id.values()):
            if pending.leader.name == leader_name:
                self._lose(pending)

    def _open(
        self, leader: InstanceRef, errand: Errand, forward_id: int
    ) -> _Pending:
        loop = asyncio.get_running_loop()
        pending = _Pending(
            leader, errand.body_limit_bytes, loop.create_future()
        )
        self._pending_by_id[forward_id] = pending
        left_ms = errand.deadline_ms - self._clock() + _ANSWER_GRACE_MS
        timer = loop.call_later(seconds(max(left_ms, 0)), self._expire, pending)
        pending.answered.add_done_callback(lambda _: timer.cancel())
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(
                seconds(_SWEEP_INTERVAL_MS), self._sweep
            )
        return pending

    async def _send(
        self, leader_name: str, errand: Errand, forward_id: int
    ) -> bool:
        body = errand.request.body
        pieces = piece_count(len(body))
        message = errand.forward(forward_id, self._clock(), pieces)
        if not self._peers.send(leader_name, message):
            return False
        self._counters.count(counter_names.FORWARDED)
        for piece in split(forward_id, body, of_answer=False):
            # Other requests queue their messages between two pieces.
            await asyncio.sleep(0)
            if not self._peers.send(leader_name, piece):
                return False
        return True

    def _cancel(self, leader_name: str, forward_id: int) -> None:
        self._counters.count(counter_names.FORWARD_CANCELLED)
        self._peers.send(leader_name, Cancel(forward_id))

    def _take_message(self, sender: InstanceRef, message: PeerMessage) -> None:
        if isinstance(message, ForwardAnswer):
            self._take_answer(sender, message)

    def _take_answer(self, sender: InstanceRef, answer: ForwardAnswer) -> None:
        problem = self._mismatch(sender, answer)
        if problem is not None:
            self._counters.count(problem)
            return
        pending = self._pending_by_id[answer.forward_id]
        if not answer.body_pieces:
            self._finish(pending, answer, answer.body)
            return
        pending.answer = answer
        pending.assembly = Assembly(answer.body_pieces, pending.body_limit)

    def _mismatch(
        self, sender: InstanceRef, answer: ForwardAnswer
    ) -> str | None:
        if answer.incarnation != self._me.incarnation:
            return counter_names.ANSWER_WRONG_INCARNATION
        pending = self._pending_by_id.get(answer.forward_id)
        if pending is None or pending.answer is not None:
            return counter_names.ANSWER_LATE
        if not _same_process(sender, pending.leader):
            return counter_names.ANSWER_WRONG_PEER
        return None

    def _finish(
        self, pending: _Pending, answer: ForwardAnswer, body: bytes
    ) -> None:
        if len(body) != answer.body_length:
            self._counters.count(counter_names.ANSWER_WRONG_LENGTH)
            pending.resolve(self._refused(ResultCode.answer_malformed))
            return
        pending.resolve(self._dispatch_answer(answer, body))

    def _dispatch_answer(
        self, answer: ForwardAnswer, body: bytes
    ) -> DispatchAnswer:
        if answer.code == ResultCode.done:
            return DispatchAnswer(
                status=answer.status,
                headers=answer.headers,
                body=body,
                hops=tuple(answer.hops),
            )
        try:
            code = ResultCode(answer.code)
        except ValueError:
            # A newer instance knows codes that this one does not.
            return self._refused(ResultCode.answer_malformed)
        return DispatchAnswer(
            hops=tuple(answer.hops),
            refusal=Refusal(
                code,
                answer.where,
                answer.detail,
                None if answer.retry_after_s < 0 else answer.retry_after_s,
                answer.other_group,
            ),
        )

    def _sweep(self) -> None:
        """Ends the wait for answers over links that are lost."""
        self._sweep_timer = None
        incarnation_by_name = {
            peer.name: peer.incarnation for peer in self._peers.live_peers()
        }
        for pending in list(self._pending_by_id.values()):
            name = pending.leader.name
            incarnation = incarnation_by_name.get(
                name, pending.leader.incarnation
            )
            if (
                incarnation != pending.leader.incarnation
                or self._peers.silence_ms(name) > LINK_TIMEOUT_MS
            ):
                self._lose(pending)
        if self._pending_by_id:
            self._sweep_timer = asyncio.get_running_loop().call_later(
                seconds(_SWEEP_INTERVAL_MS), self._sweep
            )

    def _lose(self, pending: _Pending) -> None:
        # The leader may have run it: only repeatable work is sent again.
        pending.resolve(self._refused(ResultCode.link_lost))

    def _expire(self, pending: _Pending) -> None:
        pending.resolve(
            self._refused(
                ResultCode.answer_lost, 'The leader did not answer in time.'
            )
        )

    def _refused(self, code: ResultCode, detail: str = '') -> DispatchAnswer:
        return refused_answer(code, self._where, detail)


def _same_process(first: InstanceRef, second: InstanceRef) -> bool:
    return first.name == second.name and first.incarnation == second.incarnation
