"""Simulated key servers that check which of them hold which keys.

The checks use only the calls that arrive at the servers, not the leader's
table.
"""

import random
from dataclasses import dataclass, field

from yuccadale_edge.ownership import (
    CLOCK_MARGIN,
    KEY_COUNT,
    LATEST_ARRIVAL_S,
    CallKind,
    Holder,
    KeysRecord,
    OwnershipCall,
    SegmentTable,
    UnconfirmedGrant,
    record_of,
    segments_of,
)

BUCKETS = 8
_BUCKET_KEYS = KEY_COUNT // BUCKETS
LEASE_S = 5.0
RENEW_S = 1.0
# A call that was withdrawn arrives within this time.
_NETWORK_DELAY_S = 0.4
# An unanswered grant is applied within this time after its arrival.
_LATE_GRANT_S = 12.0
# Times from the last call of a leader to the takeover by the next one.
_TAKEOVERS_S = (0.3, 1.0, 3.2)
# Leaders that follow one another before other steps, and times between them.
_CHAINS = (1, 1, 2, 3)
_CHAIN_STEPS_S = (0.01, 0.3, 0.8)
# A report of an earlier leader arrives within this time, so often.
_MAX_REPORT_DELAY_S = 4.0
_REPORT_COUNTS = (0, 1, 1, 2)


@dataclass
class ServerLeases:
    """Leases and fences of one server incarnation, by bucket."""

    until_by_bucket: dict[int, float] = field(default_factory=dict)
    fence_by_bucket: dict[int, int] = field(default_factory=dict)


@dataclass
class LateCall:
    """A call that got no answer and is applied later."""

    at_s: float
    arrived_s: float
    call: OwnershipCall
    receiver: Holder | None


@dataclass
class LateReport:
    """A report of an earlier leader on its unanswered grants."""

    at_s: float
    epoch: int
    unconfirmed_grants: list[UnconfirmedGrant]


