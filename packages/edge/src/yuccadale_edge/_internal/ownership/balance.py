"""Balances load: splits key ranges by load and assigns them to servers.

Adjacent hot keys can have more load than one server can handle. So a range is
split until its parts fit, and the busiest server passes a part to the server
with the least load.

Every moved key is unavailable for a moment and slow afterwards. So a server
passes load on only when it has more than chance explains, and it passes the
part with the fewest keys.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate, pairwise
from math import log, sqrt
from statistics import fmean, pvariance

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
_DECAY_RATE = 0.69
# Keys with less work than this, in seconds per second, are dropped.
_NEGLIGIBLE_WEIGHT = 0.000004
# Observations are scaled up instead of decaying the old ones; the scale starts
# anew when it exceeds this.
_MAX_SCALE = 64.0
# Differences by chance are as large as the largest one in this time.
_CHANCE_PERIOD_S = 60.0
# Work of a request before any was observed.
_TYPICAL_WORK_S = 0.1
# A move of this share of a server's keys needs a difference that is larger than
# the largest one that is likely by chance; one of a few keys needs this many
# standard deviations.
_MANY_KEYS_SHARE = 0.1
_FEW_KEYS_DEVIATIONS = 1.0
# Busy keys with larger gaps between them belong to different groups; smaller
# groups say nothing about a key.
_MAX_KEY_GAP = 4
_MIN_GROUP = 8
# A server with less than the first share of its fair load, such as a new one,
# gets keys of servers that are not overloaded, up to the second share. These
# keep the third share of theirs.
_IDLE_SHARE = 0.15
_FILLED_SHARE = 0.6
_DONOR_SHARE = 0.85
# A part with this share of the load to be moved is enough.
_MIN_PART_SHARE = 0.9
# A part inside a range may have at most this share of the keys that one at an
# end has. It leaves two ranges behind, and among many parts of a range the one
# with most observed work was partly busy by chance.
_MAX_KEYS_INSIDE = 0.25


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

    def __init__(self, half_life_s: float = 2.5) -> None:
        """Creates an average without observations.

        Args:
            half_life_s: observed load counts half after this time.
        """
        self._half_life_s = half_life_s
        self._scale = 1.0
        self._scaled_by_key: defaultdict[int, float] = defaultdict(float)
        self._scaled_requests: float = 0
        self._decayed_s: float | None = None

    def add(
        self, weight_by_key: Mapping[int, float], requests: int | None = None
    ) -> None:
        """Adds the work that was requested since the last report.

        Args:
            weight_by_key: work in seconds.
            requests: number of requests, one for each key if unknown.
        """
        factor = self._scale * _DECAY_RATE / self._half_life_s
        for key, weight in weight_by_key.items():
            self._scaled_by_key[key] += weight * factor
        count = len(weight_by_key) if requests is None else requests
        self._scaled_requests += count * factor

    def decay(self, now_s: float) -> None:
        """Reduces the weight of older observations."""
        if self._decayed_s is not None:
            passed_s = now_s - self._decayed_s
            self._scale *= 2 ** (passed_s / self._half_life_s)
        self._decayed_s = now_s
        if self._scale > _MAX_SCALE:
            self._start_scale_anew()

    def request_work_s(self) -> float:
        """Returns the mean work of a request, in seconds."""
        if not self._scaled_requests:
            return _TYPICAL_WORK_S
        return sum(self._scaled_by_key.values()) / self._scaled_requests

    def profile(self) -> 'LoadProfile':
        """Returns the present load in a form for sums over ranges."""
        work_s = self.request_work_s()
        # Variance of the estimate for each unit of load, with random arrivals.
        variance = work_s * _DECAY_RATE / self._half_life_s / 2
        return LoadProfile(
            {
                key: scaled / self._scale
                for key, scaled in self._scaled_by_key.items()
            },
            variance,
            _CHANCE_PERIOD_S / self._half_life_s,
        )

    def _start_scale_anew(self) -> None:
        kept: defaultdict[int, float] = defaultdict(float)
        for key, scaled in self._scaled_by_key.items():
            weight = scaled / self._scale
            if weight > _NEGLIGIBLE_WEIGHT:
                kept[key] = weight
        self._scaled_by_key = kept
        self._scaled_requests /= self._scale
        self._scale = 1.0


class LoadProfile:
    """Work by range at one moment.

    Attributes:
        variance: variance of a load's estimate, for each unit of load.
        estimates: number of independent estimates in a minute.
    """

    def __init__(
        self,
        weight_by_key: Mapping[int, float],
        variance: float = 0,
        estimates: float = 1,
    ) -> None:
        self.variance = variance
        self.estimates = estimates
        self._keys = sorted(weight_by_key)
        weights = [weight_by_key[key] for key in self._keys]
        self._sums = [
            0,
            *accumulate(_without_chance(self._keys, weights, variance)),
        ]
        observed = self._sums[-1]
        self._weight_per_key = (
            max(_MIN_UNOBSERVED_WEIGHT, observed * _UNOBSERVED_SHARE)
            / KEY_COUNT
        )

    @property
    def total(self) -> float:
        """The work of all keys."""
        return self.weight(0, KEY_COUNT - 1)

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

    def densest_part(
        self, first: int, last: int, min_weight: float, max_weight: float
    ) -> tuple[int, int] | None:
        """Returns the part of a range with the fewest keys for a weight.

        Returns:
            Its first and last key; None if observed keys reach no such weight.
        """
        sums = self._sums
        parts: list[tuple[int, int]] = []
        low = bisect_left(self._keys, first)
        stop = bisect_left(self._keys, last + 1)
        for high in range(low, stop):
            reached = sums[high + 1]
            # Drops leading keys while the rest has the weight.
            while low < high and reached - sums[low + 1] >= min_weight:
                low += 1
            if min_weight <= reached - sums[low] <= max_weight:
                parts.append((self._keys[low], self._keys[high]))
        return min(parts, key=_width, default=None)

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
        self._without_keys = set(fair_load_by_holder).difference(
            span.holder for span in spans
        )
        usable = self._load_by_holder.keys()
        for span in spans:
            if span.holder is not None and span.holder in usable:
                self._load_by_holder[span.holder] += self._weight(span)

    @property
    def mean_load(self) -> float:
        """Total load over total fair load, the target for each server."""
        return self._profile.total / sum(self._fair_load_by_holder.values())

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
        self,
        max_moves: int,
        tolerance: float,
        min_share: float,
        donors: Collection[Holder] | None = None,
        max_keys: int = KEY_COUNT,
    ) -> list[Move]:
        """Moves ranges from the busiest servers to those with least load.

        Args:
            max_moves: largest number of moves to plan.
            tolerance: a server within this factor of the mean keeps its keys,
                unless another one has hardly any load.
            min_share: smallest share of the target server's fair load that is
                worth a move.
            donors: servers that may lose keys, all if None.
            max_keys: largest number of keys in one move.
        """
        moves: list[Move] = []
        candidates = set(self._load_by_holder)
        if donors is not None:
            candidates.intersection_update(donors)
        while candidates and len(moves) < max_moves:
            busiest = max(candidates, key=self._relative_load)
            taker = min(self._load_by_holder, key=self._relative_load)
            amount = self._amount_to_move(busiest, taker, tolerance)
            if amount <= 0:
                break
            move = self._offload(busiest, taker, amount, min_share, max_keys)
            if move is None:
                candidates.discard(busiest)
            else:
                moves.append(move)
        return moves

    def relative_loads(self) -> dict[Holder, float]:
        """Returns each server's load over the mean."""
        return {
            holder: self._relative_load(holder) / self.mean_load
            for holder in self._load_by_holder
        }

    def _amount_to_move(
        self, busiest: Holder, taker: Holder, tolerance: float
    ) -> float:
        """Returns the load to move between two servers, 0 for none."""
        excess = self._excess(busiest)
        missing = -self._excess(taker)
        over = self._relative_load(busiest) > self.mean_load * tolerance
        if over and self._is_significant(busiest, excess, 1):
            return min(excess, missing)
        new = taker in self._without_keys
        idle_share = _FILLED_SHARE if new else _IDLE_SHARE
        idle = self._relative_load(taker) < self.mean_load * idle_share
        if idle and (new or self._is_significant(taker, missing, KEY_COUNT)):
            spare = self._load_by_holder[busiest]
            spare -= self._fair_load(busiest) * _DONOR_SHARE
            return min(spare, missing * _FILLED_SHARE)
        return 0

    def _is_significant(
        self, holder: Holder, difference: float, keys: int
    ) -> bool:
        """Whether a difference from the fair load is unlikely by chance.

        With more servers and more estimates, larger differences occur by
        chance. A move of a few keys costs little if the difference was one.
        """
        deviation = sqrt(self._fair_load(holder) * self._profile.variance)
        estimates = len(self._load_by_holder) * self._profile.estimates
        largest_by_chance = sqrt(2 * log(max(2, estimates)))
        many_keys = KEY_COUNT / len(self._load_by_holder) * _MANY_KEYS_SHARE
        certainty = min(1, keys / many_keys)
        deviations = _FEW_KEYS_DEVIATIONS + certainty * (
            1 + largest_by_chance - _FEW_KEYS_DEVIATIONS
        )
        return difference > deviation * deviations

    def _offload(
        self,
        busiest: Holder,
        taker: Holder,
        amount: float,
        min_share: float,
        max_keys: int,
    ) -> Move | None:
        min_weight = self._fair_load(taker) * min_share
        if amount < min_weight:
            return None
        found = self._cheapest_part(busiest, amount)
        if found is None:
            # A key may exceed what the target lacks. It is moved if that
            # leaves both with less load than the source has now.
            difference = self._load_by_holder[busiest]
            difference -= self._load_by_holder[taker]
            found = self._cheapest_part(busiest, difference / 2)
        if found is None:
            return None
        span, part = found
        if self._weight(part) < min_weight / 2 or _key_count(part) > max_keys:
            return None
        excess = max(self._excess(busiest), -self._excess(taker))
        if taker not in self._without_keys and not self._is_significant(
            busiest, excess, _key_count(part)
        ):
            return None
        return self._move_part(span, part, taker)

    def _cheapest_part(
        self, holder: Holder, amount: float
    ) -> tuple[Span, Span] | None:
        """Returns a range and its part of about an amount with fewest keys."""
        span = self._span_to_move(holder, amount)
        at_end = None if span is None else self._part_to_move(span, amount)
        inside = self._densest_part(holder, amount)
        if at_end is None or span is None:
            return inside
        if inside is None:
            return span, at_end
        if _key_count(inside[1]) < _key_count(at_end) * _MAX_KEYS_INSIDE:
            return inside
        return span, at_end

    def _densest_part(
        self, holder: Holder, amount: float
    ) -> tuple[Span, Span] | None:
        parts: list[tuple[Span, Span]] = []
        for span in self._spans:
            if span.holder != holder or not span.movable:
                continue
            found = self._profile.densest_part(
                span.first,
                span.last,
                amount * _MIN_PART_SHARE,
                amount * _OVERSHOOT_FACTOR,
            )
            if found is not None:
                parts.append((span, Span(*found, holder)))
        return min(parts, key=_part_keys, default=None)

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
            min_weight = self._fair_load(least_loaded) / 4
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

    def _fair_load(self, holder: Holder) -> float:
        """Returns the load of a server when all are equally loaded."""
        return self.mean_load * self._fair_load_by_holder[holder]

    def _excess(self, holder: Holder) -> float:
        return self._load_by_holder[holder] - self._fair_load(holder)


