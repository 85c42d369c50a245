"""Validation models of the declaration's sections: keys, ranges, defaults.

The reference page for operators is generated from these models.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Annotated, Any, Literal

import annotated_types
import pydantic
from pydantic.fields import FieldInfo

NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,39}$'
SCOPE_PATTERN = r'^(service\.[a-z0-9][a-z0-9-]{0,39}|places|intent)$'
_INSTANCE_NAMES_PATTERN = '^([a-z0-9][a-z0-9-]*( +[a-z0-9][a-z0-9-]*)*)?$'

# 17,000 servers with 32 slots each need 544,000.
_SLOT_COUNT_LIMIT = 1 << 20
_DAY_MS = 86_400_000

_ALLOWED_BY_PATTERN = MappingProxyType(
    {
        NAME_PATTERN: 'a name of at most 40 of a-z 0-9 -',
        SCOPE_PATTERN: 'service.<name>, places or intent',
        _INSTANCE_NAMES_PATTERN: 'names of instances, separated by spaces',
    }
)

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Capacity = Annotated[
    float, pydantic.Field(ge=0, le=1_000_000, allow_inf_nan=False)
]
Weight = Annotated[
    float, pydantic.Field(ge=0, le=1_000_000, allow_inf_nan=False)
]
Milliseconds = Annotated[
    float, pydantic.Field(gt=0, le=_DAY_MS, allow_inf_nan=False)
]


class SectionModel(pydantic.BaseModel):
    """Base class of all sections."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class DeclarationSection(SectionModel):
    """What the file declares, and for whom."""

    scope: str = pydantic.Field(
        pattern=SCOPE_PATTERN, description='scope that the file declares'
    )
    customer: str = pydantic.Field(
        pattern=NAME_PATTERN,
        description='name of the customer; fixed once in force',
    )


class ServiceSection(SectionModel):
    """Limits of the service's servers and defaults of its requests."""

    slot_count: int = pydantic.Field(
        ge=1,
        le=_SLOT_COUNT_LIMIT,
        description='hash slots, 32 for each server; fixed once in force',
    )
    concurrency: int = pydantic.Field(
        ge=1,
        le=10_000,
        description='concurrent requests that one server accepts',
    )
    connections: int = pydantic.Field(
        ge=1, le=10_000, description='connections that one server accepts'
    )
    checks_grants: bool = pydantic.Field(
        default=True,
        description='whether the servers check grants and fencing tokens',
    )
    groups_per_data_centre: int = pydantic.Field(
        default=1,
        ge=1,
        le=1000,
        description='groups of at most 16 servers in each data centre',
    )
    deadline_ms: Milliseconds = pydantic.Field(
        default=2000, description='deadline of requests without a kind'
    )
    retry_window_s: float = pydantic.Field(
        default=600,
        gt=0,
        le=86_400,
        allow_inf_nan=False,
        description='how long an idempotency key is kept',
    )
    queue_limit: int = pydantic.Field(
        default=200,
        ge=1,
        le=100_000,
        description='limit of requests that wait for one server',
    )
    body_limit_bytes: int = pydantic.Field(
        default=1 << 20,
        ge=0,
        le=64 << 20,
        description="limit of a request's or answer's body size",
    )


class KindSection(SectionModel):
    """A kind of request, named by the header Yuccadale-Kind."""

    repeatable: bool = pydantic.Field(
        description='whether a request may be run more than once'
    )
    priority: int = pydantic.Field(
        ge=1,
        le=3,
        description='1 non-repeatable, 2 availability checks, 3 browsing',
    )
    weight: Weight = pydantic.Field(
        default=1, description='value of one delivered request'
    )
    deadline_ms: Milliseconds = pydantic.Field(
        default=2000, description='deadline if the caller sends none'
    )


class RegionSection(SectionModel):
    """A region; the section has no keys."""


class DataCentreSection(SectionModel):
    """A data centre."""

    region: Name = pydantic.Field(
        description='a declared region; fixed once in force'
    )
    state: Literal['live', 'draining', 'lost'] = pydantic.Field(
        default='live',
        description='lost asserts that all its processes are stopped',
    )


class CapacitySection(pydantic.RootModel[dict[Name, Capacity]]):
    """Capacity of the data centre's servers as a weight, by service."""


