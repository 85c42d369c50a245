"""Work items that callers send, and the check of their answers."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from yuccadale_core.targets_http import REFUSED_HEADER

_OK = 200


@dataclass(frozen=True, slots=True)
class WorkItem:
    """One work item; all attempts send the same request id.

    Attributes:
        number: unique in one run; part of the path.
    """

    number: int
    request_id: str
    service: str
    key: str
    repeatable: bool
    kind: str = ''
    body: bytes = b''

    @property
    def method(self) -> str:
        """GET for repeatable work, POST for the rest."""
        return 'GET' if self.repeatable else 'POST'

    @property
    def path(self) -> str:
        """Path below the service, unique for the item."""
        return f'/work/{self.number}?item={self.number}'

    def headers(self, *, first_sent_ago_ms: float, deadline_ms: float) -> dict:
        """Returns the caller's headers of one attempt."""
        headers = {
            'Yuccadale-Key': self.key,
            'Yuccadale-Deadline-Ms': str(int(deadline_ms)),
        }
        if self.kind:
            headers['Yuccadale-Kind'] = self.kind
        if not self.repeatable:
            headers['Idempotency-Key'] = self.request_id
            headers['Yuccadale-First-Sent-Ago-Ms'] = str(int(first_sent_ago_ms))
        return headers


class AttemptOutcome(StrEnum):
    """Outcome of one attempt as the caller sees it."""

    done = 'done'
    not_run = 'not run'
    unknown = 'unknown'
    # The answer echoes another request or is malformed.
    wrong = 'wrong'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt.

    Attributes:
        code: result code of a refusal, or the caller's error.
    """

    outcome: AttemptOutcome
    code: str = ''
    headers: Mapping[str, str] = field(default_factory=dict)


def check_answer(
    item: WorkItem, status: int, headers: Mapping[str, str], body: bytes
) -> AttemptResult:
    """Checks an answer against its request by the server's echo."""
    code = headers.get('Yuccadale-Code', str(status))
    outcome = headers.get('Yuccadale-Outcome', 'done')
    refused = headers.get(REFUSED_HEADER)
    if refused is not None:
        # A server that is called directly states that nothing ran.
        return AttemptResult(AttemptOutcome.not_run, refused)
    if outcome in {'not run', 'unknown'}:
        return AttemptResult(AttemptOutcome(outcome), code, headers)
    if status != _OK or not _echo_matches(item, body):
        return AttemptResult(AttemptOutcome.wrong, code, headers)
    return AttemptResult(AttemptOutcome.done, headers=headers)


def _echo_matches(item: WorkItem, body: bytes) -> bool:
    try:
        echo = json.loads(body)
    except ValueError:
        return False
    echoed = (
        echo.get('key'),
        echo.get('method'),
        echo.get('body_hash'),
        echo.get('path', '').endswith(item.path),
    )
    expected = (
        item.key,
        item.method,
        xxhash.xxh3_64_hexdigest(item.body),
        True,
    )
    same_id = item.repeatable or echo.get('request_id') == item.request_id
    return echoed == expected and same_id
