"""Parses and formats declarations: one INI file for each scope."""

from dataclasses import dataclass
from typing import Any

import pydantic
from expression import Result

from yuccadale_core._internal import declaration_models as models
from yuccadale_core._internal.declaration import (
    DataCentre,
    IntentScope,
    Kind,
    PlacesScope,
    ScopeDeclaration,
    Service,
    ServiceScope,
    Weights,
)
from yuccadale_core._internal.ini_lines import (
    DeclarationError,
    Entry,
    IniText,
    Section,
    scan_ini,
)

_DECLARATION = 'declaration'
_WEIGHTS = 'weights'

ValuesBySection = dict[str, dict[str, str]]


@dataclass(frozen=True, slots=True)
class ScopeFile:
    """A parsed scope with the line numbers of its sections and keys."""

    declaration: ScopeDeclaration
    ini_text: IniText

    def error_at(
        self, section: str, key: str, found: str, allowed: str
    ) -> DeclarationError:
        """Returns an error at the line of a section or key."""
        return DeclarationError(
            self.ini_text.file,
            self.ini_text.line_of(section, key),
            section,
            key,
            found,
            allowed,
        )


class _Sections:
    """Validated sections of one file."""

    def __init__(self, ini_text: IniText) -> None:
        self._ini_text = ini_text
        self._model_by_section: dict[str, Any] = {}

    def check(self, rules: tuple[models.SectionRule, ...]) -> None:
        """Validates every section; adds errors to the INI text."""
        for section in self._ini_text.section_by_name.values():
            rule = _find_rule(rules, section.name)
            if rule is None:
                titles = [title for one in rules for title in one.titles()]
                self._ini_text.add_error(
                    section.name, '', f'[{section.name}]', ', '.join(titles)
                )
            else:
                self._validate(section, rule.model)
        self._check_required(rules)

    def one(self, name: str) -> Any:
        """Returns the model of a section, or None."""
        return self._model_by_section.get(name)

    def named(self, prefix: str) -> dict[str, Any]:
        """Returns the models of ``[prefix.<name>]``, sorted by name."""
        start = f'{prefix}.'
        return {
            section[len(start) :]: self._model_by_section[section]
            for section in sorted(self._model_by_section)
            if section.startswith(start)
        }

    def _check_required(self, rules: tuple[models.SectionRule, ...]) -> None:
        for rule in rules:
            present = rule.name in self._ini_text.section_by_name
            if rule.required and not present:
                self._ini_text.add_error(rule.name, '', '', f'[{rule.name}]')

    def _validate(
        self, section: Section, model: type[pydantic.BaseModel]
    ) -> None:
        try:
            self._model_by_section[section.name] = model.model_validate(
                section.values()
            )
        except pydantic.ValidationError as error:
            for problem in error.errors(include_url=False):
                self._add_validation_error(section, model, problem)

    def _add_validation_error(
        self,
        section: Section,
        model: type[pydantic.BaseModel],
        problem: Any,
    ) -> None:
        key = str(problem['loc'][0]) if problem['loc'] else ''
        entry = section.entry_by_key.get(key, Entry('', section.line))
        known = _is_root_model(model) or key in model.model_fields
        found = entry.text if known else key
        self._ini_text.add_error(
            section.name, key, found, models.describe_allowed(model, key)
        )


def _is_root_model(model: type[pydantic.BaseModel]) -> bool:
    return issubclass(model, pydantic.RootModel)


def _find_rule(
    rules: tuple[models.SectionRule, ...], section_name: str
) -> models.SectionRule | None:
    for rule in rules:
        if rule.matches(section_name):
            return rule
    return None


def read_scope(
    text: str, file_name: str
) -> Result[ScopeFile, list[DeclarationError]]:
    """Parses one scope; returns the scope, or all errors of the text."""
    ini_text = scan_ini(text, file_name)
    sections = _Sections(ini_text)
    kind = _scope_kind(ini_text)
    rules = models.RULES_BY_SCOPE_KIND.get(kind)
    if rules:
        sections.check(rules)
    elif ini_text.section_by_name or not ini_text.errors:
        _check_declaration_section(ini_text)
    if kind == 'places':
        _check_places(ini_text)
    if ini_text.errors:
        return Result.Error(sorted(ini_text.errors, key=_line_of_error))
    return Result.Ok(ScopeFile(_build_scope(kind, sections), ini_text))


def write_scope(declaration: ScopeDeclaration) -> str:
    """Formats a scope as INI text; parsing it returns an equal scope."""
    lines: list[str] = []
    for section, text_by_key in values_by_section(declaration).items():
        lines.append(f'[{section}]')
        lines.extend(f'{key} = {text}' for key, text in text_by_key.items())
        lines.append('')
    return '\n'.join(lines)


def values_by_section(declaration: ScopeDeclaration) -> ValuesBySection:
    """Returns all values, defaults included, as text by section and key."""
    header = {'scope': declaration.scope, 'customer': declaration.customer}
    if isinstance(declaration, ServiceScope):
        body = _service_sections(declaration.service)
    elif isinstance(declaration, PlacesScope):
        body = _places_sections(declaration)
    else:
        body = _intent_sections(declaration)
    return {_DECLARATION: header, **body}


