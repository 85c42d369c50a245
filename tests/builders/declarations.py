"""Builders and hypothesis strategies for declarations."""

from pathlib import Path

from hypothesis import strategies

from yuccadale_core.declaration import (
    DataCentre,
    IntentScope,
    Kind,
    PlacesScope,
    ScopeDeclaration,
    Service,
    ServiceScope,
    Weights,
)

EXAMPLES = Path(__file__).parents[2] / 'examples'

_names = strategies.from_regex('[a-z0-9][a-z0-9-]{0,8}', fullmatch=True)
_weights = strategies.floats(min_value=0, max_value=1_000_000)
_milliseconds = strategies.floats(
    min_value=0, max_value=86_400_000, exclude_min=True
)


def service_text(
    name: str = 'ledger', *, slot_count: int = 768, concurrency: int = 2
) -> str:
    """Returns the text of a scope with one small service."""
    return (
        f'[declaration]\nscope = service.{name}\ncustomer = klatka\n'
        f'[service]\nslot_count = {slot_count}\n'
        f'concurrency = {concurrency}\nconnections = 120\n'
    )


def places_text(state: str = 'live', service: str = 'ledger') -> str:
    """Returns the text of a scope with one region and one data centre."""
    return (
        '[declaration]\nscope = places\ncustomer = klatka\n'
        '[region.pl-central]\n[data_centre.lodz-a]\nregion = pl-central\n'
        f'state = {state}\n[capacity.lodz-a]\n{service} = 6\n'
    )


def intent_text(churn: int = 1) -> str:
    """Returns the text of an intent scope with one weight."""
    return (
        '[declaration]\nscope = intent\ncustomer = klatka\n'
        f'[weights]\nchurn = {churn}\n'
    )


def example_texts(customer: str) -> dict[str, str]:
    """Returns the committed example files of a customer by file name."""
    return {
        path.name: path.read_text(encoding='utf-8')
        for path in sorted((EXAMPLES / customer).glob('*.ini'))
    }


def _kinds() -> strategies.SearchStrategy[dict[str, Kind]]:
    return strategies.lists(
        strategies.builds(
            Kind,
            name=_names,
            repeatable=strategies.booleans(),
            priority=strategies.integers(1, 3),
            weight=_weights,
            deadline_ms=_milliseconds,
        ),
        max_size=4,
    ).map(lambda kinds: {kind.name: kind for kind in kinds})


def _services() -> strategies.SearchStrategy[Service]:
    return strategies.builds(
        Service,
        name=_names,
        slot_count=strategies.integers(1, 1 << 20),
        concurrency=strategies.integers(1, 10_000),
        connections=strategies.integers(1, 10_000),
        checks_grants=strategies.booleans(),
        deadline_ms=_milliseconds,
        kind_by_name=_kinds(),
    )


@strategies.composite
def _places(draw: strategies.DrawFn) -> PlacesScope:
    regions = sorted(draw(strategies.sets(_names, min_size=1, max_size=3)))
    centres = strategies.builds(
        DataCentre,
        name=_names,
        region=strategies.sampled_from(regions),
        state=strategies.sampled_from(['live', 'draining', 'lost']),
        capacity_by_service=strategies.dictionaries(
            _names, _weights, max_size=3
        ),
    )
    return PlacesScope(
        customer=draw(_names),
        region_names=tuple(regions),
        data_centre_by_name={
            centre.name: centre
            for centre in draw(strategies.lists(centres, max_size=5))
        },
        region_link_bytes_per_s=draw(strategies.floats(1, 1e12)),
        lost_instances=frozenset(draw(strategies.sets(_names, max_size=3))),
    )


def _all_weights() -> strategies.SearchStrategy[Weights]:
    return strategies.builds(
        Weights, imbalance=_weights, churn=_weights, unavailable_time=_weights
    )


def scopes() -> strategies.SearchStrategy[ScopeDeclaration]:
    """Returns a strategy for valid scopes of all kinds."""
    return strategies.one_of(
        strategies.builds(ServiceScope, customer=_names, service=_services()),
        _places(),
        strategies.builds(
            IntentScope,
            customer=_names,
            weights=_all_weights(),
            weights_by_service=strategies.dictionaries(
                _names, _all_weights(), max_size=2
            ),
        ),
    )


def _lines() -> strategies.SearchStrategy[str]:
    known = ''.join(example_texts('klatka').values()).splitlines()
    values = strategies.text(max_size=8) | strategies.sampled_from(
        ['-1', 'nan', '1e999', '9' * 5000, 'yes', 'places', 'service.']
    )
    keys = strategies.sampled_from(
        sorted({line.split(' ')[0] for line in known if line}) + ['scope']
    )
    return strategies.one_of(
        strategies.sampled_from(known),
        strategies.builds('{} = {}'.format, keys, values),
        strategies.text(max_size=20),
    )


def texts() -> strategies.SearchStrategy[str]:
    """Returns a strategy for arbitrary and almost valid declarations."""
    return strategies.text() | strategies.lists(_lines(), max_size=25).map(
        '\n'.join
    )
