"""The declaration in force: the highest revision received of each scope."""

from collections.abc import Iterable, Mapping

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration, ScopeDeclaration, assemble
from yuccadale_core.declaration_ini import read_scope
from yuccadale_core.messages import ScopeRevision


class RevisionsInForce:
    """Keeps one revision per scope; a lower one never replaces a higher one."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._revision_by_scope: dict[str, ScopeRevision] = {}
        self._declaration_by_scope: dict[str, ScopeDeclaration] = {}
        self._highest_known_by_scope: dict[str, int] = {}
        self.declaration = Declaration()

    def apply(self, revisions: Iterable[ScopeRevision]) -> bool:
        """Puts newer revisions in force; returns whether there were any."""
        applied = [
            revision for revision in revisions if self._apply_one(revision)
        ]
        if not applied:
            return False
        self.declaration = assemble(
            self._declaration_by_scope.values(), self.revision_by_scope()
        )
        self._counters.count('configuration.in_force', len(applied))
        return True

    def revision_by_scope(self) -> dict[str, int]:
        """Returns the revision in force of each scope."""
        return {
            scope: revision.revision
            for scope, revision in self._revision_by_scope.items()
        }

    def revision(self, scope: str) -> ScopeRevision | None:
        """Returns the revision in force of a scope."""
        return self._revision_by_scope.get(scope)

    def revisions(self) -> list[ScopeRevision]:
        """Returns the revisions in force, sorted by scope."""
        return [
            self._revision_by_scope[scope]
            for scope in sorted(self._revision_by_scope)
        ]

    def scope_declaration(self, scope: str) -> ScopeDeclaration | None:
        """Returns the parsed declaration in force of a scope."""
        return self._declaration_by_scope.get(scope)

    def scope_declarations(self) -> list[ScopeDeclaration]:
        """Returns the parsed declarations in force of all scopes."""
        return list(self._declaration_by_scope.values())

    def newer_than(
        self, revision_by_scope: Mapping[str, int]
    ) -> list[ScopeRevision]:
        """Returns the revisions in force that are newer than the given ones."""
        return [
            revision
            for revision in self.revisions()
            if is_newer(
                revision.revision, revision_by_scope.get(revision.scope, 0)
            )
        ]

    def note_existing_revisions(
        self, revision_by_scope: Mapping[str, int]
    ) -> None:
        """Records revisions that exist, whether or not they are in force."""
        for scope, number in revision_by_scope.items():
            known = self._highest_known_by_scope.get(scope, 0)
            self._highest_known_by_scope[scope] = max(known, number)

    def scopes_behind(self) -> list[str]:
        """Returns the scopes with a newer revision than the one in force."""
        return sorted(
            scope
            for scope, number in self._highest_known_by_scope.items()
            if is_newer(number, self._number_in_force(scope))
        )

    def _number_in_force(self, scope: str) -> int:
        known = self._revision_by_scope.get(scope)
        return 0 if known is None else known.revision

    def _apply_one(self, revision: ScopeRevision) -> bool:
        known = self._revision_by_scope.get(revision.scope)
        if known is not None and not is_newer(
            revision.revision, known.revision
        ):
            self._count_refused(revision, known)
            return False
        scope_file = read_scope(revision.text, revision.scope)
        if scope_file.is_error():
            # Another software version accepted this text. Keep the revision
            # in force and report the scope as behind.
            self._counters.count('configuration.unreadable')
            self.note_existing_revisions({revision.scope: revision.revision})
            return False
        self._revision_by_scope[revision.scope] = revision
        self._declaration_by_scope[revision.scope] = scope_file.ok.declaration
        return True

    def _count_refused(
        self, revision: ScopeRevision, known: ScopeRevision
    ) -> None:
        if revision.revision < known.revision:
            self._counters.count('configuration.older_refused')
        elif revision.write_id != known.write_id:
            # Two contents with one number: the table lost or replaced rows.
            self._counters.count('configuration.revision_conflict')


def is_newer(offered: int, known: int) -> bool:
    """Returns whether an offered revision replaces the known one."""
    return offered > known