def _line_of_error(error: DeclarationError) -> int:
    return error.line


def _scope_kind(ini_text: IniText) -> str:
    """Returns ``service``, ``places``, ``intent`` or an unknown scope."""
    header = ini_text.section_by_name.get(_DECLARATION)
    if header is None or 'scope' not in header.entry_by_key:
        return ''
    scope = header.entry_by_key['scope'].text
    prefix, dot, _ = scope.partition('.')
    return prefix if dot == ('.' if prefix == 'service' else '') else scope


def _check_declaration_section(ini_text: IniText) -> None:
    """Checks only ``[declaration]``: without a scope no rules apply."""
    header = ini_text.section_by_name.get(_DECLARATION)
    if header is None:
        ini_text.add_error(_DECLARATION, '', '', f'[{_DECLARATION}]')
        return
    declaration_only = IniText(
        ini_text.file, {_DECLARATION: header}, ini_text.errors
    )
    _Sections(declaration_only).check(models.RULES_BY_SCOPE_KIND['intent'][:1])


def _check_places(ini_text: IniText) -> None:
    """Checks references within the file, also of sections with errors."""
    regions = _names_below(ini_text, 'region.')
    data_centres = _names_below(ini_text, 'data_centre.')
    for name in data_centres:
        section = f'data_centre.{name}'
        entry = ini_text.section_by_name[section].entry_by_key.get('region')
        if entry is not None and entry.text not in regions:
            ini_text.add_error(
                section,
                'region',
                entry.text,
                ', '.join(regions) or 'a declared region',
            )
    for name in _names_below(ini_text, 'capacity.'):
        if name not in data_centres:
            ini_text.add_error(
                f'capacity.{name}',
                '',
                name,
                ', '.join(data_centres) or 'a declared data centre',
            )


def _names_below(ini_text: IniText, prefix: str) -> list[str]:
    return [
        name.removeprefix(prefix)
        for name in ini_text.section_by_name
        if name.startswith(prefix)
    ]


def _build_scope(kind: str, sections: _Sections) -> ScopeDeclaration:
    header = sections.one(_DECLARATION)
    if kind == 'service':
        name = header.scope.partition('.')[-1]
        return ServiceScope(header.customer, _service(name, sections))
    if kind == 'places':
        return _places(header.customer, sections)
    return IntentScope(
        header.customer,
        _weights(sections.one(_WEIGHTS) or models.WeightsSection()),
        {
            name: _weights(section)
            for name, section in sections.named(_WEIGHTS).items()
        },
    )


def _service(name: str, sections: _Sections) -> Service:
    kind_by_name = {
        kind_name: Kind(name=kind_name, **section.model_dump())
        for kind_name, section in sections.named('kind').items()
    }
    limits = sections.one('service').model_dump()
    return Service(name=name, kind_by_name=kind_by_name, **limits)


def _places(customer: str, sections: _Sections) -> PlacesScope:
    capacities = sections.named('capacity')
    data_centre_by_name = {
        name: DataCentre(
            name=name,
            region=section.region,
            state=section.state,
            capacity_by_service=(
                capacities[name].root if name in capacities else {}
            ),
        )
        for name, section in sections.named('data_centre').items()
    }
    link = sections.one('region_link') or models.RegionLinkSection()
    lost = sections.one('lost_instances') or models.LostInstancesSection()
    return PlacesScope(
        customer=customer,
        region_names=tuple(sections.named('region')),
        data_centre_by_name=data_centre_by_name,
        region_link_bytes_per_s=link.bytes_per_s,
        lost_instances=frozenset(lost.names.split()),
    )


def _weights(section: models.WeightsSection) -> Weights:
    return Weights(**section.model_dump())


def _service_sections(service: Service) -> ValuesBySection:
    sections = {'service': _format_fields(models.ServiceSection, service)}
    for name, kind in sorted(service.kind_by_name.items()):
        sections[f'kind.{name}'] = _format_fields(models.KindSection, kind)
    return sections


def _places_sections(places: PlacesScope) -> ValuesBySection:
    sections: ValuesBySection = {
        f'region.{name}': {} for name in places.region_names
    }
    for name, centre in sorted(places.data_centre_by_name.items()):
        sections[f'data_centre.{name}'] = _format_fields(
            models.DataCentreSection, centre
        )
        if centre.capacity_by_service:
            sections[f'capacity.{name}'] = {
                service: _format_value(capacity)
                for service, capacity in centre.capacity_by_service.items()
            }
    sections['region_link'] = {
        'bytes_per_s': _format_value(places.region_link_bytes_per_s)
    }
    if places.lost_instances:
        sections['lost_instances'] = {
            'names': ' '.join(sorted(places.lost_instances))
        }
    return sections


def _intent_sections(intent: IntentScope) -> ValuesBySection:
    sections = {_WEIGHTS: _format_fields(models.WeightsSection, intent.weights)}
    for name, weights in sorted(intent.weights_by_service.items()):
        sections[f'{_WEIGHTS}.{name}'] = _format_fields(
            models.WeightsSection, weights
        )
    return sections


def _format_fields(
    model: type[pydantic.BaseModel], source: object
) -> dict[str, str]:
    return {
        key: _format_value(getattr(source, key)) for key in model.model_fields
    }


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
