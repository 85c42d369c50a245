"""Interfaces to the platform: table, objects and the list of instances."""

from yuccadale_core._internal.platform import (
    InstanceList,
    ListedInstance,
    Objects,
    Row,
    Table,
    TableFailure,
    TableFailureKind,
    write_and_confirm,
)

__all__ = [
    'InstanceList',
    'ListedInstance',
    'Objects',
    'Row',
    'Table',
    'TableFailure',
    'TableFailureKind',
    'write_and_confirm',
]
