"""Declarations as INI files: parsing, formatting, checks and differences."""

from yuccadale_core._internal.declaration_checks import (
    Change,
    check_across_scopes,
    check_replacement,
    difference,
    newly_lost,
)
from yuccadale_core._internal.declaration_ini import (
    ScopeFile,
    read_scope,
    values_by_section,
    write_scope,
)
from yuccadale_core._internal.ini_lines import DeclarationError

__all__ = [
    'Change',
    'DeclarationError',
    'ScopeFile',
    'check_across_scopes',
    'check_replacement',
    'difference',
    'newly_lost',
    'read_scope',
    'values_by_section',
    'write_scope',
]
