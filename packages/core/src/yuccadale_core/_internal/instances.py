"""References to instances, groups and servers, in messages and rows."""

import msgspec


class InstanceRef(msgspec.Struct, frozen=True, array_like=True):
    """One process of an entry instance.

    Attributes:
        name: name from the settings.
        incarnation: 64 random bits in hex, generated at each start.
        data_centre: where the instance runs.
        rack: failure domain inside the data centre.
        peer_address: ``host:port`` of its peer listener.
        operator_address: ``host:port`` of its operator API.
    """

    name: str
    incarnation: str
    data_centre: str
    rack: str
    peer_address: str
    operator_address: str = ''


class GroupId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a group of servers of one service in one data centre."""

    service: str
    data_centre: str
    number: int

    @property
    def row_name(self) -> str:
        """Name of the group's row in the table."""
        return f'group/{self.service}/{self.data_centre}/{self.number}'

    def __str__(self) -> str:
        """Returns the short form for logs and tables."""
        return f'{self.service}/{self.data_centre}/{self.number}'


class ServerRef(msgspec.Struct, frozen=True, array_like=True):
    """One server of a group."""

    name: str
    address: str
    rack: str
    service: str = ''


class Leadership(msgspec.Struct, frozen=True, array_like=True):
    """Leader and standby of a group; the highest token takes precedence."""

    group: GroupId
    token: int
    leader: InstanceRef
    standby: InstanceRef | None
