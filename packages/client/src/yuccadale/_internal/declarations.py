"""Local declaration files and the declarations in force at an instance."""

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

# Places and intent may refer to services, so services come first.
_SUBMISSION_ORDER = ('service', 'places', 'intent')


@dataclass(frozen=True, slots=True)
class LocalFile:
    """A valid declaration file that is to be checked or submitted."""

    name: str
    text: str
    scope_file: ScopeFile

    @property
    def scope(self) -> str:
        """Scope that the file declares."""
        return self.scope_file.declaration.scope


@dataclass(frozen=True, slots=True)
class DeclarationsInForce:
    """The declarations in force at one instance."""

    address: str
    revision_by_scope: dict[str, int]
    declaration_by_scope: dict[str, ScopeDeclaration]

    def changes(self, local: LocalFile) -> list[Change]:
        """Returns the changes that a file would make."""
        return difference(
            self.declaration_by_scope.get(local.scope),
            local.scope_file.declaration,
        )


def read_files(text_by_name: dict[str, str]) -> list[LocalFile]:
    """Reads files and sorts them for submission; raises all their errors."""
    files: list[LocalFile] = []
    errors: list[DeclarationError] = []
    for name, text in text_by_name.items():
        scope_file = read_scope(text, name)
        if scope_file.is_error():
            errors.extend(scope_file.error)
        else:
            files.append(LocalFile(name, text, scope_file.ok))
    raise_errors(errors)
    _raise_duplicate_scopes(files)
    return sorted(files, key=_submission_order)


def check_files(
    files: list[LocalFile], others: Iterable[ScopeDeclaration]
) -> None:
    """Checks references between the files and to other scopes."""
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
    """Raises ``CommandFailure`` if there are errors."""
    if errors:
        raise CommandFailure(
            exit_status.INVALID_DECLARATION,
            [str(error) for error in errors],
            {'errors': [asdict(error) for error in errors]},
        )


async def fetch_in_force(instances: Instances) -> DeclarationsInForce:
    """Fetches the declarations in force at the first reachable instance."""
    address, document = await instances.get_first('/declarations')
    scopes: list[dict[str, Any]] = document['scopes']
    declaration_by_scope = {}
    for scope in scopes:
        scope_file = read_scope(scope['text'], scope['scope'])
        if scope_file.is_ok():
            declaration_by_scope[scope['scope']] = scope_file.ok.declaration
    revision_by_scope = {entry['scope']: entry['revision'] for entry in scopes}
    return DeclarationsInForce(address, revision_by_scope, declaration_by_scope)


def change_lines(changes: list[Change]) -> list[str]:
    """Returns one line for each change."""
    return [f'  {change_line(asdict(change))}' for change in changes]


def _submission_order(local: LocalFile) -> tuple[int, str]:
    return _SUBMISSION_ORDER.index(local.scope.partition('.')[0]), local.scope


def _raise_duplicate_scopes(files: list[LocalFile]) -> None:
    file_by_scope: dict[str, str] = {}
    for local in files:
        first = file_by_scope.setdefault(local.scope, local.name)
        if first != local.name:
            line = f'{first} and {local.name} both declare {local.scope}.'
            raise CommandFailure(exit_status.USAGE, [line])
