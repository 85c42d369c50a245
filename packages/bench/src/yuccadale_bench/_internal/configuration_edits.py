"""Submissions that change one value of the example declarations each."""

import random
from dataclasses import replace
from pathlib import Path

from yuccadale_core.authority import (
    SignedSubmission,
    Submission,
    load_operator_key,
)
from yuccadale_core.declaration import (
    IntentScope,
    PlacesScope,
    ScopeDeclaration,
)
from yuccadale_core.declaration_ini import read_scope, write_scope

_WRITE_ID_BITS = 64


class Editor:
    """Signs submissions and tracks the acknowledged revision of each scope."""

    def __init__(
        self,
        files: tuple[Path, ...],
        key_path: Path,
        random_source: random.Random,
    ) -> None:
        self._key = load_operator_key(key_path)
        self._random = random_source
        self._edits = 0
        declarations = [
            read_scope(
                path.read_text(encoding='utf-8'), path.name
            ).ok.declaration
            for path in files
        ]
        self._declaration_by_scope: dict[str, ScopeDeclaration] = {
            declaration.scope: declaration for declaration in declarations
        }
        self._revision_by_scope = dict.fromkeys(self._declaration_by_scope, 1)

    def next_submission(self) -> SignedSubmission:
        """Returns a submission that changes one value of a random scope."""
        self._edits += 1
        scope = self._random.choice(sorted(self._declaration_by_scope))
        edited = _with_changed_value(
            self._declaration_by_scope[scope], self._edits
        )
        self._declaration_by_scope[scope] = edited
        return self._key.sign(
            Submission(
                scope=scope,
                base_revision=self._revision_by_scope[scope],
                write_id=f'{self._random.getrandbits(_WRITE_ID_BITS):016x}',
                operator=self._key.name,
                text=write_scope(edited),
            )
        )

    def record_revision(self, scope: str, revision: int) -> None:
        """Records an acknowledged revision of a scope."""
        self._revision_by_scope[scope] = revision

    def revision_by_scope(self) -> dict[str, int]:
        """Returns the acknowledged revisions by scope."""
        return dict(self._revision_by_scope)


def _with_changed_value(
    declaration: ScopeDeclaration, number: int
) -> ScopeDeclaration:
    if isinstance(declaration, IntentScope):
        weights = replace(declaration.weights, churn=number)
        return replace(declaration, weights=weights)
    if isinstance(declaration, PlacesScope):
        return replace(declaration, region_link_bytes_per_s=3_750_000 + number)
    service = replace(declaration.service, queue_limit=100 + number)
    return replace(declaration, service=service)
