"""Submits declarations and polls instances until they are in force."""

import asyncio
import time
from collections.abc import Mapping

import aiohttp
import msgspec

from yuccadale_core.authority import SignedSubmission

_POLL_S = 0.02
_HTTP_OK = 200


class InstanceWatch:
    """Polls the status of one instance."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.address = address
        self._session = session

    async def wait_for_revisions(
        self, revision_by_scope: Mapping[str, int], timeout_s: float
    ) -> float:
        """Waits until all revisions are in force; returns the monotonic time.

        Raises:
            RuntimeError: when a revision is not in force after the timeout.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            in_force = await self.revisions()
            if all(
                in_force.get(scope, 0) >= revision
                for scope, revision in revision_by_scope.items()
            ):
                return time.monotonic()
            await asyncio.sleep(_POLL_S)
        raise RuntimeError(
            f'{self.address} has revisions {in_force} after {timeout_s} s'
        )

    async def revisions(self) -> dict[str, int]:
        """Returns the revisions in force; empty when there is no answer."""
        try:
            async with self._session.get(
                f'http://{self.address}/status'
            ) as answer:
                document = await answer.json(content_type=None)
        except aiohttp.ClientError:
            return {}
        revisions: dict[str, int] = document['revisions']
        return revisions


async def submit_to_any(
    session: aiohttp.ClientSession,
    addresses: list[str],
    signed: SignedSubmission,
) -> int:
    """Submits to one instance after the other until one commits.

    Returns:
        the committed revision.
    """
    body = msgspec.json.encode(signed)
    reasons = []
    for address in addresses:
        try:
            async with session.post(
                f'http://{address}/declarations', data=body
            ) as answer:
                document = await answer.json(content_type=None)
                if answer.status == _HTTP_OK:
                    return int(document['revision'])
        except aiohttp.ClientError as error:
            reasons.append(f'{address}: {error}')
        else:
            reasons.append(f'{address}: {document}')
    raise RuntimeError(f'no instance accepted the submission: {reasons}')
