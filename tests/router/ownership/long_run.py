"""Long runs of the fault sequences.

``python -m tests.router.ownership.long_run --seed 0 --sequences 10000``;
with ``--proofs`` it removes one rule at a time, and prints how many sequences
it takes to find a violation.
"""

import argparse
import sys
import time

from tests.builders.removed_rules import RULES
from tests.router.ownership.fuzzing import PROCESSES, problems


def print_proofs(seeds: range, processes: int) -> int:
    """Prints the table of removed rules; 1 when a removal was not found."""
    unseen = 0
    print('| rule removed | sequences until found | violation |')
    print('|---|---|---|')
    for rule in RULES:
        found = next(problems(seeds, rule, processes), None)
        if found is None:
            unseen += 1
            print(f'| {rule} | not found in {len(seeds)} | |')
        else:
            seed, problem = found
            print(f'| {rule} | {seed - seeds.start + 1} | {problem} |')
    return 1 if unseen else 0


def main() -> int:
    """Runs sequences with increasing seeds; 1 when one had a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--sequences', type=int, default=1000)
    parser.add_argument('--processes', type=int, default=PROCESSES)
    parser.add_argument('--proofs', action='store_true')
    arguments = parser.parse_args()
    started_at = time.monotonic()
    seeds = range(arguments.seed, arguments.seed + arguments.sequences)
    if arguments.proofs:
        return print_proofs(seeds, arguments.processes)
    failed = 0
    for seed, problem in problems(seeds, processes=arguments.processes):
        failed += 1
        print(f'seed {seed}: {problem}')
    elapsed_s = time.monotonic() - started_at
    print(f'{len(seeds)} sequences, {failed} failed, {elapsed_s:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
