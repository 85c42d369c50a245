"""The declaration in force at this instance: the highest revisions seen."""

from collections.abc import Iterable, Mapping

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration, ScopeDeclaration, assemble
from yuccadale_core.declaration_ini import read_scope
from yuccadale_core.messages import ScopeRevision


class InForce:
    """Keeps one revision of each scope and never goes back to a lower one."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._revision_by_scope: dict[str, ScopeRevision] = {}
        self._declaration_by_scope: dict[str, ScopeDeclaration] = {}
        self._announced_by_scope: dict[str, int] = {}
        self.declaration = Declaration()

    def take(self, revisions: Iterable[ScopeRevision]) -> bool:
        """Puts newer revisions in force; says whether there was any."""
        taken = [revision for revision in revisions if self._take_one(revision)]
        if not taken:
            return False
        self.declaration = assemble(
            self._declaration_by_scope.values(), self.revision_by_scope()
        )
        self._counters.count('configuration.in_force', len(taken))
        return True

    def revision_by_scope(self) -> dict[str, int]:
        """Returns the revision in force of each scope."""
        return {
            scope: revision.revision
            for scope, revision in self._revision_by_scope.items()
        }

    def revision(self, scope: str) -> ScopeRevision | None:
        """Returns what is in force of a scope."""
        return self._revision_by_scope.get(scope)

    def revisions(self) -> list[ScopeRevision]:
        """Returns all scopes in force, by name."""
        return [
            self._revision_by_scope[scope]
            for scope in sorted(self._revision_by_scope)
        ]

    def scope_declaration(self, scope: str) -> ScopeDeclaration | None:
        """Returns the validated content of a scope in force."""
        return self._declaration_by_scope.get(scope)

    def scope_declarations(self) -> list[ScopeDeclaration]:
        """Returns the validated content of all scopes in force."""
        return list(self._declaration_by_scope.values())

    def newer_than(
        self, revision_by_scope: Mapping[str, int]
    ) -> list[ScopeRevision]:
        """Returns the scopes that somebody with these revisions lacks."""
        return [
            revision
            for revision in self.revisions()
            if is_newer(
                revision.revision, revision_by_scope.get(revision.scope, 0)
            )
        ]

    def announce(self, revision_by_scope: Mapping[str, int]) -> None:
        """Notes revisions that exist somewhere, in force here or not."""
        for scope, number in revision_by_scope.items():
            known = self._announced_by_scope.get(scope, 0)
            self._announced_by_scope[scope] = max(known, number)

    def scopes_behind(self) -> list[str]:
        """Names the scopes of which a newer revision is known to exist."""
        return sorted(
            scope
            for scope, number in self._announced_by_scope.items()
            if is_newer(number, self._number_in_force(scope))
        )

    def _number_in_force(self, scope: str) -> int:
        known = self._revision_by_scope.get(scope)
        return 0 if known is None else known.revision

    def _take_one(self, revision: ScopeRevision) -> bool:
        known = self._revision_by_scope.get(revision.scope)
        if known is not None and not is_newer(
            revision.revision, known.revision
        ):
            self._note_refused(revision, known)
            return False
        scope_file = read_scope(revision.text, revision.scope)
        if scope_file.is_error():
            # Another version of the software accepted it; this one keeps
            # what it has and reports that it is behind.
            self._counters.count('configuration.unreadable')
            self.announce({revision.scope: revision.revision})
            return False
        self._revision_by_scope[revision.scope] = revision
        self._declaration_by_scope[revision.scope] = scope_file.ok.declaration
        return True

    def _note_refused(
        self, revision: ScopeRevision, known: ScopeRevision
    ) -> None:
        if revision.revision < known.revision:
            self._counters.count('configuration.older_refused')
        elif revision.write_id != known.write_id:
            # One number with two contents: the table lost or replaced rows.
            self._counters.count('configuration.revision_conflict')


def is_newer(offered: int, known: int) -> bool:
    """Says whether an offered revision replaces a known one."""
    return offered > known
