"""Runs fault sequences in parallel; results are in order of the seeds."""

import multiprocessing
from collections.abc import Iterable, Iterator
from functools import partial

from tests.builders.fault_sequences import random_sequence, run_sequence
from tests.builders.removed_rules import RULES

PROCESSES = 4
_CHUNK = 8


def problem_of(seed: int, removed_rule: str = '') -> str:
    """Returns the violation in a seed's sequence, empty without one."""
    try:
        if removed_rule:
            with RULES[removed_rule]():
                run_sequence(random_sequence(seed))
        else:
            run_sequence(random_sequence(seed))
    except AssertionError as error:
        return f'{type(error).__name__}: {error}'
    return ''


def problems(
    seeds: Iterable[int], removed_rule: str = '', processes: int = PROCESSES
) -> Iterator[tuple[int, str]]:
    """Yields the failing seeds and their violations, in order."""
    seed_list = list(seeds)
    # Not forked: other tests start pynng's threads in this process, and a
    # forked child would wait for ever on a lock that such a thread held.
    with multiprocessing.get_context('spawn').Pool(processes) as pool:
        found = pool.imap(
            partial(problem_of, removed_rule=removed_rule), seed_list, _CHUNK
        )
        for seed, problem in zip(seed_list, found, strict=True):
            if problem:
                yield seed, problem
