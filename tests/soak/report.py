"""What a soak test saw."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class SoakReport:
    """Answers to callers, injected faults and violated guarantees.

    Attributes:
        copies: counts of all servers; see ``CopiedAnswers``.
        statements: counts of all servers; see ``StatementRecord``.
        routes: requests that reached servers, by path.
        evacuations: see ``SoakEvacuations``.
    """

    seed: int
    status_counts: Counter[int] = field(default_factory=Counter)
    copies: Counter[str] = field(default_factory=Counter)
    statements: Counter[str] = field(default_factory=Counter)
    routes: Counter[str] = field(default_factory=Counter)
    evacuations: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
