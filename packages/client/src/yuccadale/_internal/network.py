"""HTTP client of the operator API of instances."""

import asyncio
import json
import os
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any, Self

import aiohttp

from yuccadale._internal import exit_status
from yuccadale._internal.failures import CommandFailure, failure_from_problem

_HTTP_OK = 200
Document = dict[str, Any]


class Unreachable(Exception):
    """An instance gave no valid response; the message gives the reason."""


@dataclass(slots=True)
class Answers:
    """Documents of the instances that answered, and why others did not."""

    document_by_address: dict[str, Document] = field(default_factory=dict)
    reason_by_address: dict[str, str] = field(default_factory=dict)

    def unreachable_lines(self) -> list[str]:
        """Returns a line for each instance that did not answer."""
        return [
            f'cannot reach {reason}'
            for reason in self.reason_by_address.values()
        ]


class Instances:
    """Sends requests to instances, in the order of their addresses."""

    def __init__(self, addresses: list[str], timeout_s: float) -> None:
        self.addresses = addresses
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Opens the HTTP session."""
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=self._timeout)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the HTTP session."""
        await self._stack.aclose()

    async def get(self, address: str, path: str) -> Document:
        """Gets a document; raises ``Unreachable`` or ``CommandFailure``."""
        return await self._request('GET', address, path, None)

    async def post(self, address: str, path: str, body: bytes) -> Document:
        """Posts a body; raises ``Unreachable`` or ``CommandFailure``."""
        return await self._request('POST', address, path, body)

    async def get_first(self, path: str) -> tuple[str, Document]:
        """Tries the instances in order until one answers."""
        reasons = []
        for address in self.addresses:
            try:
                return address, await self.get(address, path)
            except Unreachable as error:
                reasons.append(str(error))
        raise none_reachable(reasons)

    async def get_all(self, path: str) -> Answers:
        """Sends the request to all instances concurrently."""
        answers = Answers()
        await asyncio.gather(
            *(
                self._collect(address, path, answers)
                for address in self.addresses
            )
        )
        return answers

    async def _collect(self, address: str, path: str, answers: Answers) -> None:
        try:
            answers.document_by_address[address] = await self.get(address, path)
        except Unreachable as error:
            answers.reason_by_address[address] = str(error)

    async def _request(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> Document:
        try:
            async with self._session.request(
                method, f'http://{address}{path}', data=body
            ) as response:
                status = response.status
                document: Document = json.loads(await response.read())
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = self._error_reason(error)
            raise Unreachable(f'{address}: {reason}') from error
        if status != _HTTP_OK and 'code' in document:
            raise failure_from_problem(address, document)
        return document

    def _error_reason(self, error: Exception) -> str:
        if isinstance(error, TimeoutError):
            return f'no response within {self._timeout.total:g} s'
        if isinstance(error, json.JSONDecodeError):
            return 'the response is not valid JSON'
        number = getattr(getattr(error, 'os_error', error), 'errno', None)
        if number:
            return os.strerror(number)
        return str(error) or type(error).__name__


def none_reachable(reasons: list[str]) -> CommandFailure:
    """Returns the failure of a command whose instances did not answer."""
    return CommandFailure(
        exit_status.UNREACHABLE,
        [
            'No instance can be reached:',
            *(f'  {reason}' for reason in reasons),
            'Check the addresses (--instance, YUCCADALE_INSTANCES) and'
            ' whether yuccadaled runs there.',
        ],
    )
