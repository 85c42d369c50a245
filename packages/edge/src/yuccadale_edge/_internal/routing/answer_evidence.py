"""What tells whether an answer belongs to the request that was sent last.

A faulty server may send an answer again, late, where another one is due. The
copy bears the id of its request, or no id.
"""

from dataclasses import dataclass

import structlog

from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerMatcher,
    ClientConnection,
)

# Callers may send a request again after an answer with this status or above.
_FIRST_ERROR = 400

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Sending:
    """A request that is sent to a server on a connection."""

    request: RoutedRequest
    server: Server
    connection: ClientConnection


def answer_matcher(
    sending: Sending, codec: RequestCodec, metrics: Metrics
) -> AnswerMatcher:
    """Returns the predicate for the answer to a request; counts others."""

    def is_answer(answer: Answer) -> bool:
        named = codec.named_request(answer)
        if _belongs(answer, named, sending, codec):
            return True
        metrics.count('answers_passed_over', service=sending.request.service)
        _log.info(
            'answer to another request passed over',
            status=answer.status,
            named=named,
            failed_before=named is not None
            and sending.connection.has_failed(named),
            **_described(sending),
        )
        return False

    return is_answer


def _belongs(
    answer: Answer, named: str | None, sending: Sending, codec: RequestCodec
) -> bool:
    """Whether an answer can only be the one to the request.

    A refusal may lack the request's id. Behind other answers it may be the copy
    of an earlier one.
    """
    if named is None:
        return codec.not_executed(answer) and sending.connection.answers == 1
    return named == sending.request.request_id


def record_answer(
    sending: Sending, answer: Answer, codec: RequestCodec, metrics: Metrics
) -> None:
    """Records on its connection what an answer shows.

    Earlier calls were handled, or the request was refused or failed.
    """
    connection = sending.connection
    named = codec.named_request(answer) is not None
    if named:
        # The id was not refused on this connection before.
        connection.prove_deliveries()
    else:
        # Its copy would look like the answer to the next request.
        connection.close()
    if not codec.not_executed(answer):
        if answer.status >= _FIRST_ERROR:
            connection.note_failure(sending.request.request_id)
        return
    connection.note_failure(sending.request.request_id)
    metrics.count(
        'refusals_by_servers',
        service=sending.request.service,
        named=str(named).lower(),
    )
    _log.info(
        'request refused by a server',
        status=answer.status,
        named=named,
        **_described(sending),
    )


def _described(sending: Sending) -> dict[str, str | int]:
    return {
        'request': sending.request.request_id,
        'server': sending.server.server_id,
        'connection': sending.connection.number,
        'answers': sending.connection.answers,
    }