def _without_chance(
    keys: Sequence[int], weights: Sequence[float], variance: float
) -> list[float]:
    """Returns the weights of adjacent keys without their random differences.

    Keys close to each other are often busy together. If chance alone made some
    of them look busiest, only these would move, and the rest would look idle.
    The differences within a group are reduced as far as chance explains them
    (James and Stein).

    Args:
        keys: in ascending order.
        weights: of these keys.
        variance: see ``LoadProfile``.
    """
    gaps = (after - before for before, after in pairwise(keys))
    starts = [index for index, gap in enumerate(gaps, 1) if gap > _MAX_KEY_GAP]
    estimated: list[float] = []
    for begin, end in pairwise((0, *starts, len(keys))):
        group = weights[begin:end]
        if len(group) >= _MIN_GROUP:
            group = _shrink(group, variance)
        estimated.extend(group)
    return estimated


def _shrink(group: Sequence[float], variance: float) -> list[float]:
    """Returns a group's weights, closer to their mean."""
    mean = fmean(group)
    observed = pvariance(group, mean)
    by_chance = mean * variance
    if observed == 0:
        return list(group)
    kept = max(0, 1 - by_chance / observed)
    return [mean + (weight - mean) * kept for weight in group]


def _remainder(span: Span, part: Span) -> list[Span]:
    """Returns the rest of a span without a part of it."""
    remaining = []
    if span.first < part.first:
        remaining.append(Span(span.first, part.first - 1, span.holder))
    if part.last < span.last:
        remaining.append(Span(part.last + 1, span.last, span.holder))
    return remaining


def _width(part: tuple[int, int]) -> int:
    return part[1] - part[0]


def _part_keys(found: tuple[Span, Span]) -> int:
    return _key_count(found[1])


def _key_count(span: Span) -> int:
    return span.last - span.first + 1
