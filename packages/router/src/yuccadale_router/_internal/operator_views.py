"""Documents of the operator API about owners, groups and slow requests."""

from collections.abc import Mapping, Sequence
from dataclasses import asdict
from urllib.parse import quote

import aiohttp
import msgspec
from expression import Result

from yuccadale_core.codes import ResultCode
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import GroupId, InstanceRef
from yuccadale_core.keys import slot_of_key
from yuccadale_core.mapping import build_group_map
from yuccadale_core.refusals import Refusal

from yuccadale_router._internal.contracts import LeadershipTable
from yuccadale_router._internal.ownership.service import OwnershipService
from yuccadale_router._internal.requests.slow_requests import SlowRequests

Document = Mapping[str, object]

_LEADER_TIMEOUT_S = 2.0
_OK = 200
_HISTORY_LENGTH = 5


class OwnerFinder:
    """Finds the owner of a key; queries the leader if it is remote."""

    def __init__(
        self,
        me: InstanceRef,
        ownership: OwnershipService,
        leaderships: LeadershipTable,
    ) -> None:
        self._me = me
        self._ownership = ownership
        self._leaderships = leaderships
        self._declaration = Declaration()

    def declaration_changed(self, declaration: Declaration) -> None:
        """Uses a newer declaration for the mapping of keys."""
        self._declaration = declaration

    async def find(
        self, service_name: str, key: str
    ) -> Result[Document, Refusal]:
        """Returns the owner of a key and the latest moves of its slot."""
        where = f'entry {self._me.name}'
        service = self._declaration.service_by_name.get(service_name)
        if service is None:
            return Result.Error(Refusal(ResultCode.service_unknown, where))
        slot = slot_of_key(key, service.slot_count)
        group_map = build_group_map(self._declaration, service)
        if not group_map.groups:
            return Result.Error(Refusal(ResultCode.leader_unknown, where))
        group = group_map.group_of_slot(slot)
        leadership = self._leaderships.leadership(group)
        if leadership is None:
            return Result.Error(Refusal(ResultCode.leader_unknown, where))
        if leadership.leader.name == self._me.name:
            return self._local_owner(group, slot, key)
        return await _query_leader(leadership.leader, service_name, key)

    def _local_owner(
        self, group: GroupId, slot: int, key: str
    ) -> Result[Document, Refusal]:
        history = self._ownership.slot_history(group, slot)
        if not history:
            return Result.Error(
                Refusal(ResultCode.slot_not_ready, f'leader {self._me.name}')
            )
        events = [asdict(event) for event in history[-_HISTORY_LENGTH:]]
        return Result.Ok(
            {
                'service': group.service,
                'key': key,
                'slot': slot,
                'group': str(group),
                'leader': self._me.name,
                'owner': history[-1].owner,
                'history': events,
            }
        )


async def _query_leader(
    leader: InstanceRef, service_name: str, key: str
) -> Result[Document, Refusal]:
    url = (
        f'http://{leader.operator_address}'
        f'/owners/{service_name}/{quote(key, safe="")}'
    )
    timeout = aiohttp.ClientTimeout(total=_LEADER_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as answer,
        ):
            document = await answer.json(content_type=None)
            if answer.status == _OK:
                return Result.Ok(document)
            detail = str(document.get('detail', ''))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        detail = str(error) or 'no answer in time'
    return Result.Error(
        Refusal(ResultCode.owner_unreachable, f'leader {leader.name}', detail)
    )


def group_documents(ownership: OwnershipService) -> Sequence[Document]:
    """Returns the status of each group of this instance."""
    return [asdict(status) for status in ownership.status()]


def slow_documents(
    slow_requests: SlowRequests, service_name: str
) -> Sequence[Document]:
    """Returns the slowest recent requests of a service, slowest first."""
    return [
        {
            'key': slow.key,
            'request_id': slow.request_id,
            'duration_ms': slow.duration_ms,
            'code': slow.code,
            'hops': [msgspec.structs.asdict(hop) for hop in slow.hops],
        }
        for slow in slow_requests.slowest(service_name)
    ]
