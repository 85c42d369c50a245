"""aiohttp sessions that send each request at most once."""

from yuccadale_core._internal.http_attempts import (
    Attempt,
    AttemptLostError,
    single_attempt_session,
)

__all__ = [
    'Attempt',
    'AttemptLostError',
    'single_attempt_session',
]
