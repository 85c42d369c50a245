"""Seeded sequences of demand and server events for the replay."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from yuccadale_router.placement import Candidate, ServerState

Floats = NDArray[np.float64]

# Average group at the design size: 12 servers with 32 slots each.
SERVERS = 12
SERVERS_PER_RACK = 3
SLOTS = SERVERS * 32
KEYS = SLOTS * 25
# Two concurrent requests per server at half utilisation, 50 ms each.
SERVICE_MS = 50.0
BUSY_MS_PER_S = SERVERS * 2 * 0.5 * 1000
# Time in which a surge rises to its full strength, or falls back.
SHIFT_S = 10
JOINING_S = 5
DRAINING_S = 10


@dataclass(frozen=True, slots=True)
class Surge:
    """Keys whose demand is multiplied between two seconds."""

    start: int
    end: int
    keys: tuple[int, ...]
    factor: float


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """State of a server from a second on; None removes the server."""

    second: int
    server: str
    state: ServerState | None


@dataclass(frozen=True, slots=True)
class DemandSequence:
    """Demand and server events, second by second.

    Attributes:
        held_out: not used for tuning; run only with ``--held-out``.
        surges: shifts of demand.
        events: state changes of servers, by time.
        lag_s: delay of the load samples that placement receives.
        misreporting: a server that reports three times its load; may be empty.
        loss_at: second of a server loss that has a churn target; 0 for none.
        loss_until: second at which measuring the churn after the loss ends.
        base: relative demand of each key without surges.
    """

    name: str
    seconds: int
    held_out: bool = False
    surges: tuple[Surge, ...] = ()
    events: tuple[ServerEvent, ...] = ()
    lag_s: int = 0
    misreporting: str = ''
    loss_at: int = 0
    loss_until: int = 0
    base: Floats = field(default_factory=lambda: np.ones(KEYS))

    def demand(self, second: int) -> Floats:
        """Returns the share of each key in the demand; the sum is 1."""
        demand = self.base.copy()
        for surge in self.surges:
            rising = (second - surge.start) / SHIFT_S
            falling = (surge.end - second) / SHIFT_S
            strength = float(np.clip(min(rising, falling), 0, 1))
            keys = list(surge.keys)
            demand[keys] *= 1 + strength * (surge.factor - 1)
        return demand / demand.sum()

    def candidates(self, second: int) -> list[Candidate]:
        """Returns the servers with their states, by name."""
        state_by_name: dict[str, ServerState | None] = dict.fromkeys(
            first_servers(), ServerState.live
        )
        for event in self.events:
            if event.second <= second:
                state_by_name[event.server] = event.state
        return [
            Candidate(name, rack_of(name), state)
            for name, state in sorted(state_by_name.items())
            if state is not None
        ]

    def shift_ends(self) -> list[tuple[int, int]]:
        """Returns the end of each shift and the start of the next change."""
        starts = {surge.start for surge in self.surges}
        changes = starts | {event.second for event in self.events}
        changes.update(surge.end - SHIFT_S for surge in self.surges)
        in_order = [*sorted(changes), self.seconds]
        return [
            (start + SHIFT_S, in_order[in_order.index(start) + 1])
            for start in sorted(starts)
        ]


def first_servers() -> list[str]:
    """Returns the names of the servers at the start."""
    return [f'server{index:02d}' for index in range(SERVERS)]


def rack_of(name: str) -> str:
    """Returns the rack; a replacement uses the rack of the old server."""
    number = int(name.removeprefix('server').removesuffix('n'))
    return f'rack{number // SERVERS_PER_RACK}'


def _hot_keys(randomness: np.random.Generator, count: int) -> tuple[int, ...]:
    return tuple(
        int(key) for key in randomness.choice(KEYS, count, replace=False)
    )


def _hot_key_surge(
    base: Floats,
    randomness: np.random.Generator,
    start: int,
    end: int,
    share: float,
) -> Surge:
    """Raises the demand of one key to a share of the base demand."""
    keys = _hot_keys(randomness, 1)
    own_share = float(base[list(keys)].sum() / base.sum())
    return Surge(start, end, keys, share / own_share)


def _base_demand(randomness: np.random.Generator) -> Floats:
    return randomness.pareto(1.8, KEYS) + 0.2


def _loss(
    names: list[str], start: int, joining_at: int
) -> tuple[ServerEvent, ...]:
    return (
        *(ServerEvent(start, name, ServerState.lost) for name in names),
        *(ServerEvent(joining_at, name, ServerState.joining) for name in names),
        *(
            ServerEvent(joining_at + JOINING_S, name, ServerState.live)
            for name in names
        ),
    )


def _replacements(
    start: int, every_s: int, batch_size: int = 1
) -> tuple[ServerEvent, ...]:
    """Replaces all servers; each drains 15 s after its replacement joins."""
    events = []
    for index, name in enumerate(first_servers()):
        joins = start + (index // batch_size) * every_s
        drains = joins + 15
        events += [
            ServerEvent(joins, f'{name}n', ServerState.joining),
            ServerEvent(joins + JOINING_S, f'{name}n', ServerState.live),
            ServerEvent(drains, name, ServerState.draining),
            ServerEvent(drains + DRAINING_S, name, None),
        ]
    return tuple(sorted(events, key=_event_second))


def _event_second(event: ServerEvent) -> int:
    return event.second


def _dawn(base: Floats, randomness: np.random.Generator) -> DemandSequence:
    early = _hot_keys(randomness, 60)
    return DemandSequence(
        'dawn',
        600,
        surges=(
            _hot_key_surge(base, randomness, 100, 400, 0.04),
            Surge(100, 400, early, 25),
        ),
        base=base,
    )


def _storm(base: Floats, randomness: np.random.Generator) -> DemandSequence:
    return DemandSequence(
        'storm',
        600,
        surges=(
            Surge(100, 290, _hot_keys(randomness, 120), 25),
            Surge(290, 500, _hot_keys(randomness, 120), 25),
        ),
        base=base,
    )


def _lost_server(
    base: Floats, randomness: np.random.Generator
) -> DemandSequence:
    lost = first_servers()[int(randomness.integers(SERVERS))]
    return DemandSequence(
        'lost-server',
        900,
        events=_loss([lost], 100, 500),
        loss_at=100,
        loss_until=500,
        base=base,
    )


def _lost_rack(base: Floats, randomness: np.random.Generator) -> DemandSequence:
    rack = int(randomness.integers(SERVERS // SERVERS_PER_RACK))
    first = rack * SERVERS_PER_RACK
    lost = first_servers()[first : first + SERVERS_PER_RACK]
    return DemandSequence(
        'lost-rack', 900, events=_loss(lost, 100, 500), base=base
    )


def _rolling(base: Floats, _: np.random.Generator) -> DemandSequence:
    return DemandSequence(
        'rolling', 700, events=_replacements(60, 45), base=base
    )


def _lagging(base: Floats, randomness: np.random.Generator) -> DemandSequence:
    return DemandSequence(
        'lagging',
        600,
        surges=(Surge(100, 450, _hot_keys(randomness, 100), 25),),
        lag_s=30,
        base=base,
    )


def _wrong(base: Floats, randomness: np.random.Generator) -> DemandSequence:
    return DemandSequence(
        'wrong-report',
        600,
        surges=(Surge(100, 450, _hot_keys(randomness, 100), 25),),
        misreporting=first_servers()[int(randomness.integers(SERVERS))],
        base=base,
    )


def _two_stages(
    base: Floats, randomness: np.random.Generator
) -> DemandSequence:
    return DemandSequence(
        'held-out-two-stages',
        700,
        held_out=True,
        surges=(
            _hot_key_surge(base, randomness, 80, 350, 0.03),
            _hot_key_surge(base, randomness, 200, 500, 0.05),
            Surge(200, 500, _hot_keys(randomness, 80), 15),
        ),
        base=base,
    )


def _storm_with_loss(
    base: Floats, randomness: np.random.Generator
) -> DemandSequence:
    lost = first_servers()[int(randomness.integers(SERVERS))]
    return DemandSequence(
        'held-out-storm-and-loss',
        900,
        held_out=True,
        surges=(Surge(80, 480, _hot_keys(randomness, 200), 15),),
        events=_loss([lost], 240, 560),
        loss_at=240,
        loss_until=480,
        base=base,
    )


def _rolling_pairs(
    base: Floats, randomness: np.random.Generator
) -> DemandSequence:
    return DemandSequence(
        'held-out-rolling-pairs',
        700,
        held_out=True,
        surges=(Surge(250, 450, _hot_keys(randomness, 100), 20),),
        events=_replacements(60, 70, batch_size=2),
        base=base,
    )


def _lagging_loss(
    base: Floats, randomness: np.random.Generator
) -> DemandSequence:
    lost = first_servers()[int(randomness.integers(SERVERS))]
    return DemandSequence(
        'held-out-lagging-loss',
        900,
        held_out=True,
        events=_loss([lost], 100, 480),
        loss_at=100,
        loss_until=480,
        lag_s=30,
        misreporting=first_servers()[int(randomness.integers(SERVERS))],
        base=base,
    )


_BUILDERS: tuple[
    Callable[[Floats, np.random.Generator], DemandSequence], ...
] = (
    _dawn,
    _storm,
    _lost_server,
    _lost_rack,
    _rolling,
    _lagging,
    _wrong,
    _two_stages,
    _storm_with_loss,
    _rolling_pairs,
    _lagging_loss,
)


def build_sequences(seed: int, *, held_out: bool) -> list[DemandSequence]:
    """Returns the sequences for tuning, or the held-out ones."""
    sequences = []
    for number, build in enumerate(_BUILDERS):
        randomness = np.random.default_rng([seed, number])
        sequence = build(_base_demand(randomness), randomness)
        if sequence.held_out == held_out:
            sequences.append(sequence)
    return sequences