def buckets_of(first: int, last: int) -> range:
    """Returns the buckets of a range that is aligned to them."""
    return range(first // _BUCKET_KEYS, last // _BUCKET_KEYS + 1)


# Cumulative percentages of calls by their outcome.
_NOT_SENT = 5
_LATE = 20
_APPLIED_UNANSWERED = 30
_RELEASE_UNANSWERED = 20
_PERCENT = 100
_PLAN_RECORDED = 80
_RESTART_NOTICED = 70
# The entry of a server that has started again reaches the leader within this
# time.
_NOTICE_S = 3.0
# Share of leaders that resign.
_RESIGNS = 30
# Share of leaders that end while calls are in flight.
_CALLS_IN_FLIGHT = 50


class KeyServerSimulation:
    """Simulated servers, a leader's table and the checks of ownership."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.leases_by_holder: dict[Holder, ServerLeases] = {}
        self.violations: list[str] = []
        self._late: list[LateCall] = []
        self._reports: list[LateReport] = []
        self._unnoticed: list[tuple[float, Holder]] = []
        self._highest_fence_by_bucket: dict[int, tuple[int, Holder]] = {}
        self._address_by_holder: dict[Holder, tuple[str, int]] = {}
        self._epoch = 1
        self._stored: KeysRecord | None = None
        # Whether the record says that this leader may have sent calls.
        self._recorded = True
        for number in range(4):
            self._start(f's{number}', 1)
        self.table = SegmentTable(1, LEASE_S, RENEW_S)

    def run(self, steps: int) -> list[str]:
        """Runs random steps; returns the violations."""
        actions = (
            (6, self._plan),
            (12, self._send_due_calls),
            (2, self._restart_server),
            (1, self._change_leaders),
        )
        weights = [weight for weight, _ in actions]
        for _ in range(steps):
            (_, action) = self.random.choices(actions, weights)[0]
            action()
            self._advance(self.random.choice((0.01, 0.05, 0.3, 1.0, 2.5)))
            if self.violations:
                break
        return self.violations

    def _plan(self) -> None:
        first = self.random.randrange(BUCKETS)
        last = self.random.randrange(first, BUCKETS)
        target = self.random.choice(list(self.leases_by_holder))
        self.table.plan(
            first * _BUCKET_KEYS, (last + 1) * _BUCKET_KEYS - 1, target
        )
        if self.random.randrange(_PERCENT) < _PLAN_RECORDED:
            self._store()

    def _store(self) -> None:
        version = self.table.reserve_fences()
        self._stored = record_of(
            self._epoch, self.table, self._address_by_holder
        )
        self.table.mark_recorded(version)
        self._recorded = True

    def _send_due_calls(self) -> None:
        if not self._recorded:
            return
        self.table.merge_adjacent()
        for call in self.table.calls_due(self.now_s):
            self._deliver(call)

    def _deliver(self, call: OwnershipCall) -> None:
        outcome = self.random.randrange(_PERCENT)
        if self._living(call.holder.server_id) is None or outcome < _NOT_SENT:
            self.table.call_not_sent(call)
        elif call.kind == CallKind.release:
            self._deliver_release(call, answered=outcome >= _RELEASE_UNANSWERED)
        elif outcome < _LATE:
            self._send_late(call, _NETWORK_DELAY_S)
            self.table.call_unanswered(call, self.now_s)
        else:
            accepted = self._apply_grant(call, self.now_s)
            if outcome < _APPLIED_UNANSWERED:
                self.table.call_unanswered(call, self.now_s)
            else:
                self.table.grant_answered(
                    call, accepted=accepted, now_s=self.now_s
                )

    def _send_late(self, call: OwnershipCall, latest_arrival_s: float) -> None:
        """Sends a call whose arrival the leader does not learn."""
        arrived_s = self.now_s + self.random.uniform(0, latest_arrival_s)
        self._late.append(
            LateCall(
                arrived_s + self.random.uniform(0, _LATE_GRANT_S),
                arrived_s,
                call,
                self._living(call.holder.server_id),
            )
        )

    def _deliver_release(self, call: OwnershipCall, *, answered: bool) -> None:
        self._apply_release(call)
        if answered:
            self.table.release_answered(call, 'token', self.now_s)
        else:
            self.table.call_unanswered(call, self.now_s)

    def _apply_release(self, call: OwnershipCall) -> None:
        leases = self._leases(call)
        for bucket in buckets_of(call.first, call.last):
            leases.until_by_bucket.pop(bucket, None)

    def _apply_grant(self, call: OwnershipCall, arrived_s: float) -> bool:
        leases = self._leases(call)
        buckets = buckets_of(call.first, call.last)
        if any(
            leases.fence_by_bucket.get(bucket, 0) > call.fence
            for bucket in buckets
        ):
            return False
        end_s = arrived_s + LEASE_S * CLOCK_MARGIN
        for bucket in buckets:
            leases.fence_by_bucket[bucket] = call.fence
            if end_s > self.now_s:
                self._check(call, bucket)
                leases.until_by_bucket[bucket] = end_s
        return True

    def _check(self, call: OwnershipCall, bucket: int) -> None:
        receiver = self._living(call.holder.server_id)
        for holder, leases in self.leases_by_holder.items():
            until_s = leases.until_by_bucket.get(bucket, 0)
            if holder != receiver and until_s > self.now_s:
                self.violations.append(
                    f'{self.now_s:.2f}: {receiver} gets bucket {bucket} '
                    f'that {holder} holds until {until_s:.2f}'
                )
        highest, last_holder = self._highest_fence_by_bucket.get(
            bucket, (0, call.holder)
        )
        if last_holder != call.holder and call.fence <= highest:
            self.violations.append(
                f'{self.now_s:.2f}: fence {call.fence} is not above {highest}'
            )
        if call.fence >= highest:
            self._highest_fence_by_bucket[bucket] = (call.fence, call.holder)

    def _notice_restarts(self) -> None:
        for noticed_s, holder in list(self._unnoticed):
            if noticed_s <= self.now_s:
                self._unnoticed.remove((noticed_s, holder))
                self.table.restart_holder(holder, self.now_s)

    def _advance(self, by_s: float) -> None:
        end_s = self.now_s + by_s
        late_calls = [late for late in self._late if late.at_s <= end_s]
        for late in sorted(late_calls, key=lambda call: call.at_s):
            self.now_s = max(self.now_s, late.at_s)
            self._late.remove(late)
            # The connection was to the process that has ended meanwhile.
            if late.receiver not in self.leases_by_holder:
                continue
            if late.call.kind == CallKind.release:
                self._apply_release(late.call)
            else:
                self._apply_grant(late.call, late.arrived_s)
        self.now_s = end_s
        self._notice_restarts()
        self._deliver_reports()

    def _deliver_reports(self) -> None:
        """Delivers the reports that have arrived to the present leader."""
        for report in list(self._reports):
            if report.at_s <= self.now_s:
                self._reports.remove(report)
                self.table.replace_assumed_grants(
                    report.epoch, report.unconfirmed_grants, self.now_s
                )

    def _living(self, server_id: str) -> Holder | None:
        """Returns the incarnation that answers calls to a server id."""
        return next(
            (
                holder
                for holder in self.leases_by_holder
                if holder.server_id == server_id
            ),
            None,
        )

    def _leases(self, call: OwnershipCall) -> ServerLeases:
        """Returns the leases of the process that receives a call.

        Calls name the server's id, so a later incarnation accepts those that
        were meant for an earlier one.
        """
        receiver = self._living(call.holder.server_id)
        assert receiver is not None
        return self.leases_by_holder[receiver]

    def _restart_server(self) -> None:
        holder = self.random.choice(list(self.leases_by_holder))
        self.leases_by_holder.pop(holder)
        self._start(holder.server_id, holder.incarnation + 1)
        if self.random.randrange(_PERCENT) < _RESTART_NOTICED:
            noticed_s = self.now_s + self.random.uniform(0, _NOTICE_S)
            self._unnoticed.append((noticed_s, holder))

    def _change_leaders(self) -> None:
        """Lets some leaders follow one another, each with a few calls."""
        for _ in range(self.random.choice(_CHAINS)):
            self._change_leader()
            self._advance(self.random.choice(_CHAIN_STEPS_S))
            self._send_due_calls()

    def _change_leader(self) -> None:
        if self.random.randrange(_PERCENT) < _CALLS_IN_FLIGHT:
            self._leave_calls_in_flight()
        if self.random.randrange(_PERCENT) < _RESIGNS:
            self._resign()
        else:
            self._advance(self.random.choice(_TAKEOVERS_S))
        self._report_unconfirmed_grants()
        self._epoch += 1
        self.table = SegmentTable(self._epoch, LEASE_S, RENEW_S)
        if self._stored is not None:
            latest_end_s = (
                self.now_s + LEASE_S * CLOCK_MARGIN + LATEST_ARRIVAL_S
            )
            self.table.load(segments_of(self._stored, latest_end_s))
            self._recorded = not self._stored.all_calls_answered
            if not self._recorded:
                self.table.require_record()

    def _leave_calls_in_flight(self) -> None:
        """Sends the due calls; the leader ends before it has the answers."""
        if not self._recorded:
            return
        for call in self.table.calls_due(self.now_s):
            if self._living(call.holder.server_id) is not None:
                self._send_late(call, LATEST_ARRIVAL_S)

    def _resign(self) -> None:
        self.table.reserve_fences()
        self._stored = record_of(
            self._epoch,
            self.table,
            self._address_by_holder,
            all_calls_answered=self.table.all_calls_answered(self.now_s),
        )

    def _report_unconfirmed_grants(self) -> None:
        """Sends the next leader a report, which may arrive late or twice."""
        unconfirmed = self.table.unconfirmed_grants(self.now_s)
        for _ in range(self.random.choice(_REPORT_COUNTS)):
            delay_s = self.random.uniform(0, _MAX_REPORT_DELAY_S)
            self._reports.append(
                LateReport(self.now_s + delay_s, self._epoch, unconfirmed)
            )

    def _start(self, server_id: str, incarnation: int) -> None:
        holder = Holder(server_id, incarnation)
        self.leases_by_holder[holder] = ServerLeases()
        self._address_by_holder[holder] = ('127.0.0.1', 1)