class RegionLinkSection(SectionModel):
    """The link between regions."""

    bytes_per_s: float = pydantic.Field(
        default=3_750_000,
        gt=0,
        le=1e12,
        allow_inf_nan=False,
        description='bytes a second in each direction',
    )


class LostInstancesSection(SectionModel):
    """Instances that an operator asserts to be stopped."""

    names: str = pydantic.Field(
        default='',
        pattern=_INSTANCE_NAMES_PATTERN,
        description='names of instances',
    )


class WeightsSection(SectionModel):
    """Relative importance of each measure."""

    imbalance: Weight = pydantic.Field(
        default=1, description='uneven load across servers'
    )
    churn: Weight = pydantic.Field(
        default=1, description='changes of the owners of keys'
    )
    unavailable_time: Weight = pydantic.Field(
        default=1, description='time that a key cannot be served'
    )


@dataclass(frozen=True, slots=True)
class SectionRule:
    """Form and model of a section that a scope may have.

    Attributes:
        name: name of the section, or the part before the dot.
        model: the model of its keys.
        named: whether ``[name.<name>]`` is allowed.
        plain: whether ``[name]`` is allowed.
        required: whether the file must have it.
    """

    name: str
    model: type[pydantic.BaseModel]
    named: bool = False
    plain: bool = True
    required: bool = False

    def matches(self, section_name: str) -> bool:
        """Returns whether the rule applies to the section."""
        base_name, dot, suffix = section_name.partition('.')
        if base_name != self.name:
            return False
        if not dot:
            return self.plain
        return self.named and re.fullmatch(NAME_PATTERN, suffix) is not None

    def titles(self) -> list[str]:
        """Returns the allowed headings, such as ``[kind.<name>]``."""
        titles = [f'[{self.name}]'] if self.plain else []
        return titles + ([f'[{self.name}.<name>]'] if self.named else [])


_DECLARATION_RULE = SectionRule(
    'declaration', DeclarationSection, required=True
)

RULES_BY_SCOPE_KIND: Mapping[str, tuple[SectionRule, ...]] = MappingProxyType(
    {
        'service': (
            _DECLARATION_RULE,
            SectionRule('service', ServiceSection, required=True),
            SectionRule('kind', KindSection, named=True, plain=False),
        ),
        'places': (
            _DECLARATION_RULE,
            SectionRule('region', RegionSection, named=True, plain=False),
            SectionRule(
                'data_centre', DataCentreSection, named=True, plain=False
            ),
            SectionRule('capacity', CapacitySection, named=True, plain=False),
            SectionRule('region_link', RegionLinkSection),
            SectionRule('lost_instances', LostInstancesSection),
        ),
        'intent': (
            _DECLARATION_RULE,
            SectionRule('weights', WeightsSection, named=True),
        ),
    }
)


def describe_allowed(model: type[pydantic.BaseModel], key: str) -> str:
    """Describes the allowed values of a key, derived from the model."""
    if issubclass(model, pydantic.RootModel):
        return 'service = a number from 0 to 1000000'
    field_info = model.model_fields.get(key)
    if field_info is None:
        return ', '.join(model.model_fields) or 'no keys in this section'
    return _describe_field(field_info)


def _describe_field(field_info: FieldInfo) -> str:
    if field_info.annotation is bool:
        return 'yes or no'
    if field_info.annotation is str:
        return _describe_pattern(field_info)
    if field_info.annotation in {int, float}:
        return _describe_range(field_info)
    return ', '.join(field_info.annotation.__args__)  # type: ignore[union-attr]


def _describe_pattern(field_info: FieldInfo) -> str:
    pattern = _find_constraint(field_info, 'pattern')
    return _ALLOWED_BY_PATTERN.get(str(pattern), f'text like {pattern}')


def _describe_range(field_info: FieldInfo) -> str:
    noun = 'a whole number' if field_info.annotation is int else 'a number'
    highest = _find_constraint(field_info, 'le')
    above = _find_constraint(field_info, 'gt')
    if above is None:
        lowest = _find_constraint(field_info, 'ge')
        return f'{noun} from {lowest} to {highest:.15g}'
    return f'{noun} above {above}, at most {highest:.15g}'


def _find_constraint(field_info: FieldInfo, name: str) -> Any:
    for constraint in field_info.metadata:
        if isinstance(constraint, annotated_types.GroupedMetadata):
            continue
        found = getattr(constraint, name, None)
        if found is not None:
            return found
    return None
