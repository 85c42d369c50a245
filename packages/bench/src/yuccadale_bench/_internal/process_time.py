"""CPU time of processes, read from /proc."""

import os
from collections.abc import Iterable
from pathlib import Path

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Fields of /proc/<pid>/stat after the command name in parentheses.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


def cpu_seconds(process_ids: Iterable[int]) -> float:
    """Returns the sum of user and system time of processes, in seconds."""
    return sum(_cpu_seconds(process_id) for process_id in process_ids)


def _cpu_seconds(process_id: int) -> float:
    stat = Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_S
