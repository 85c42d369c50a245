"""Balances load: splits key ranges by load and assigns them to servers.

Adjacent hot keys can have more load than one server can handle. So a range is
split until its parts fit, and the busiest server passes a part to the server
with the least load.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate, pairwise

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.segments import Holder

# A part may exceed the load to be moved by this factor.
_OVERSHOOT_FACTOR = 1.2
# Share of the load that is spread evenly over all keys, so that ranges without
# observed requests are divided too.
_UNOBSERVED_SHARE = 0.15
_MIN_UNOBSERVED_WEIGHT = 0.02
# A key that uses this share of its server's capacity moves to the fastest
# server, if that one is faster by the factor below.
_HOT_KEY_SHARE = 0.6
_MIN_SPEED_ADVANTAGE = 1.3
# Observed load counts half after this time.
HALF_LIFE_S = 2.5
# Keys with less work than this, in seconds per second, are dropped.
_NEGLIGIBLE_WEIGHT = 0.000004


@dataclass(frozen=True, slots=True)
class Span:
    """A range of keys with its intended owner."""

    first: int
    last: int
    holder: Holder | None
    movable: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """A range to be moved to another server.

    Attributes:
        source: the server that loses the range, None if none was usable.
        source_load: load of the source over the mean before the move, 0
            without a source.
        weight: work of the range, in seconds per second.
    """

    first: int
    last: int
    target: Holder
    source: Holder | None = None
    source_load: float = 0
    weight: float = 0


class KeyLoad:
    """Observed work by key in seconds per second, with exponential decay."""

    def __init__(self) -> None:
        self._weight_by_key: defaultdict[int, float] = defaultdict(float)
        self._decayed_s: float = 0

    def add(self, weight_by_key: Mapping[int, float]) -> None:
        """Adds the work in seconds requested since the last report."""
        rate = 0.69 / HALF_LIFE_S
        for key, weight in weight_by_key.items():
            self._weight_by_key[key] += weight * rate

    def decay(self, now_s: float) -> None:
        """Reduces the weight of older observations."""
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        decayed: defaultdict[int, float] = defaultdict(float)
        for key, weight in self._weight_by_key.items():
            kept = weight * factor
            if kept > _NEGLIGIBLE_WEIGHT:
                decayed[key] = kept
        self._weight_by_key = decayed

    def profile(self) -> 'LoadProfile':
        """Returns the present load in a form for sums over ranges."""
        return LoadProfile(self._weight_by_key)


class LoadProfile:
    """Work by range at one moment."""

    def __init__(self, weight_by_key: Mapping[int, float]) -> None:
        self._keys = sorted(weight_by_key)
        self._sums = [
            0,
            *accumulate(weight_by_key[key] for key in self._keys),
        ]
        observed = self._sums[-1]
        self._weight_per_key = (
            max(_MIN_UNOBSERVED_WEIGHT, observed * _UNOBSERVED_SHARE)
            / KEY_COUNT
        )

    def weight(self, first: int, last: int) -> float:
        """Returns the work of a range, both ends included."""
        low = bisect_left(self._keys, first)
        high = bisect_left(self._keys, last + 1)
        observed = self._sums[high] - self._sums[low]
        return observed + self._weight_per_key * (last - first + 1)

    def hot_keys(self, min_weight: float) -> list[int]:
        """Returns the keys with at least this weight, the heaviest first."""
        sums_by_key = zip(self._keys, pairwise(self._sums), strict=True)
        hot = [
            (after - before, key)
            for key, (before, after) in sums_by_key
            if after - before >= min_weight
        ]
        return [key for _, key in sorted(hot, reverse=True)]

    def prefix_end(self, first: int, last: int, weight: float) -> int:
        """Returns the last key of a prefix of about the given weight."""
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
    def mean_load(self) -> float:
        """Total load over total fair load, the target for each server."""
        total = self._profile.weight(0, KEY_COUNT - 1)
        return total / sum(self._fair_load_by_holder.values())

    def place_unowned(self) -> list[Move]:
        """Assigns ranges without a usable server to the least loaded ones."""
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
        """Moves keys that fill a server to the fastest servers.

        A single key cannot be divided, so the speed of its server limits how
        many of its requests are served. `offload_busiest` moves the other keys
        away from that server afterwards.
        """
        free = dict(capacity_by_holder)
        min_weight = min(capacity_by_holder.values()) * _HOT_KEY_SHARE
        placed = [
            self._place_hot_key(key, free)
            for key in self._profile.hot_keys(min_weight)
        ]
        return [move for move in placed if move is not None]

    def offload_busiest(
        self, max_moves: int, tolerance: float, min_share: float
    ) -> list[Move]:
        """Moves ranges away from the busiest servers.

        Args:
            max_moves: largest number of moves to plan.
            tolerance: a server within this factor of the mean keeps its keys.
            min_share: smallest share of the target server's fair load that is
                worth a move.
        """
        moves: list[Move] = []
        skipped: set[Holder] = set()
        while len(moves) < max_moves:
            candidates = [
                holder
                for holder in self._load_by_holder
                if holder not in skipped
            ]
            if not candidates:
                break
            busiest = max(candidates, key=self._relative_load)
            if self._relative_load(busiest) <= self.mean_load * tolerance:
                break
            move = self._offload(busiest, min_share)
            if move is None:
                skipped.add(busiest)
            else:
                moves.append(move)
        return moves

    def relative_loads(self) -> dict[Holder, float]:
        """Returns each server's load over the mean."""
        return {
            holder: self._relative_load(holder) / self.mean_load
            for holder in self._load_by_holder
        }

    def _offload(self, busiest: Holder, min_share: float) -> Move | None:
        least_loaded = min(self._load_by_holder, key=self._relative_load)
        amount = min(self._excess(busiest), -self._excess(least_loaded))
        min_weight = (
            self.mean_load * self._fair_load_by_holder[least_loaded] * min_share
        )
        if amount < min_weight:
            return None
        span = self._span_to_move(busiest, amount)
        if span is None:
            return None
        part = self._part_to_move(span, amount)
        if part is None or self._weight(part) < min_weight / 2:
            return None
        return self._move_part(span, part, least_loaded)

    def _move_part(self, span: Span, part: Span, target: Holder) -> Move:
        """Plans the move of a part of a span and updates the loads."""
        source = span.holder
        assert source is not None
        weight = self._weight(part)
        source_load = self._relative_load(source) / self.mean_load
        self._spans.remove(span)
        self._spans.extend(_remainder(span, part))
        self._spans.append(Span(part.first, part.last, target, False))
        self._load_by_holder[source] -= weight
        self._load_by_holder[target] += weight
        return Move(part.first, part.last, target, source, source_load, weight)

    def _place_hot_key(
        self, key: int, free: dict[Holder, float]
    ) -> Move | None:
        """Moves a hot key to the fastest free server if that one is faster.

        The server that has the key afterwards is removed from ``free``.
        """
        span = self._span_of(key)
        holder = span.holder
        if holder is None or holder not in free:
            return None
        weight = self._profile.weight(key, key)
        if weight < free[holder] * _HOT_KEY_SHARE:
            return None
        fastest = max(free, key=free.__getitem__)
        if (
            not span.movable
            or free[fastest] < free[holder] * _MIN_SPEED_ADVANTAGE
        ):
            free.pop(holder)
            return None
        free.pop(fastest)
        return self._move_part(span, Span(key, key, holder), fastest)

    def _span_of(self, key: int) -> Span:
        return next(
            span for span in self._spans if span.first <= key <= span.last
        )

    def _span_to_move(self, holder: Holder, amount: float) -> Span | None:
        own = [
            span
            for span in self._spans
            if span.holder == holder and span.movable
        ]
        fitting = [
            span
            for span in own
            if amount / 2 <= self._weight(span) <= amount * _OVERSHOOT_FACTOR
        ]
        if fitting:
            return min(fitting, key=_key_count)
        larger = [
            span
            for span in own
            if self._weight(span) > amount * _OVERSHOOT_FACTOR
            and span.last > span.first
        ]
        if larger:
            return max(larger, key=self._weight)
        smaller = [span for span in own if self._weight(span) <= amount]
        if len(own) > 1 and smaller:
            return max(smaller, key=self._weight)
        return None

    def _part_to_move(self, span: Span, amount: float) -> Span | None:
        """Returns a leading or trailing part of about the given amount.

        A single key that exceeds the amount stays; the keys before or after it
        are moved instead.
        """
        max_weight = amount * _OVERSHOOT_FACTOR
        if self._weight(span) <= max_weight:
            return span
        parts = []
        head_last = self._profile.prefix_end(span.first, span.last, amount)
        if self._profile.weight(span.first, head_last) > max_weight:
            head_last -= 1
        if head_last >= span.first:
            parts.append(Span(span.first, head_last, span.holder))
        rest = self._weight(span) - amount
        tail_first = 1 + self._profile.prefix_end(span.first, span.last, rest)
        if self._profile.weight(tail_first, span.last) > max_weight:
            tail_first += 1
        if tail_first <= span.last:
            parts.append(Span(tail_first, span.last, span.holder))
        return max(parts, key=self._part_rank, default=None)

    def _part_rank(self, part: Span) -> tuple[float, int]:
        # Of two parts of about the same weight, the one with fewer keys moves.
        rounded = round(self._weight(part), 2)
        return rounded, -_key_count(part)

    def _spread(self, span: Span) -> list[Move]:
        moves: list[Move] = []
        first = span.first
        while first <= span.last:
            least_loaded = min(self._load_by_holder, key=self._relative_load)
            room = -self._excess(least_loaded)
            min_weight = (
                self.mean_load * self._fair_load_by_holder[least_loaded] / 4
            )
            last = self._profile.prefix_end(
                first, span.last, max(room, min_weight)
            )
            if self._profile.weight(last + 1, span.last) < min_weight:
                last = span.last
            weight = self._profile.weight(first, last)
            self._load_by_holder[least_loaded] += weight
            self._spans.append(Span(first, last, least_loaded, False))
            moves.append(Move(first, last, least_loaded, weight=weight))
            first = last + 1
        return moves

    def _weight(self, span: Span) -> float:
        return self._profile.weight(span.first, span.last)

    def _relative_load(self, holder: Holder) -> float:
        return self._load_by_holder[holder] / self._fair_load_by_holder[holder]

    def _excess(self, holder: Holder) -> float:
        fair = self.mean_load * self._fair_load_by_holder[holder]
        return self._load_by_holder[holder] - fair


def _remainder(span: Span, part: Span) -> list[Span]:
    """Returns the rest of a span without a part of it."""
    remaining = []
    if span.first < part.first:
        remaining.append(Span(span.first, part.first - 1, span.holder))
    if part.last < span.last:
        remaining.append(Span(part.last + 1, span.last, span.holder))
    return remaining


def _key_count(span: Span) -> int:
    return span.last - span.first + 1
