"""What tells whether an answer belongs to the request that was sent last.

A faulty server may send an answer again, late, where another one is due. The
copy bears the id of its request, or no id.
"""

from dataclasses import dataclass
from enum import StrEnum

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

_log = structlog.get_logger()


class Evidence(StrEnum):
    """What an answer shows of the request that it is for.

    Attributes:
        named: it names the request.
        repeated: it names a request that was refused on the connection, so
            that it may be the copy of the earlier refusal.
        unnamed: it names none, and the connection has had other answers.
        unnamed_first: it names none, and is the connection's first answer.
    """

    named = 'named'
    repeated = 'repeated'
    unnamed = 'unnamed'
    unnamed_first = 'unnamed first'


@dataclass(frozen=True, slots=True)
class Sending:
    """A request that is sent to a server on a connection."""

    request: RoutedRequest
    server: Server
    connection: ClientConnection


def answer_matcher(
    sending: Sending, codec: RequestCodec, metrics: Metrics
) -> AnswerMatcher:
    """Returns the predicate of the codec, which counts other answers."""
    matches = codec.answer_matcher(sending.request.request_id)

    def is_answer(answer: Answer) -> bool:
        if matches(answer):
            return True
        metrics.count('answers_passed_over', service=sending.request.service)
        _log.info(
            'answer to another request passed over',
            status=answer.status,
            **_described(sending),
        )
        return False

    return is_answer


def record_answer(
    sending: Sending, answer: Answer, codec: RequestCodec, metrics: Metrics
) -> None:
    """Records a refusal and what shows that it is the answer."""
    connection = sending.connection
    request_id = sending.request.request_id
    if not codec.not_executed(answer):
        return
    if not codec.names_request(answer):
        unnamed = Evidence.unnamed_first
        evidence = Evidence.unnamed if connection.answers > 1 else unnamed
    elif connection.has_refused(request_id):
        evidence = Evidence.repeated
    else:
        evidence = Evidence.named
    connection.note_refusal(request_id)
    metrics.count(
        'refusals_by_servers',
        service=sending.request.service,
        evidence=evidence,
    )
    _log.info(
        'request refused by a server',
        status=answer.status,
        evidence=evidence,
        **_described(sending),
    )


def _described(sending: Sending) -> dict[str, str | int]:
    return {
        'request': sending.request.request_id,
        'server': sending.server.server_id,
        'connection': sending.connection.number,
        'answers': sending.connection.answers,
    }
