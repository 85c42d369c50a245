"""Numbered result codes of answers, counters and the reference page."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from types import MappingProxyType


class Outcome(StrEnum):
    """Whether a request was run, as far as the answering instance knows."""

    done = 'done'
    not_run = 'not run'
    unknown = 'unknown'


class ResultCode(IntEnum):
    """Result codes; the thousands digit names the part that answered."""

    done = 0

    key_missing = 1001
    service_unknown = 1002
    idempotency_key_missing = 1003
    header_invalid = 1004
    body_too_large = 1005
    kind_unknown = 1006

    owner_unreachable = 2001
    leader_unknown = 2002
    not_leader = 2003
    lease_ended = 2004
    slot_not_ready = 2005
    slot_moving = 2006
    no_declaration = 2007
    slot_not_ours = 2008
    declaration_outdated = 2009

    queue_full = 3001
    deadline_too_short = 3002
    deadline_passed = 3003
    key_share_exceeded = 3004
    server_shedding = 3005
    server_draining = 3006
    retry_budget_spent = 3007
    region_budget_spent = 3008
    caller_gone = 3009
    instance_draining = 3010
    server_limited = 3011
    server_paused = 3012
    bodies_full = 3013
    region_not_allowed = 3014

    server_refused_token = 4001
    server_unreachable = 4002
    answer_lost = 4003
    answer_malformed = 4004
    tenure_too_short = 4005
    request_id_too_old = 4006
    request_id_reused = 4007
    link_lost = 4008
    peer_queue_full = 4009
    server_failed = 4010

    declaration_invalid = 5001
    base_revision_outdated = 5002
    revision_unknown = 5003
    submission_outcome_unknown = 5004

    platform_unavailable = 6001
    instance_failed = 6002

    not_authorised = 7001


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """One row of the code table.

    Attributes:
        status: HTTP status of an answer with this code.
        outcome: whether the request was run.
        meaning: one sentence that describes the refusal.
        advice: what the caller or operator can do next.
    """

    status: int
    outcome: Outcome
    meaning: str
    advice: str


_NOT_RUN = Outcome.not_run
_UNKNOWN = Outcome.unknown
_SEND_AGAIN = 'Send the request again after Retry-After.'
_ASK_SAME_ID = 'Ask again with the same Idempotency-Key; do not use a new one.'

CODE_TABLE: Mapping[ResultCode, CodeEntry] = MappingProxyType(
    {
        ResultCode.done: CodeEntry(
            200, Outcome.done, 'The server answered.', 'Nothing.'
        ),
        ResultCode.key_missing: CodeEntry(
            400,
            _NOT_RUN,
            'The request has no Yuccadale-Key header.',
            'Send the key that the request is about.',
        ),
        ResultCode.service_unknown: CodeEntry(
            404,
            _NOT_RUN,
            'No declared service has this name.',
            'Check the first part of the path.',
        ),
        ResultCode.idempotency_key_missing: CodeEntry(
            400,
            _NOT_RUN,
            'A non-repeatable request needs an Idempotency-Key header.',
            'Send a unique id for each piece of work.',
        ),
        ResultCode.header_invalid: CodeEntry(
            400,
            _NOT_RUN,
            'A request header has a value that is not allowed.',
            'Correct the header that the detail names.',
        ),
        ResultCode.body_too_large: CodeEntry(
            413,
            _NOT_RUN,
            'The body is above the limit.',
            'Send a smaller body.',
        ),
        ResultCode.kind_unknown: CodeEntry(
            400,
            _NOT_RUN,
            'The service declares no kind with this name.',
            'Use a declared kind or leave the header out.',
        ),
        ResultCode.owner_unreachable: CodeEntry(
            503,
            _NOT_RUN,
            'The instance that sends to the owner cannot be reached.',
            'Send again after Retry-After, or through another data centre.',
        ),
        ResultCode.leader_unknown: CodeEntry(
            503,
            _NOT_RUN,
            'No instance is known to lead the group.',
            _SEND_AGAIN,
        ),
        ResultCode.not_leader: CodeEntry(
            503,
            _NOT_RUN,
            'The instance that was asked does not lead the group any more.',
            _SEND_AGAIN,
        ),
        ResultCode.lease_ended: CodeEntry(
            503, _NOT_RUN, "The leader's lease has ended.", _SEND_AGAIN
        ),
        ResultCode.slot_not_ready: CodeEntry(
            503, _NOT_RUN, 'No server may serve the slot yet.', _SEND_AGAIN
        ),
        ResultCode.slot_moving: CodeEntry(
            503, _NOT_RUN, 'The slot moves to another server.', _SEND_AGAIN
        ),
        ResultCode.no_declaration: CodeEntry(
            503,
            _NOT_RUN,
            'This instance has no declaration yet.',
            'Submit a declaration, or wait until the instance has caught up.',
        ),
        ResultCode.slot_not_ours: CodeEntry(
            503, _NOT_RUN, 'The group does not own the slot yet.', _SEND_AGAIN
        ),
        ResultCode.declaration_outdated: CodeEntry(
            503,
            _NOT_RUN,
            'A newer declaration may have another route for the request.',
            _SEND_AGAIN,
        ),
        ResultCode.queue_full: CodeEntry(
            429, _NOT_RUN, "The server's queue is full.", _SEND_AGAIN
        ),
        ResultCode.deadline_too_short: CodeEntry(
            504,
            _NOT_RUN,
            'The deadline cannot be met with the present queue.',
            'Send again later or with a longer deadline.',
        ),
        ResultCode.deadline_passed: CodeEntry(
            504,
            _NOT_RUN,
            'The deadline passed before the work ran.',
            _SEND_AGAIN,
        ),
        ResultCode.key_share_exceeded: CodeEntry(
            429,
            _NOT_RUN,
            'The key uses more than its fair share of the server.',
            _SEND_AGAIN,
        ),
        ResultCode.server_shedding: CodeEntry(
            503, _NOT_RUN, 'The server sheds load.', _SEND_AGAIN
        ),
        ResultCode.server_draining: CodeEntry(
            503, _NOT_RUN, 'The server is leaving.', _SEND_AGAIN
        ),
        ResultCode.retry_budget_spent: CodeEntry(
            503, _NOT_RUN, 'The retry budget is spent.', _SEND_AGAIN
        ),
        ResultCode.region_budget_spent: CodeEntry(
            503,
            _NOT_RUN,
            'The link between regions has no room for this priority.',
            _SEND_AGAIN,
        ),
        ResultCode.caller_gone: CodeEntry(
            499,
            _NOT_RUN,
            'The caller went away before the work ran.',
            'Nothing.',
        ),
        ResultCode.instance_draining: CodeEntry(
            503,
            _NOT_RUN,
            'The instance is shutting down.',
            'Send again; the balancer picks another instance.',
        ),
        ResultCode.server_limited: CodeEntry(
            429,
            _NOT_RUN,
            'The server limits the requests a second that it takes.',
            _SEND_AGAIN,
        ),
        ResultCode.server_paused: CodeEntry(
            503,
            _NOT_RUN,
            'The server has asked for no requests until Retry-After.',
            _SEND_AGAIN,
        ),
        ResultCode.bodies_full: CodeEntry(
            503,
            _NOT_RUN,
            'An instance has no room for the body of the request.',
            _SEND_AGAIN,
        ),
        ResultCode.region_not_allowed: CodeEntry(
            503,
            _NOT_RUN,
            'The server is in a region that the route does not allow.',
            _SEND_AGAIN,
        ),
        ResultCode.server_refused_token: CodeEntry(
            503,
            _NOT_RUN,
            'The server refused the token of the sender.',
            _SEND_AGAIN,
        ),
        ResultCode.server_unreachable: CodeEntry(
            503,
            _NOT_RUN,
            'No connection to the server could be made.',
            _SEND_AGAIN,
        ),
        ResultCode.answer_lost: CodeEntry(
            502,
            _UNKNOWN,
            'The request was sent and no complete answer came back.',
            _ASK_SAME_ID,
        ),
        ResultCode.answer_malformed: CodeEntry(
            502, _UNKNOWN, "The server's answer was not complete.", _ASK_SAME_ID
        ),
        ResultCode.tenure_too_short: CodeEntry(
            503,
            _UNKNOWN,
            'An earlier leader may have run this id and its records are lost.',
            'Check the work itself, or send Yuccadale-First-Sent-Ago-Ms.',
        ),
        ResultCode.request_id_too_old: CodeEntry(
            409,
            _UNKNOWN,
            'The id was first sent longer ago than ids are remembered.',
            'Check the work itself before sending it under a new id.',
        ),
        ResultCode.request_id_reused: CodeEntry(
            422,
            _NOT_RUN,
            'The id was used for another request.',
            'Use a new id for each piece of work.',
        ),
        ResultCode.link_lost: CodeEntry(
            502,
            _UNKNOWN,
            'The link to the leader was lost after the request was sent.',
            _ASK_SAME_ID,
        ),
        ResultCode.peer_queue_full: CodeEntry(
            503, _NOT_RUN, 'The queue to the leader is full.', _SEND_AGAIN
        ),
        ResultCode.server_failed: CodeEntry(
            502,
            _UNKNOWN,
            'The server refused without stating that the work did not run.',
            'Check the work itself before sending it again.',
        ),
        ResultCode.declaration_invalid: CodeEntry(
            422,
            _NOT_RUN,
            'The declaration has errors; nothing was applied.',
            'Correct the errors that are listed.',
        ),
        ResultCode.base_revision_outdated: CodeEntry(
            409,
            _NOT_RUN,
            'Another submission came first; nothing was applied.',
            'Read the difference and submit again on the new revision.',
        ),
        ResultCode.revision_unknown: CodeEntry(
            404, _NOT_RUN, 'There is no such revision.', 'See the history.'
        ),
        ResultCode.submission_outcome_unknown: CodeEntry(
            502,
            _UNKNOWN,
            'The table did not say whether the submission was committed.',
            'Submit again with the same submission id.',
        ),
        ResultCode.platform_unavailable: CodeEntry(
            503,
            _NOT_RUN,
            "The platform's service does not answer.",
            'Wait until the platform is back; what is in force stays so.',
        ),
        ResultCode.instance_failed: CodeEntry(
            500,
            _UNKNOWN,
            'An instance failed unexpectedly; the work may have run.',
            "Look for 'unexpected error' in the logs of the instance.",
        ),
        ResultCode.not_authorised: CodeEntry(
            403,
            _NOT_RUN,
            'The signature does not belong to a known key.',
            'Use a key that the settings of the instance name.',
        ),
    }
)
