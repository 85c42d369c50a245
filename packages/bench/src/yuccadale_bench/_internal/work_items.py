"""Pieces of work that callers send, and what an answer must look like."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from yuccadale_core.targets_http import REFUSED_HEADER

_OK = 200


@dataclass(frozen=True, slots=True)
class WorkItem:
    """One piece of work; every attempt at it carries the same id.

    Attributes:
        number: unique in one run; also part of the path.
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
    """What one attempt told the caller."""

    done = 'done'
    not_run = 'not run'
    unknown = 'unknown'
    # The answer belongs to another request or is damaged.
    wrong = 'wrong'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    Attributes:
        code: result code of a refusal, or what failed in the caller.
    """

    outcome: AttemptOutcome
    code: str = ''
    headers: Mapping[str, str] = field(default_factory=dict)


def judge_answer(
    item: WorkItem, status: int, headers: Mapping[str, str], body: bytes
) -> AttemptResult:
    """Checks an answer against its own request by the server's echo."""
    code = headers.get('Yuccadale-Code', str(status))
    outcome = headers.get('Yuccadale-Outcome', 'done')
    refused = headers.get(REFUSED_HEADER)
    if refused is not None:
        # A server that is asked directly states that nothing ran.
        return AttemptResult(AttemptOutcome.not_run, refused)
    if outcome in {'not run', 'unknown'}:
        return AttemptResult(AttemptOutcome(outcome), code, headers)
    if status != _OK or not _echoes(item, body):
        return AttemptResult(AttemptOutcome.wrong, code, headers)
    return AttemptResult(AttemptOutcome.done, headers=headers)


def _echoes(item: WorkItem, body: bytes) -> bool:
    try:
        echo = json.loads(body)
    except ValueError:
        return False
    told = (
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
    return told == expected and same_id
