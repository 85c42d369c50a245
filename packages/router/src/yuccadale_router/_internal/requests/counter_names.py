"""Names of the request path's counters, as the operators' page lists them."""

from collections.abc import Mapping
from types import MappingProxyType

from yuccadale_core.codes import ResultCode

REQUESTS = 'request.received'
DONE = 'request.done'
SERVED_LOCALLY = 'request.served_locally'
HELD = 'request.held'
REDIRECTED = 'request.redirected'
REPLAYED = 'request.replayed'
WAITED_FOR_SAME_ID = 'request.waited_for_same_id'
REQUEUED = 'request.requeued'
FORWARDED = 'forward.sent'
FORWARD_RECEIVED = 'forward.received'
FORWARD_DUPLICATE = 'forward.duplicate'
FORWARD_CANCELLED = 'forward.cancelled'
FORWARD_INCOMPLETE = 'forward.incomplete'
ANSWER_LATE = 'answer.late'
ANSWER_WRONG_PEER = 'answer.wrong_peer'
ANSWER_WRONG_INCARNATION = 'answer.wrong_incarnation'
ANSWER_WRONG_LENGTH = 'answer.wrong_length'
PIECE_UNEXPECTED = 'piece.unexpected'
OUTCOME_ASKED = 'outcome.asked'
OUTCOME_RESOLVED = 'outcome.resolved'
RETRY_DENIED = 'retry.denied'
ANSWER_NOT_SENT = 'answer.not_sent'
CANCEL_UNCONFIRMED = 'cancel.unconfirmed'
REGION_BYTES_PREFIX = 'region_bytes'

REFUSAL_BY_CODE: Mapping[ResultCode, str] = MappingProxyType(
    {code: f'refusal.{code.name}' for code in ResultCode}
)
RETRY_BY_CODE: Mapping[ResultCode, str] = MappingProxyType(
    {code: f'retry.{code.name}' for code in ResultCode}
)

MEANING_BY_NAME: Mapping[str, str] = MappingProxyType(
    {
        REQUESTS: 'Requests that callers sent to this instance.',
        DONE: 'Requests of callers that a server answered.',
        SERVED_LOCALLY: 'Requests for which this instance was the leader.',
        HELD: 'Requests that waited here for a reachable leader.',
        REPLAYED: 'Answers taken from the record of an earlier request.',
        WAITED_FOR_SAME_ID: 'Requests that waited for another with their id.',
        REQUEUED: 'Requests queued again because nothing was sent.',
        FORWARDED: 'Requests sent to the leader of their group.',
        FORWARD_RECEIVED: 'Requests that arrived here from other instances.',
        FORWARD_DUPLICATE: 'Forwards dropped because they came twice.',
        FORWARD_CANCELLED: 'Forwards given up because the caller went away.',
        FORWARD_INCOMPLETE: 'Forwards dropped because body pieces were lost.',
        ANSWER_LATE: 'Answers dropped because nobody waited for them.',
        ANSWER_WRONG_PEER: 'Answers dropped because another peer was asked.',
        ANSWER_WRONG_INCARNATION: (
            'Answers dropped because an earlier process had asked.'
        ),
        ANSWER_WRONG_LENGTH: 'Answers whose body had the wrong length.',
        PIECE_UNEXPECTED: 'Body pieces dropped because they fitted nothing.',
        OUTCOME_ASKED: 'Questions to a server about the outcome of an id.',
        OUTCOME_RESOLVED: 'Such questions that led to a certain outcome.',
        ANSWER_NOT_SENT: 'Answers lost because the queue to the peer was full.',
        CANCEL_UNCONFIRMED: 'Cancellations that a server did not confirm.',
        RETRY_DENIED: 'Retries not made because the budget was spent.',
    }
)
