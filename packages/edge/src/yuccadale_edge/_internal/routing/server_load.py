"""What servers report of their load, and what follows for the next request.

The senders of the data centres of a region share servers and do not know of
each other's requests. A server states in its answers how many requests it has,
and how long work takes on it now. Each sender subtracts its own requests, and
leaves the slots that others use to them.

An answer tells nothing about a server that became slow until it arrives, so a
request that is overdue counts before its answer does.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from math import ceil, inf

from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import ServerLoad

# A report counts fully for this time, about the time of one request.
_FRESH_S = 0.25
# From this age on, a report counts no more.
STALE_S = 1.0
# A late answer counts for longer than a report, by this factor. It is not
# followed by others while the server gets no requests.
_DELAY_MEMORY = 2.0
# A request is overdue after so many times its expected time.
OVERDUE = 3.0
# A request is late after so many times its expected time: it will probably
# miss its target, but says little of its server yet.
_LATE = 2.0
# Servers often take three times as long for a while, and still answer within
# the targets if nothing waits there. They count as slow from this factor on.
_SLOW = 6.0
# Shorter expectations are within the jitter of the network and of timers.
_MIN_EXPECTED_S = 0.1
# Answers before a mean is known well enough to call a request overdue.
_MIN_ANSWERS = 10
# Weights of a new time in the mean of its route and the factor of its server.
_MEAN_WEIGHT = 0.02
_FACTOR_WEIGHT = 0.1
# Bounds of the factor of a server, beyond the speeds of real machines.
_MIN_FACTOR = 0.3
_MAX_FACTOR = 3.0
# Bounds of a reported pace.
_MIN_PACE = 0.1
_MAX_PACE = 100.0


@dataclass(frozen=True, slots=True)
class Sent:
    """A request in flight.

    Attributes:
        sent_s: when it was sent.
        route: of the request.
        expected_s: its time on this server at the usual pace, with the wait
            for a slot; infinite if too few times are known.
        queued: whether the server had no free slot for it.
    """

    sent_s: float
    route: str
    expected_s: float
    queued: bool


@dataclass(slots=True)
class InFlight:
    """A request that this instance counts as in flight.

    Attributes:
        number: tells it from the others.
        answered: whether the server ran and answered it.
        sent: what is expected of it, if it is observed.
    """

    number: int
    answered: bool = False
    sent: Sent | None = None


@dataclass(slots=True)
class ServerState:
    """What a sender knows of the load of a server.

    Attributes:
        load: the latest report, if any.
        reported_s: when it arrived.
        others: requests of other senders at that moment.
        factor: times of this server at its usual pace, relative to the mean.
        sent_by_number: requests in flight, in order of sending.
        proven_s: requests sent before this moment are no evidence: a later one
            was answered within the expected time.
        delay: ratio of a late answer to its expected time.
        delayed_s: when that answer arrived.
    """

    load: ServerLoad | None = None
    reported_s: float = -inf
    others: float = 0
    factor: float = 1.0
    sent_by_number: dict[int, Sent] = field(default_factory=dict)
    proven_s: float = -inf
    delay: float = 1.0
    delayed_s: float = -inf


@dataclass(slots=True)
class _Mean:
    """Mean time of a route on a server of mean speed at its usual pace."""

    mean_s: float = 0
    answers: int = 0

    def add(self, took_s: float) -> None:
        """Adds a time; a few times the mean counts at most."""
        self.answers += 1
        if self.answers > 1:
            took_s = min(took_s, self.mean_s * OVERDUE)
        weight = max(_MEAN_WEIGHT, 1 / self.answers)
        self.mean_s += (took_s - self.mean_s) * weight


def weight_of(age_s: float) -> float:
    """Returns how far a report of some age is believed, from 0 to 1."""
    left = (STALE_S - age_s) / (STALE_S - _FRESH_S)
    return min(1, max(0, left))


def others_at(state: ServerState, now_s: float) -> float:
    """Returns how many requests of other senders a server has."""
    return state.others * weight_of(now_s - state.reported_s)


def slots_at(state: ServerState, declared: int, now_s: float) -> int:
    """Returns the slots of a server, from its report while that counts."""
    if state.load is None or now_s - state.reported_s > STALE_S:
        return max(1, declared)
    return max(1, state.load.slots)


def pace_at(state: ServerState, now_s: float) -> float:
    """Returns how many times longer than usual work takes, as reported."""
    if state.load is None:
        return 1.0
    if now_s - state.reported_s > STALE_S:
        return 1.0
    return min(max(state.load.pace, _MIN_PACE), _MAX_PACE)


def delay_at(state: ServerState, now_s: float) -> float:
    """Returns how many times slower a server is than its reported pace.

    It follows from the oldest request in flight, unless a later one was
    answered in time, and for a while from the last late answer.
    """
    remembered = weight_of((now_s - state.delayed_s) / _DELAY_MEMORY)
    delay = 1 + (state.delay - 1) * remembered
    pace = pace_at(state, now_s)
    for sent in state.sent_by_number.values():
        if sent.sent_s >= state.proven_s:
            expected_s = max(_MIN_EXPECTED_S, sent.expected_s * pace)
            ratio = (now_s - sent.sent_s) / expected_s
            if ratio >= OVERDUE:
                delay = max(delay, ratio)
            break
    return delay


def slowness_at(state: ServerState, now_s: float) -> float:
    """Returns how many times longer than usual work takes on a server."""
    return pace_at(state, now_s) * delay_at(state, now_s)


def is_slow_at(state: ServerState, now_s: float) -> bool:
    """Whether a server is too slow for requests that have a choice."""
    delay = delay_at(state, now_s)
    return delay >= OVERDUE or pace_at(state, now_s) * delay >= _SLOW


def is_on_trial(state: ServerState, now_s: float) -> bool:
    """Whether a server is slow, or was and has not answered in time since.

    One request at a time is enough to notice that it has recovered.
    """
    return state.delay >= OVERDUE or is_slow_at(state, now_s)


def concurrency_at(
    state: ServerState, declared: int, senders: int, now_s: float
) -> int:
    """Returns how many requests this sender may have at a server.

    All senders together keep the slots full. Each keeps an even part of them
    under contention, so that none waits until the others send nothing.

    Args:
        state: of the server.
        declared: the slots in its entry.
        senders: how many share it.
        now_s: the time.
    """
    if is_on_trial(state, now_s):
        return 1
    slots = slots_at(state, declared, now_s)
    # Also a region with one sender gets requests from other regions.
    even_part = max(1, slots // max(2, senders))
    return max(even_part, slots - ceil(others_at(state, now_s) - 0.5))


def expected_at(
    state: ServerState, declared: int, own: int, mean_s: float, now_s: float
) -> tuple[float, float]:
    """Returns the expected wait and service time of one more request.

    Args:
        state: of the server.
        declared: the slots in its entry.
        own: requests of this sender that are queued for it or in flight.
        mean_s: mean time of the route at the usual pace.
        now_s: the time.
    """
    service_s = mean_s * state.factor * slowness_at(state, now_s)
    if is_on_trial(state, now_s):
        return service_s * own, service_s
    slots = slots_at(state, declared, now_s)
    before = own + others_at(state, now_s)
    wait_s = service_s * max(0, before - slots + 1) / slots
    return wait_s, service_s


def is_silent_at(state: ServerState, now_s: float) -> bool:
    """Whether a request is overdue and no report came since it was due."""
    pace = pace_at(state, now_s)
    for sent in state.sent_by_number.values():
        expected_s = max(_MIN_EXPECTED_S, sent.expected_s * pace)
        due_s = max(sent.sent_s, state.reported_s) + expected_s
        return now_s > due_s
    return False


class ServerLoads:
    """Loads of the servers that this instance sends to."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates the state of one instance.

        Args:
            now: returns the time in seconds.
        """
        self._now = now
        self._numbers = count(1)
        self._state_by_holder: dict[Holder, ServerState] = {}
        self._mean_by_route: dict[str, _Mean] = {}
        self._reporting: set[Holder] = set()

    def observe(
        self,
        holder: Holder,
        load: ServerLoad,
        reported_s: float | None = None,
        *,
        ended: int = 0,
    ) -> None:
        """Records a report; an older one never replaces a later one.

        Args:
            holder: the server.
            load: what it reports.
            reported_s: when it did; now by default.
            ended: requests in flight that it answers and does not report.
        """
        at_s = self._now() if reported_s is None else reported_s
        state = self.state(holder)
        self._reporting.add(holder)
        if at_s < state.reported_s:
            return
        state.load = load
        state.reported_s = at_s
        own = len(state.sent_by_number) - ended
        state.others = max(0, load.running + load.waiting - own)

    @contextmanager
    def in_flight(
        self, holder: Holder, route: str, declared: int
    ) -> Iterator[InFlight]:
        """Counts a request as in flight during the block.

        Args:
            holder: the server.
            route: of the request.
            declared: the slots in the server's entry.
        """
        now_s = self._now()
        state = self.state(holder)
        known = self._mean_by_route.get(route)
        expected_s = inf
        if known is not None and known.answers >= _MIN_ANSWERS:
            expected_s = known.mean_s * state.factor
        before = len(state.sent_by_number) + others_at(state, now_s)
        slots = slots_at(state, declared, now_s)
        ahead = max(0, before - slots + 1)
        expected_s *= 1 + ahead / slots
        sent = Sent(now_s, route, expected_s, ahead > 0)
        in_flight = InFlight(next(self._numbers), sent=sent)
        state.sent_by_number[in_flight.number] = sent
        try:
            yield in_flight
        finally:
            state.sent_by_number.pop(in_flight.number)
            self._finish(state, sent, answered=in_flight.answered)

    def concurrency(self, holder: Holder, slots: int, senders: int = 1) -> int:
        """Returns how many may be in flight; see ``concurrency_at``."""
        return concurrency_at(self.state(holder), slots, senders, self._now())

    def slowness(self, holder: Holder) -> float:
        """Returns how many times longer than usual work takes."""
        return slowness_at(self.state(holder), self._now())

    def is_slow(self, holder: Holder) -> bool:
        """Whether a server is too slow for requests that have a choice."""
        return is_slow_at(self.state(holder), self._now())

    def expected_end_s(self, holder: Holder, sent: Sent) -> float:
        """Returns when a request in flight is expected to be complete."""
        state = self.state(holder)
        now_s = self._now()
        age_s = now_s - sent.sent_s
        if age_s > sent.expected_s * pace_at(state, now_s) * _LATE:
            # A late request takes about as long again.
            return now_s + age_s
        took_s = sent.expected_s * slowness_at(state, now_s)
        return sent.sent_s + max(age_s, took_s)

    def is_delayed(self, holder: Holder) -> bool:
        """Whether requests to a server are, or were last, overdue."""
        return delay_at(self.state(holder), self._now()) >= OVERDUE

    def forget_delays(self) -> None:
        """Requests that were sent until now are no longer evidence."""
        now_s = self._now()
        for state in self._state_by_holder.values():
            state.delay = 1.0
            state.proven_s = now_s

    def factor(self, holder: Holder) -> float:
        """Returns the times of a server at its usual pace, to the mean."""
        return self.state(holder).factor

    def expected_s(
        self, holder: Holder, mean_s: float, slots: int, own: int
    ) -> tuple[float, float]:
        """Returns wait and service time of one more; see ``expected_at``."""
        return expected_at(self.state(holder), slots, own, mean_s, self._now())

    def mean_s(self, route: str, default_s: float) -> float:
        """Returns the mean time of a route at the usual pace."""
        known = self._mean_by_route.get(route)
        return default_s if known is None else known.mean_s

    def reports(self, holder: Holder) -> bool:
        """Whether a server has ever reported its load."""
        return holder in self._reporting

    def is_silent(self, holder: Holder) -> bool:
        """Whether nothing was heard for longer than expected."""
        return is_silent_at(self.state(holder), self._now())

    def report_age_s(self, holder: Holder) -> float:
        """Returns the age of the latest report; infinite without one."""
        return self._now() - self.state(holder).reported_s

    def state(self, holder: Holder) -> ServerState:
        """Returns what is known of a server."""
        state = self._state_by_holder.get(holder)
        if state is None:
            state = ServerState()
            self._state_by_holder[holder] = state
        return state

    def keep_only(self, holders: set[Holder]) -> None:
        """Forgets servers that are gone."""
        self._reporting &= holders
        self._state_by_holder = {
            holder: state
            for holder, state in self._state_by_holder.items()
            if holder in holders or state.sent_by_number
        }

    def _finish(
        self, state: ServerState, sent: Sent, *, answered: bool
    ) -> None:
        now_s = self._now()
        took_s = (now_s - sent.sent_s) / pace_at(state, now_s)
        ratio = took_s / max(_MIN_EXPECTED_S, sent.expected_s)
        if ratio >= OVERDUE and sent.sent_s >= state.proven_s:
            state.delay = ratio
            state.delayed_s = now_s
            return
        if not answered:
            return
        if ratio < OVERDUE:
            state.proven_s = max(state.proven_s, sent.sent_s)
            state.delay = 1.0
        if not sent.queued:
            self._record(state, sent.route, took_s)

    def _record(self, state: ServerState, route: str, took_s: float) -> None:
        mean = self._mean_by_route.setdefault(route, _Mean())
        mean.add(took_s)
        ratio = took_s / max(mean.mean_s, 1e-6)
        state.factor += (ratio - state.factor) * _FACTOR_WEIGHT
        state.factor = min(max(state.factor, _MIN_FACTOR), _MAX_FACTOR)
