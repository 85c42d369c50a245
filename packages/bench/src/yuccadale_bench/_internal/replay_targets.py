"""The targets of section 1.8 of docs/design.md that the replay checks."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from yuccadale_bench._internal.replay_measures import (
    Measures,
    worst_after_shifts,
)
from yuccadale_bench._internal.replay_sequences import DemandSequence
from yuccadale_core.declaration import Weights

_LOSS_FACTOR = 1.15
_MAX_OVER_MEAN = 1.25
_AT_MOST_SHARE = 2 / 3
# Sums are rounded, since equal decisions may differ in the last digits.
_SUM_DIGITS = 6


@dataclass(frozen=True, slots=True)
class Target:
    """A target; its text contains the measured figure."""

    text: str
    met: bool


class Replayed(Protocol):
    """All runs of one sequence."""

    @property
    def sequence(self) -> DemandSequence:
        """The sequence."""

    @property
    def baselines(self) -> Mapping[str, Measures]:
        """Runs by baseline."""

    @property
    def by_customer(self) -> Mapping[str, Measures]:
        """Runs by customer."""


def check_targets(
    replayed: Sequence[Replayed], weights: Mapping[str, Weights]
) -> list[Target]:
    """Returns all targets that apply to the runs."""
    targets: list[Target] = []
    for run in replayed:
        for customer, measures in run.by_customer.items():
            name = f'{run.sequence.name}, {customer}'
            targets.extend(_loss_targets(run.sequence, measures, name))
            targets.extend(_balance_targets(run.sequence, measures, name))
            targets.append(_baseline_target(run, customer, weights[customer]))
    if len(weights) > 1:
        for compared in replayed:
            targets.extend(_weight_effects(compared))
    return targets


def _loss_targets(
    sequence: DemandSequence, measures: Measures, name: str
) -> Iterator[Target]:
    if sequence.loss_at:
        # The first entry of the churn series is that of second 1.
        window = slice(sequence.loss_at - 1, sequence.loss_until - 1)
        moved = sum(measures.churn_keys[window]) / measures.had_to_move
        yield Target(
            f'{name}: moved keys over keys that had to move {moved:.2f}, '
            f'at most {_LOSS_FACTOR}',
            moved <= _LOSS_FACTOR,
        )


def _balance_targets(
    sequence: DemandSequence, measures: Measures, name: str
) -> Iterator[Target]:
    worst = worst_after_shifts(sequence, measures)
    if worst is not None:
        yield Target(
            f'{name}: highest max/mean a minute after a shift {worst:.2f}, '
            f'at most {_MAX_OVER_MEAN}',
            worst <= _MAX_OVER_MEAN,
        )


def _baseline_target(run: Replayed, customer: str, weights: Weights) -> Target:
    own = run.by_customer[customer].weighted_sum(weights)
    best, name = min(
        (measures.weighted_sum(weights), name)
        for name, measures in run.baselines.items()
    )
    return Target(
        f'{run.sequence.name}, {customer}: weighted sum {own:.3f}, '
        f'at most {best:.3f} ({name})',
        round(own, _SUM_DIGITS) <= round(best, _SUM_DIGITS),
    )


def _weight_effects(run: Replayed) -> Iterator[Target]:
    klatka = run.by_customer['klatka']
    escoadouro = run.by_customer['escoadouro']
    churn = sum(escoadouro.churn_keys)
    churn_limit = sum(klatka.churn_keys) * _AT_MOST_SHARE
    yield Target(
        f'{run.sequence.name}: churn under the weights of escoadouro '
        f'{churn:.3f}, at most {churn_limit:.3f} (two thirds of klatka)',
        churn <= churn_limit,
    )
    unavailable = sum(klatka.unavailable_s)
    limit = sum(escoadouro.unavailable_s) * _AT_MOST_SHARE
    yield Target(
        f'{run.sequence.name}: unavailable time under the weights of klatka '
        f'{unavailable:.4f} s, at most {limit:.4f} s (two thirds of '
        'escoadouro)',
        unavailable <= limit,
    )
