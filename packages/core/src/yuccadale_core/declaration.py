"""Data classes of the declaration; parsing is in ``declaration_ini``."""

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
