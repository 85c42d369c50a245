"""When a leader hands its role to an instance on a more capable machine.

The leader calls every server and sends updates to every instance, so it belongs
on a machine that can carry that. On a slow link its own updates delayed its
renewals in the store and the echoes of its peers.
"""

from collections.abc import Callable, Iterable

from yuccadale_edge._internal.system_view import Instance

# The role is handed over to a machine with at least this many times the
# capacity, so that it does not move between similar machines.
MIN_CAPACITY_RATIO = 2.0
# A successor has to be known for this long, as all instances join at once after
# a start.
_MIN_KNOWN_S = 1.0
# A hand-over waits for so long at most until no keys are moving.
_MAX_POSTPONED_S = 3.0


class Succession:
    """Decides when a leader hands its role to a more capable machine."""

    def __init__(self, capacity: float, now: Callable[[], float]) -> None:
        """Creates the decision for one leadership.

        Args:
            capacity: of the leader's machine, see ``Machine.capacity``.
            now: a clock in seconds.
        """
        self._capacity = capacity
        self._now = now
        self._known_since_s: dict[str, float] = {}
        self._wanted_since_s: float | None = None

    def is_due(self, peers: Iterable[Instance], *, keys_moving: bool) -> bool:
        """Whether the leader should hand its role over now.

        Args:
            peers: the instances that report to the leader.
            keys_moving: whether keys move between servers; the successor
                would have to wait for calls without an answer.
        """
        now_s = self._now()
        capacity_by_name = {peer.name: peer.capacity for peer in peers}
        self._known_since_s = {
            name: self._known_since_s.get(name, now_s)
            for name in capacity_by_name
        }
        capacities = [
            capacity
            for name, capacity in capacity_by_name.items()
            if now_s - self._known_since_s[name] >= _MIN_KNOWN_S
        ]
        if max(capacities, default=0) < self._capacity * MIN_CAPACITY_RATIO:
            self._wanted_since_s = None
            return False
        if self._wanted_since_s is None:
            self._wanted_since_s = now_s
        postponed_s = now_s - self._wanted_since_s
        return not keys_moving or postponed_s >= _MAX_POSTPONED_S
