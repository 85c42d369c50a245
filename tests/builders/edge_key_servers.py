"""Key servers on simulated time, and an oracle that knows what they hold.

The oracle sees only what arrives at the servers, never the leader's table.
"""

import random
from dataclasses import dataclass, field

from yuccadale_edge.ownership import (
    CLOCK_MARGIN,
    KEY_COUNT,
    CallKind,
    Holder,
    KeysRecord,
    OwnershipCall,
    SegmentTable,
    record_of,
    segments_of,
)

BUCKETS = 8
_BUCKET_KEYS = KEY_COUNT // BUCKETS
LEASE_S = 5.0
RENEW_S = 1.0
# What an unanswered grant may take until it is carried out.
_LATEST_S = 12.0
# A takeover waits at least this long, so that no call is on its way.
_TAKEOVER_S = 3.2
_LAST_CALL_S = 1.0


@dataclass
class ServerLife:
    """What one life of a server holds, by bucket."""

    until_by_bucket: dict[int, float] = field(default_factory=dict)
    seen_by_bucket: dict[int, int] = field(default_factory=dict)


@dataclass
class LateGrant:
    """A grant that got no answer and is carried out later."""

    at_s: float
    arrived_s: float
    call: OwnershipCall


def buckets_of(first: int, last: int) -> range:
    """Returns the buckets of a range that is aligned to them."""
    return range(first // _BUCKET_KEYS, last // _BUCKET_KEYS + 1)


# Shares of calls by what becomes of them, adding up.
_NOT_SENT = 5
_LATE = 20
_APPLIED_UNANSWERED = 30
_RELEASE_UNANSWERED = 20
_PERCENT = 100
_RECORDED = 80
_END_NOTICED = 70
# Leaders that are deposed while they live tell what is doubted.
_DEPOSED_ALIVE = 50


class KeyWorld:
    """Servers, a leader's table and the oracle."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.life_by_holder: dict[Holder, ServerLife] = {}
        self.problems: list[str] = []
        self._late: list[LateGrant] = []
        self._fence_by_bucket: dict[int, tuple[int, Holder]] = {}
        self._address_by_holder: dict[Holder, tuple[str, int]] = {}
        self._epoch = 1
        self._stored: KeysRecord | None = None
        for number in range(4):
            self._start(f's{number}', 1)
        self.table = SegmentTable(1, LEASE_S, RENEW_S)

    def run(self, steps: int) -> list[str]:
        """Plays random steps; returns what went wrong."""
        actions = (
            (6, self._plan),
            (12, self._calls),
            (2, self._restart_server),
            (1, self._change_leader),
        )
        weights = [weight for weight, _ in actions]
        for _ in range(steps):
            (_, action) = self.random.choices(actions, weights)[0]
            action()
            self._advance(self.random.choice((0.01, 0.05, 0.3, 1.0, 2.5)))
            if self.problems:
                break
        return self.problems

    def _plan(self) -> None:
        first = self.random.randrange(BUCKETS)
        last = self.random.randrange(first, BUCKETS)
        target = self.random.choice(list(self.life_by_holder))
        self.table.plan(
            first * _BUCKET_KEYS, (last + 1) * _BUCKET_KEYS - 1, target
        )
        if self.random.randrange(_PERCENT) < _RECORDED:
            self._store()

    def _store(self) -> None:
        version = self.table.reserve_fences()
        self._stored = record_of(
            self._epoch, self.table, self._address_by_holder
        )
        self.table.mark_recorded(version)

    def _calls(self) -> None:
        self.table.join_settled()
        for call in self.table.calls_due(self.now_s):
            self._deliver(call)

    def _deliver(self, call: OwnershipCall) -> None:
        fate = self.random.randrange(_PERCENT)
        if call.holder not in self.life_by_holder or fate < _NOT_SENT:
            self.table.call_not_sent(call)
        elif call.kind == CallKind.release:
            self._deliver_release(call, answered=fate >= _RELEASE_UNANSWERED)
        elif fate < _LATE:
            self._late.append(
                LateGrant(
                    self.now_s + self.random.uniform(0, _LATEST_S),
                    self.now_s,
                    call,
                )
            )
            self.table.call_unanswered(call, self.now_s)
        else:
            accepted = self._apply_grant(call, self.now_s)
            if fate < _APPLIED_UNANSWERED:
                self.table.call_unanswered(call, self.now_s)
            else:
                self.table.grant_answered(
                    call, accepted=accepted, now_s=self.now_s
                )

    def _deliver_release(self, call: OwnershipCall, *, answered: bool) -> None:
        life = self.life_by_holder[call.holder]
        for bucket in buckets_of(call.first, call.last):
            life.until_by_bucket.pop(bucket, None)
        if answered:
            self.table.release_answered(call, 'token', self.now_s)
        else:
            self.table.call_unanswered(call, self.now_s)

    def _apply_grant(self, call: OwnershipCall, arrived_s: float) -> bool:
        life = self.life_by_holder[call.holder]
        buckets = buckets_of(call.first, call.last)
        if any(
            life.seen_by_bucket.get(bucket, 0) > call.fence
            for bucket in buckets
        ):
            return False
        end_s = arrived_s + LEASE_S * CLOCK_MARGIN
        for bucket in buckets:
            life.seen_by_bucket[bucket] = call.fence
            if end_s > self.now_s:
                self._check(call, bucket)
                life.until_by_bucket[bucket] = end_s
        return True

    def _check(self, call: OwnershipCall, bucket: int) -> None:
        for holder, life in self.life_by_holder.items():
            until_s = life.until_by_bucket.get(bucket, 0)
            if holder != call.holder and until_s > self.now_s:
                self.problems.append(
                    f'{self.now_s:.2f}: {call.holder} gets bucket {bucket} '
                    f'that {holder} holds until {until_s:.2f}'
                )
        highest, last_holder = self._fence_by_bucket.get(
            bucket, (0, call.holder)
        )
        if last_holder != call.holder and call.fence <= highest:
            self.problems.append(
                f'{self.now_s:.2f}: fence {call.fence} is not above {highest}'
            )
        if call.fence >= highest:
            self._fence_by_bucket[bucket] = (call.fence, call.holder)

    def _advance(self, by_s: float) -> None:
        end_s = self.now_s + by_s
        for late in sorted(self._late, key=lambda one: one.at_s):
            if late.at_s > end_s:
                continue
            self.now_s = max(self.now_s, late.at_s)
            self._late.remove(late)
            if late.call.holder in self.life_by_holder:
                self._apply_grant(late.call, late.arrived_s)
        self.now_s = end_s

    def _restart_server(self) -> None:
        holder = self.random.choice(list(self.life_by_holder))
        self.life_by_holder.pop(holder)
        self._start(holder.server_id, holder.incarnation + 1)
        if self.random.randrange(_PERCENT) < _END_NOTICED:
            self.table.end_holder(holder)

    def _change_leader(self) -> None:
        self._advance(_TAKEOVER_S)
        self._epoch += 1
        unconfirmed_grants = self.table.unconfirmed_grants(self.now_s)
        self.table = SegmentTable(self._epoch, LEASE_S, RENEW_S)
        if self._stored is not None:
            latest_end_s = self.now_s + LEASE_S * CLOCK_MARGIN + _LAST_CALL_S
            self.table.load(segments_of(self._stored, latest_end_s))
            if self.random.randrange(_PERCENT) < _DEPOSED_ALIVE:
                self.table.replace_assumed_grants(
                    latest_end_s, unconfirmed_grants, self.now_s
                )

    def _start(self, server_id: str, incarnation: int) -> None:
        holder = Holder(server_id, incarnation)
        self.life_by_holder[holder] = ServerLife()
        self._address_by_holder[holder] = ('127.0.0.1', 1)
