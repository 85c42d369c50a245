"""Connections that do not carry a request that was refused on them.

A server may send a refusal again. Its copy bears the id of the request, so it
would look like the answer to a later attempt of that request on the same
connection. aiohttp returns a connection for reuse before its caller sees the
answer and has no choice among idle connections, so the requests and responses
themselves note and check refusals.
"""

from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from yuccadale_core._internal.http_attempts import PermissionCheckedRequest

REFUSED_HEADER = 'Yuccadale-Refused'
REQUEST_ID_HEADER = 'Yuccadale-Request-Id'

# A connection that has refused as many requests is not used again, so that it
# need not forget any.
_MAX_REFUSED_IDS = 64

_refused_ids_by_connection: WeakKeyDictionary[ResponseHandler, set[str]] = (
    WeakKeyDictionary()
)


class RefusedHereError(aiohttp.ClientError):
    """The request was not sent: its connection had a refusal of it."""


class RefusalCheckedRequest(PermissionCheckedRequest):
    """Is not sent on a connection on which it was refused."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes the request.

        Raises:
            RefusedHereError: the connection had a refusal of it; it is closed.
            NotPermittedError: the permission to send has ended.
        """
        protocol = conn.protocol
        assert protocol is not None
        refused_ids = _refused_ids_by_connection.get(protocol, ())
        if self.headers.get(REQUEST_ID_HEADER) in refused_ids:
            raise RefusedHereError(
                'the connection had a refusal of the request'
            )
        return await super().send(conn)


class RefusalNotingResponse(aiohttp.ClientResponse):
    """Notes on its connection that the request was refused."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        protocol = connection.protocol
        assert protocol is not None
        await super().start(connection)
        if REFUSED_HEADER in self.headers:
            # The connection may be idle again, but no other task has run.
            self._note_refusal(protocol)
        return self

    def _note_refusal(self, protocol: ResponseHandler) -> None:
        refused_ids = _refused_ids_by_connection.setdefault(protocol, set())
        refused_ids.add(self.request_info.headers.get(REQUEST_ID_HEADER, ''))
        names_request = REQUEST_ID_HEADER in self.headers
        if not names_request or len(refused_ids) >= _MAX_REFUSED_IDS:
            self._end_after_answer(protocol)

    def _end_after_answer(self, protocol: ResponseHandler) -> None:
        protocol.force_close()
        if self.connection is None:
            protocol.close()
