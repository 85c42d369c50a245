"""Formats hops as a Server-Timing header."""

from collections.abc import Iterable

from yuccadale_core.messages import Hop


def format_server_timing(hops: Iterable[Hop]) -> str:
    """Returns entries such as ``queue;dur=1.25;desc="leader lodz-a-1"``."""
    return ', '.join(
        f'{hop.name};dur={hop.duration_ms:.2f};desc="{_quoted(hop.where)}"'
        for hop in hops
    )


def _quoted(text: str) -> str:
    return text.replace('\\', '').replace('"', '')
