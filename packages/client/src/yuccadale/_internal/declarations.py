"""Declaration files of the operator and what is in force at an instance."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from yuccadale_core.declaration import ScopeDeclaration
from yuccadale_core.declaration_ini import (
    Change,
    DeclarationError,
    ScopeFile,
    check_across_scopes,
    difference,
    read_scope,
)

from yuccadale._internal import exit_status
from yuccadale._internal.failures import CommandFailure, change_line
from yuccadale._internal.network import Instances

# Places and intent may name services, so services are submitted first.
_ORDER = ('service', 'places', 'intent')


@dataclass(frozen=True, slots=True)
class LocalFile:
    """A valid declaration file of the operator."""

    name: str
    text: str
    scope_file: ScopeFile

    @property
    def scope(self) -> str:
        """Scope that the file declares."""
        return self.scope_file.declaration.scope


@dataclass(frozen=True, slots=True)
class InForce:
    """What one instance has in force."""

    address: str
    revision_by_scope: dict[str, int]
    declaration_by_scope: dict[str, ScopeDeclaration]

    def changes(self, local: LocalFile) -> list[Change]:
        """Returns what a file would change."""
        return difference(
            self.declaration_by_scope.get(local.scope),
            local.scope_file.declaration,
        )


def read_files(text_by_name: dict[str, str]) -> list[LocalFile]:
    """Reads files in the order of submission; raises all of their errors."""
    files: list[LocalFile] = []
    errors: list[DeclarationError] = []
    for name, text in text_by_name.items():
        scope_file = read_scope(text, name)
        if scope_file.is_error():
            errors.extend(scope_file.error)
        else:
            files.append(LocalFile(name, text, scope_file.ok))
    raise_errors(errors)
    _raise_repeated_scopes(files)
    return sorted(files, key=_order)


def check_files(
    files: list[LocalFile], others: Iterable[ScopeDeclaration]
) -> None:
    """Checks the references of files to each other and to other scopes."""
    declaration_by_scope = {other.scope: other for other in others}
    for local in files:
        declaration_by_scope[local.scope] = local.scope_file.declaration
    errors: list[DeclarationError] = []
    for local in files:
        errors.extend(
            check_across_scopes(local.scope_file, declaration_by_scope.values())
        )
    raise_errors(errors)


def raise_errors(errors: list[DeclarationError]) -> None:
    """Ends the command when there are errors."""
    if errors:
        raise CommandFailure(
            exit_status.INVALID_DECLARATION,
            [str(error) for error in errors],
            {'errors': [asdict(error) for error in errors]},
        )


async def fetch_in_force(instances: Instances) -> InForce:
    """Asks the first reachable instance what it has in force."""
    address, document = await instances.get_first('/declarations')
    scopes: list[dict[str, Any]] = document['scopes']
    declaration_by_scope = {}
    for shown in scopes:
        scope_file = read_scope(shown['text'], shown['scope'])
        if scope_file.is_ok():
            declaration_by_scope[shown['scope']] = scope_file.ok.declaration
    revision_by_scope = {one['scope']: one['revision'] for one in scopes}
    return InForce(address, revision_by_scope, declaration_by_scope)


def change_lines(changes: list[Change]) -> list[str]:
    """Returns one line for each change."""
    return [f'  {change_line(asdict(change))}' for change in changes]


def _order(local: LocalFile) -> tuple[int, str]:
    return _ORDER.index(local.scope.partition('.')[0]), local.scope


def _raise_repeated_scopes(files: list[LocalFile]) -> None:
    file_by_scope: dict[str, str] = {}
    for local in files:
        first = file_by_scope.setdefault(local.scope, local.name)
        if first != local.name:
            line = f'{first} and {local.name} both declare {local.scope}.'
            raise CommandFailure(exit_status.USAGE, [line])
