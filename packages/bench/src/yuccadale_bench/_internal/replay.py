"""The command ``replay``: replays demand and server events to placement.

Neither processes nor a network are simulated. Placement decides the owners
once a second, and the decisions are measured by the demand of each key.
"""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from yuccadale_bench._internal.replay_measures import Measures, replay
from yuccadale_bench._internal.replay_sequences import (
    DemandSequence,
    build_sequences,
)
from yuccadale_bench._internal.replay_strategies import (
    BASELINES,
    CurrentPlacement,
)
from yuccadale_bench._internal.replay_targets import Target, check_targets
from yuccadale_core.declaration import IntentScope, Weights
from yuccadale_core.declaration_ini import read_scope
from yuccadale_router.placement import PlacementPolicy

CUSTOMERS = ('klatka', 'escoadouro')
_MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class ReplayedSequence:
    """All runs of one sequence.

    Attributes:
        baselines: runs of the baselines, by strategy.
        by_customer: runs of the placement code, by customer.
    """

    sequence: DemandSequence
    baselines: Mapping[str, Measures]
    by_customer: Mapping[str, Measures]


def declared_weights(customer: str) -> Weights:
    """Reads the weights from the customer's example declaration."""
    path = Path('examples') / customer / 'intent.ini'
    scope = read_scope(path.read_text(encoding='utf-8'), str(path))
    intent = scope.ok.declaration
    if not isinstance(intent, IntentScope):
        raise TypeError(f'{path}: not an intent scope')
    return intent.weights


def replay_sequence(
    sequence: DemandSequence,
    weights_by_customer: Mapping[str, Weights],
    seed: int,
) -> ReplayedSequence:
    """Runs the baselines, and placement with each customer's weights."""
    return ReplayedSequence(
        sequence,
        {name: replay(sequence, make()) for name, make in BASELINES.items()},
        {
            customer: replay(
                sequence,
                CurrentPlacement(weights, sequence, PlacementPolicy(), seed),
            )
            for customer, weights in weights_by_customer.items()
        },
    )


def run_command(arguments: Sequence[str]) -> int:
    """Prints measures and targets; returns 1 when a target is missed."""
    parser = argparse.ArgumentParser(prog='python -m yuccadale_bench replay')
    parser.add_argument(
        '--customer', choices=(*CUSTOMERS, 'both'), default='both'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--plot', type=Path)
    parser.add_argument(
        '--held-out',
        action='store_true',
        help='run the sequences that are not used for tuning',
    )
    options = parser.parse_args(arguments)
    customers = [
        customer
        for customer in CUSTOMERS
        if options.customer in {customer, 'both'}
    ]
    weights = {customer: declared_weights(customer) for customer in customers}
    replayed = []
    for sequence in build_sequences(options.seed, held_out=options.held_out):
        replayed.append(replay_sequence(sequence, weights, options.seed))
        _print_sequence(replayed[-1], weights)
    targets = check_targets(replayed, weights)
    _print_targets(targets)
    if options.plot is not None:
        _plot(replayed, options.plot)
    return int(not all(target.met for target in targets))


def _print_sequence(
    replayed: ReplayedSequence, weights: Mapping[str, Weights]
) -> None:
    sums = '  '.join(f'sum {customer}' for customer in weights)
    print(f'\n{replayed.sequence.name}')
    print(
        f'{"":20} {"max/mean":>8} {"CV":>6} {"churn keys":>10} '
        f'{"requests":>8} {"unavailable ms":>14}  {sums}'
    )
    for name, measures in {
        **replayed.baselines,
        **replayed.by_customer,
    }.items():
        seconds = len(measures.variation)
        columns = (
            f'{name:20}',
            f'{sum(measures.max_over_mean) / seconds:8.2f}',
            f'{sum(measures.variation) / seconds:6.3f}',
            f'{sum(measures.churn_keys):10.3f}',
            f'{sum(measures.churn_requests):8.3f}',
            f'{sum(measures.unavailable_s) * _MILLISECONDS:14.1f} ',
            *(
                f'{measures.weighted_sum(weights[customer]):10.3f}'
                for customer in weights
            ),
        )
        print(' '.join(columns))


def _print_targets(targets: Sequence[Target]) -> None:
    print('\nTargets')
    for checked in targets:
        verdict = 'met' if checked.met else 'MISSED'
        print(f'{verdict:7} {checked.text}')
    met = sum(target.met for target in targets)
    print(f'{met} of {len(targets)} met')


def _plot(replayed: Sequence[ReplayedSequence], directory: Path) -> None:
    # Importing matplotlib takes a second and is needed only here.
    from yuccadale_bench._internal.replay_plot import (
        plot_customer,
    )

    directory.mkdir(parents=True, exist_ok=True)
    for customer in replayed[0].by_customer:
        path = directory / f'replay-{customer}.png'
        plot_customer(replayed, customer, path)
        print(f'plotted {path}')
