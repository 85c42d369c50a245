"""References to instances, groups and servers, as peers and rows name them."""

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
