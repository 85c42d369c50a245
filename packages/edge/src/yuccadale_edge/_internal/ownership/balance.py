"""Where keys should lie: cuts ranges by load and picks their servers.

Answers the pattern of busy keys that are close together: a hot set of some
adjacent keys can carry more than one server does, so a range is cut until
its parts fit, and the busiest server gives the part to the one with most
room.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate, pairwise

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.segments import Holder

# A part may weigh this much more than what is to be moved.
_OVERSHOOT = 1.2
# Part of all load that is spread evenly over the keys: keys that were not
# seen yet weigh something, so unknown ranges are divided too.
_UNSEEN_SHARE = 0.15
_UNSEEN_FLOOR = 0.02
# A key that takes this part of its server's capacity goes to the fastest
# server, if that one is so much faster.
_HOT_KEY_SHARE = 0.6
_FASTER = 1.3
# Load observed half this long ago counts half.
HALF_LIFE_S = 2.5
# Work in seconds a second below which a key is forgotten.
_NEGLIGIBLE = 0.000004


@dataclass(frozen=True, slots=True)
class Span:
    """A range of keys with the server that shall own it."""

    first: int
    last: int
    holder: Holder | None
    movable: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """A range that shall go to another server.

    Attributes:
        source: the server that is relieved, None if none was usable.
        source_load: its load over the mean before the move, 0 without one.
        weight: work of the range, in seconds a second.
    """

    first: int
    last: int
    target: Holder
    source: Holder | None = None
    source_load: float = 0
    weight: float = 0


class KeyLoad:
    """Observed work by key, in work seconds a second, fading with time."""

    def __init__(self) -> None:
        self._weight_by_key: defaultdict[int, float] = defaultdict(float)
        self._at_s: float = 0

    def add(self, weight_by_key: Mapping[int, float]) -> None:
        """Adds work in seconds that was asked for since the last report."""
        rate = 0.69 / HALF_LIFE_S
        for key, weight in weight_by_key.items():
            self._weight_by_key[key] += weight * rate

    def fade(self, now_s: float) -> None:
        """Lets older observations count less."""
        factor = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
        self._at_s = now_s
        faded: defaultdict[int, float] = defaultdict(float)
        for key, weight in self._weight_by_key.items():
            kept = weight * factor
            if kept > _NEGLIGIBLE:
                faded[key] = kept
        self._weight_by_key = faded

    def profile(self) -> 'LoadProfile':
        """Returns the present load in a form that answers range sums."""
        return LoadProfile(self._weight_by_key)


class LoadProfile:
    """Work by range, from a moment's observations."""

    def __init__(self, weight_by_key: Mapping[int, float]) -> None:
        self._keys = sorted(weight_by_key)
        self._sums = [
            0,
            *accumulate(weight_by_key[key] for key in self._keys),
        ]
        seen = self._sums[-1]
        self._each = max(_UNSEEN_FLOOR, seen * _UNSEEN_SHARE) / KEY_COUNT

    def weight(self, first: int, last: int) -> float:
        """Returns the work of a range, both ends included."""
        low = bisect_left(self._keys, first)
        high = bisect_left(self._keys, last + 1)
        seen = self._sums[high] - self._sums[low]
        return seen + self._each * (last - first + 1)

    def hottest(self, least: float) -> list[int]:
        """Returns the keys with at least some work, the busiest first."""
        pairs = zip(self._keys, pairwise(self._sums), strict=True)
        hot = [
            (after - before, key)
            for key, (before, after) in pairs
            if after - before >= least
        ]
        return [key for _, key in sorted(hot, reverse=True)]

    def cut(self, first: int, last: int, weight: float) -> int:
        """Returns the last key of a leading part of about a weight."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.weight(first, middle) < weight:
                low = middle + 1
            else:
                high = middle
        if low > first:
            over = self.weight(first, low) - weight
            under = weight - self.weight(first, low - 1)
            if under < over:
                return low - 1
        return low


class Balancer:
    """Plans moves for one service at one moment."""

    def __init__(
        self,
        spans: Sequence[Span],
        fair_load_by_holder: Mapping[Holder, float],
        profile: LoadProfile,
    ) -> None:
        self._profile = profile
        self._fair_load_by_holder = fair_load_by_holder
        self._spans = list(spans)
        self._load_by_holder: dict[Holder, float] = dict.fromkeys(
            fair_load_by_holder, 0
        )
        usable = self._load_by_holder.keys()
        for span in spans:
            if span.holder is not None and span.holder in usable:
                self._load_by_holder[span.holder] += self._weight(span)

    @property
    def mean(self) -> float:
        """The load over the fair load if all servers were equally so."""
        total = self._profile.weight(0, KEY_COUNT - 1)
        return total / sum(self._fair_load_by_holder.values())

    def place_unowned(self) -> list[Move]:
        """Gives ranges without a usable server to those with room."""
        moves: list[Move] = []
        for span in list(self._spans):
            if span.holder in self._load_by_holder:
                continue
            self._spans.remove(span)
            moves.extend(self._spread(span))
        return moves

    def place_hot_keys(
        self, capacity_by_holder: Mapping[Holder, float]
    ) -> list[Move]:
        """Gives keys that fill a server to the fastest servers.

        Answers the pattern of one key with much of the traffic: it cannot be
        divided, so the speed of its server decides how much is served. What
        else lies on that server is taken from it afterwards.
        """
        free = dict(capacity_by_holder)
        least = min(capacity_by_holder.values()) * _HOT_KEY_SHARE
        placed = [
            self._place_hot_key(key, free)
            for key in self._profile.hottest(least)
        ]
        return [move for move in placed if move is not None]

    def relieve(
        self, most_moves: int, tolerance: float, least_share: float
    ) -> list[Move]:
        """Takes ranges from the busiest servers.

        Args:
            most_moves: moves to plan.
            tolerance: a server within this factor of the mean keeps its keys.
            least_share: part of a server's fair load that pays a move.
        """
        moves: list[Move] = []
        stuck: set[Holder] = set()
        while len(moves) < most_moves:
            busy = [one for one in self._load_by_holder if one not in stuck]
            if not busy:
                break
            hottest = max(busy, key=self._relative)
            if self._relative(hottest) <= self.mean * tolerance:
                break
            move = self._relieve_one(hottest, least_share)
            if move is None:
                stuck.add(hottest)
            else:
                moves.append(move)
        return moves

    def relative_loads(self) -> dict[Holder, float]:
        """Returns each server's load over the mean."""
        return {
            holder: self._relative(holder) / self.mean
            for holder in self._load_by_holder
        }

    def _relieve_one(self, hottest: Holder, least_share: float) -> Move | None:
        coolest = min(self._load_by_holder, key=self._relative)
        amount = min(self._excess(hottest), -self._excess(coolest))
        least = self.mean * self._fair_load_by_holder[coolest] * least_share
        if amount < least:
            return None
        span = self._best_span(hottest, amount)
        if span is None:
            return None
        part = self._part(span, amount)
        if part is None or self._weight(part) < least / 2:
            return None
        return self._give(span, part, coolest)

    def _give(self, span: Span, part: Span, target: Holder) -> Move:
        """Moves a part of a span that a usable server holds."""
        source = span.holder
        assert source is not None
        weight = self._weight(part)
        source_load = self._relative(source) / self.mean
        self._spans.remove(span)
        self._spans.extend(_without(span, part))
        self._spans.append(Span(part.first, part.last, target, False))
        self._load_by_holder[source] -= weight
        self._load_by_holder[target] += weight
        return Move(part.first, part.last, target, source, source_load, weight)

    def _place_hot_key(
        self, key: int, free: dict[Holder, float]
    ) -> Move | None:
        """Moves a key if that pays; its server is then no longer free."""
        span = self._span_of(key)
        holder = span.holder
        if holder is None or holder not in free:
            return None
        weight = self._profile.weight(key, key)
        if weight < free[holder] * _HOT_KEY_SHARE:
            return None
        fastest = max(free, key=free.__getitem__)
        if not span.movable or free[fastest] < free[holder] * _FASTER:
            free.pop(holder)
            return None
        free.pop(fastest)
        return self._give(span, Span(key, key, holder), fastest)

    def _span_of(self, key: int) -> Span:
        return next(one for one in self._spans if one.first <= key <= one.last)

    def _best_span(self, holder: Holder, amount: float) -> Span | None:
        own = [
            span
            for span in self._spans
            if span.holder == holder and span.movable
        ]
        whole = [
            span
            for span in own
            if amount / 2 <= self._weight(span) <= amount * _OVERSHOOT
        ]
        if whole:
            return min(whole, key=_size)
        larger = [
            span
            for span in own
            if self._weight(span) > amount * _OVERSHOOT
            and span.last > span.first
        ]
        if larger:
            return max(larger, key=self._weight)
        smaller = [span for span in own if self._weight(span) <= amount]
        if len(own) > 1 and smaller:
            return max(smaller, key=self._weight)
        return None

    def _part(self, span: Span, amount: float) -> Span | None:
        """Returns a leading or trailing part of at most about an amount.

        A single key that weighs more is left where it is: what lies before
        and behind it goes.
        """
        most = amount * _OVERSHOOT
        if self._weight(span) <= most:
            return span
        parts = []
        head_last = self._profile.cut(span.first, span.last, amount)
        if self._profile.weight(span.first, head_last) > most:
            head_last -= 1
        if head_last >= span.first:
            parts.append(Span(span.first, head_last, span.holder))
        rest = self._weight(span) - amount
        tail_first = 1 + self._profile.cut(span.first, span.last, rest)
        if self._profile.weight(tail_first, span.last) > most:
            tail_first += 1
        if tail_first <= span.last:
            parts.append(Span(tail_first, span.last, span.holder))
        return max(parts, key=self._gain, default=None)

    def _gain(self, part: Span) -> tuple[float, int]:
        # Of two parts of about the same weight the one with fewer keys moves.
        digits = round(self._weight(part), 2)
        return digits, -_size(part)

    def _spread(self, span: Span) -> list[Move]:
        moves: list[Move] = []
        first = span.first
        while first <= span.last:
            coolest = min(self._load_by_holder, key=self._relative)
            room = -self._excess(coolest)
            least = self.mean * self._fair_load_by_holder[coolest] / 4
            last = self._profile.cut(first, span.last, max(room, least))
            if self._profile.weight(last + 1, span.last) < least:
                last = span.last
            weight = self._profile.weight(first, last)
            self._load_by_holder[coolest] += weight
            self._spans.append(Span(first, last, coolest, False))
            moves.append(Move(first, last, coolest, weight=weight))
            first = last + 1
        return moves

    def _weight(self, span: Span) -> float:
        return self._profile.weight(span.first, span.last)

    def _relative(self, holder: Holder) -> float:
        return self._load_by_holder[holder] / self._fair_load_by_holder[holder]

    def _excess(self, holder: Holder) -> float:
        fair = self.mean * self._fair_load_by_holder[holder]
        return self._load_by_holder[holder] - fair


def _without(span: Span, part: Span) -> list[Span]:
    """Returns what is left of a span without a part of it."""
    left = []
    if span.first < part.first:
        left.append(Span(span.first, part.first - 1, span.holder))
    if part.last < span.last:
        left.append(Span(part.last + 1, span.last, span.holder))
    return left


def _size(span: Span) -> int:
    return span.last - span.first + 1
