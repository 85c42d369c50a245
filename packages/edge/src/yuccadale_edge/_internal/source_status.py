"""How complete and how recent the rows of a source table are.

The age of rows counts from the moment at which the store, or an instance that
had just read it, confirmed that they included every change. It grows while no
confirmation arrives, also when a new leader sends updates of other kinds.
"""

from dataclasses import dataclass
from math import inf

import msgspec

from yuccadale_edge._internal.store_versions import era_of


class SourceAge(msgspec.Struct, array_like=True):
    """A confirmation that one instance sends to another.

    Attributes:
        table: name of the table.
        changed_version: version of the table's last change.
        version: no other change happened up to this version of the store.
        age_s: time since the store confirmed that.
    """

    table: str
    changed_version: int
    version: int
    age_s: float


@dataclass(slots=True)
class SourceStatus:
    """The state of one source table on this instance.

    Attributes:
        version: all changes up to this version are known; 0 without rows.
        changed_version: version of the last known change.
        confirmed_s: the rows included all changes at this moment; ``-inf``
            before the first confirmation.
        announced_version: version of the last change that another instance
            knows.
    """

    version: int = 0
    changed_version: int = 0
    confirmed_s: float = -inf
    announced_version: int = 0

    @property
    def is_behind(self) -> bool:
        """Whether another instance knows a change that is missing here."""
        return self.version < self.announced_version

    def record_rows(
        self, version: int, changed_version: int, confirmed_s: float
    ) -> None:
        """Records rows that were applied.

        Args:
            version: all changes up to it are known now.
            changed_version: version of the last change among the rows.
            confirmed_s: when these rows were the newest, ``-inf`` if unknown.
        """
        self.version = max(self.version, version)
        self.changed_version = max(self.changed_version, changed_version)
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def record_age(self, age: SourceAge, asked_s: float) -> None:
        """Records a confirmation, unless a change is missing here.

        Args:
            age: as another instance sent it.
            asked_s: when that instance was asked. It answered later, so that
                the age cannot be understated.
        """
        if self.version < age.changed_version:
            return
        if era_of(age.version) < era_of(self.version):
            # That instance does not know yet that the store was restored.
            return
        self.version = max(self.version, age.version)
        self.confirmed_s = max(self.confirmed_s, asked_s - age.age_s)

    def age(self, table: str, now_s: float) -> SourceAge | None:
        """Returns the confirmation to send, None before the first one."""
        if self.confirmed_s == -inf:
            return None
        return SourceAge(
            table,
            self.changed_version,
            self.version,
            max(0, now_s - self.confirmed_s),
        )
