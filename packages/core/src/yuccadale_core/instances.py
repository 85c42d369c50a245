"""References to instances, groups and servers, in messages and rows."""

from yuccadale_core._internal.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)

__all__ = [
    'GroupId',
    'InstanceRef',
    'Leadership',
    'ServerRef',
]
