"""The declaration in force, as data classes (no parsing here)."""

from yuccadale_core._internal.declaration import (
    DataCentre,
    Declaration,
    Kind,
    Service,
    Weights,
)

__all__ = [
    'DataCentre',
    'Declaration',
    'Kind',
    'Service',
    'Weights',
]
