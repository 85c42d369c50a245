"""Requests written to a server and not answered so far."""

import asyncio

_Idle = asyncio.Future[None]


class InFlightRequest:
    """One request at a server.

    Attributes:
        deadline_ms: time at which the server itself abandons the request.
        answer_timeout: timeout of the call, ended early when the server is
            lost; None when nothing waits for the answer.
        server_lost: whether ownership has declared the server lost.
    """

    __slots__ = (
        'deadline_ms',
        'answer_timeout',
        'server_lost',
        'server_name',
        'slot',
    )

    def __init__(self, slot: int, server_name: str, deadline_ms: float) -> None:
        self.deadline_ms = deadline_ms
        self.slot = slot
        self.server_name = server_name
        self.answer_timeout: asyncio.Timeout | None = None
        self.server_lost = False

    def stop_waiting(self, now_s: float) -> None:
        """Ends the wait for the answer; ``now_s`` is the event loop's time."""
        self.server_lost = True
        if self.answer_timeout is not None:
            self.answer_timeout.reschedule(now_s)


class InFlightRequests:
    """All requests at the servers of a group, by slot."""

    def __init__(self) -> None:
        # Inner dictionaries are sets that keep the order of writing.
        self._requests_by_slot: dict[int, dict[InFlightRequest, None]] = {}
        self._idle_by_slot: dict[int, list[_Idle]] = {}

    def start(
        self, slot: int, server_name: str, deadline_ms: float
    ) -> InFlightRequest:
        """Adds a request that is about to be written."""
        request = InFlightRequest(slot, server_name, deadline_ms)
        self._requests_by_slot.setdefault(slot, {})[request] = None
        return request

    def end(self, request: InFlightRequest) -> None:
        """Removes a request that is answered, cancelled or too late."""
        requests = self._requests_by_slot.get(request.slot)
        if requests is None:
            return
        requests.pop(request, None)
        if requests:
            return
        self._requests_by_slot.pop(request.slot)
        for idle in self._idle_by_slot.pop(request.slot, ()):
            if not idle.done():
                idle.set_result(None)

    async def wait_until_idle(self, slot: int) -> None:
        """Returns when no request is in flight for the slot."""
        if slot not in self._requests_by_slot:
            return
        idle: _Idle = asyncio.get_running_loop().create_future()
        self._idle_by_slot.setdefault(slot, []).append(idle)
        await idle

    def stop_waiting_for_server(
        self, server_name: str, *, fenced: bool
    ) -> None:
        """Ends the wait for all answers of a server.

        Args:
            fenced: whether the server refuses the work by now, so that no
                request counts as in flight there.
        """
        now_s = asyncio.get_running_loop().time()
        at_server = [
            request
            for requests in self._requests_by_slot.values()
            for request in requests
            if request.server_name == server_name
        ]
        for request in at_server:
            request.stop_waiting(now_s)
            if fenced:
                self.end(request)
