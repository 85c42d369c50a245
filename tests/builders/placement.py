"""Builders for placement: candidates, samples and a clock set by hand."""

from yuccadale_router._internal.contracts import (
    Candidate,
    LoadSample,
    ServerState,
)


def server_names(count: int) -> list[str]:
    """Returns ``s00``, ``s01``..."""
    return [f's{index:02d}' for index in range(count)]


def build_candidates(
    count: int,
    *,
    racks: int = 4,
    state_by_name: dict[str, ServerState] | None = None,
    capacity: float = 1,
) -> list[Candidate]:
    """Returns servers ``s00``, ``s01``... over the racks in turn."""
    states = state_by_name or {}
    return [
        Candidate(
            name,
            f'rack{index % racks}',
            states.get(name, ServerState.live),
            capacity,
        )
        for index, name in enumerate(server_names(count))
    ]


def build_sample(
    slot: int,
    server_name: str,
    *,
    key: str = '',
    service_ms: float = 10,
    waited_ms: float = 0,
    refused: bool = False,
) -> LoadSample:
    """Returns one observed request; the key defaults to one per slot."""
    return LoadSample(
        slot, key or f'key{slot}', server_name, service_ms, waited_ms, refused
    )
