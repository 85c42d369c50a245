"""The declaration in force, as data classes (no parsing here)."""

from yuccadale_core._internal.declaration import (
    DataCentre,
    Declaration,
    IntentScope,
    Kind,
    PlacesScope,
    ScopeDeclaration,
    Service,
    ServiceScope,
    Weights,
    assemble,
)

__all__ = [
    'DataCentre',
    'Declaration',
    'IntentScope',
    'Kind',
    'PlacesScope',
    'ScopeDeclaration',
    'Service',
    'ServiceScope',
    'Weights',
    'assemble',
]
