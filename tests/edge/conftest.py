"""Runs the asynchronous tests of this folder on both event loops."""

from collections.abc import Mapping

from tests.builders.event_loops import LoopFactory, both_loop_factories


def pytest_asyncio_loop_factories() -> Mapping[str, LoopFactory]:
    """Implements the hook of pytest-asyncio that chooses the loops."""
    return both_loop_factories()
