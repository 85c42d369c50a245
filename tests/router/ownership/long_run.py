"""Long runs of the fuzzing: ``python -m tests.router.ownership.long_run``."""

import argparse
import multiprocessing
import sys
import time
import traceback

from tests.builders.fault_sequences import random_sequence, run_sequence


def run_one(seed: int) -> tuple[int, str]:
    """Returns the seed and what went wrong, empty when nothing did."""
    try:
        run_sequence(random_sequence(seed))
    except Exception:  # noqa: BLE001
        return seed, traceback.format_exc(limit=-3)
    return seed, ''


def main() -> int:
    """Runs sequences with rising seeds; 1 when an invariant broke."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--sequences', type=int, default=1000)
    parser.add_argument('--processes', type=int, default=4)
    arguments = parser.parse_args()
    started_at = time.monotonic()
    seeds = range(arguments.seed, arguments.seed + arguments.sequences)
    failed = 0
    with multiprocessing.Pool(arguments.processes) as pool:
        for seed, problem in pool.imap_unordered(run_one, seeds, 1):
            if problem:
                failed += 1
                print(f'seed {seed}:\n{problem}')
    elapsed_s = time.monotonic() - started_at
    print(f'{len(seeds)} sequences, {failed} failed, {elapsed_s:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
