"""Checks of a scope against other scopes and its revision in force."""

from collections.abc import Iterable
from dataclasses import dataclass

from yuccadale_core._internal.declaration import (
    IntentScope,
    PlacesScope,
    ScopeDeclaration,
    ServiceScope,
)
from yuccadale_core._internal.declaration_ini import (
    ScopeFile,
    values_by_section,
)
from yuccadale_core._internal.ini_lines import DeclarationError

_LOST = 'lost'
_FIXED_COUNTS = ('slot_count', 'groups_per_data_centre')


@dataclass(frozen=True, slots=True)
class Change:
    """A key whose value changes; an empty text means that it is absent."""

    section: str
    key: str
    old: str
    new: str


def check_across_scopes(
    candidate: ScopeFile, others: Iterable[ScopeDeclaration]
) -> list[DeclarationError]:
    """Checks customer and references of one scope against the others."""
    declaration = candidate.declaration
    other_scopes = [
        scope for scope in others if scope.scope != declaration.scope
    ]
    errors = _check_customer(candidate, other_scopes)
    service_names = {
        scope.service.name
        for scope in other_scopes
        if isinstance(scope, ServiceScope)
    }
    if isinstance(declaration, PlacesScope):
        errors += _check_capacities(candidate, declaration, service_names)
    if isinstance(declaration, IntentScope):
        errors += [
            _unknown_service_error(
                candidate, f'weights.{name}', '', service_names
            )
            for name in declaration.weights_by_service
            if name not in service_names
        ]
    return errors


def check_replacement(
    candidate: ScopeFile,
    in_force: ScopeDeclaration | None,
    *,
    lost_confirmed: bool,
) -> list[DeclarationError]:
    """Checks that the new revision may replace the revision in force.

    Reports changes of fixed values, and data centres or instances that are
    newly declared lost unless ``lost_confirmed``.
    """
    declaration = candidate.declaration
    errors: list[DeclarationError] = []
    if in_force is not None and in_force.customer != declaration.customer:
        errors.append(
            candidate.error_at(
                'declaration',
                'customer',
                declaration.customer,
                f'{in_force.customer}, which is in force and fixed',
            )
        )
    if isinstance(declaration, ServiceScope):
        errors += _check_fixed_counts(candidate, declaration, in_force)
    if isinstance(declaration, PlacesScope):
        before = in_force if isinstance(in_force, PlacesScope) else None
        errors += _check_regions(candidate, declaration, before)
        if not lost_confirmed:
            errors += _check_lost(candidate, declaration, before)
    return errors


def newly_lost(
    declaration: ScopeDeclaration, in_force: ScopeDeclaration | None
) -> list[str]:
    """Returns data centres and instances that are newly declared lost."""
    if not isinstance(declaration, PlacesScope):
        return []
    before = in_force if isinstance(in_force, PlacesScope) else None
    lost_before = _lost_names(before) if before else set()
    return sorted(_lost_names(declaration) - lost_before)


def difference(
    old: ScopeDeclaration | None, new: ScopeDeclaration
) -> list[Change]:
    """Returns the changed keys, defaults included, in the order of the file."""
    old_texts = _flatten(old) if old is not None else {}
    new_texts = _flatten(new)
    paths = [
        *new_texts,
        *(path for path in old_texts if path not in new_texts),
    ]
    return [
        Change(*path, old_texts.get(path, ''), new_texts.get(path, ''))
        for path in paths
        if old_texts.get(path) != new_texts.get(path)
    ]


def _flatten(declaration: ScopeDeclaration) -> dict[tuple[str, str], str]:
    texts: dict[tuple[str, str], str] = {}
    for section, text_by_key in values_by_section(declaration).items():
        if not text_by_key:
            texts[section, ''] = 'declared'
        for key, text in text_by_key.items():
            texts[section, key] = text
    return texts


def _check_customer(
    candidate: ScopeFile, others: list[ScopeDeclaration]
) -> list[DeclarationError]:
    customer = candidate.declaration.customer
    customers = sorted({scope.customer for scope in others})
    if not customers or customer in customers:
        return []
    return [
        candidate.error_at(
            'declaration', 'customer', customer, ', '.join(customers)
        )
    ]


def _check_capacities(
    candidate: ScopeFile, places: PlacesScope, service_names: set[str]
) -> list[DeclarationError]:
    return [
        _unknown_service_error(
            candidate, f'capacity.{centre.name}', service, service_names
        )
        for centre in places.data_centre_by_name.values()
        for service in centre.capacity_by_service
        if service not in service_names
    ]


def _unknown_service_error(
    candidate: ScopeFile, section: str, key: str, service_names: set[str]
) -> DeclarationError:
    found = key or section.partition('.')[-1]
    allowed = ', '.join(sorted(service_names)) or 'a declared service'
    return candidate.error_at(section, key, found, allowed)


def _check_fixed_counts(
    candidate: ScopeFile,
    declaration: ServiceScope,
    in_force: ScopeDeclaration | None,
) -> list[DeclarationError]:
    """Checks the counts that determine a key's slot and group."""
    if not isinstance(in_force, ServiceScope):
        return []
    errors = []
    for key in _FIXED_COUNTS:
        fixed = getattr(in_force.service, key)
        found = getattr(declaration.service, key)
        if found != fixed:
            allowed = f'{fixed}, which is in force and fixed'
            errors.append(
                candidate.error_at('service', key, str(found), allowed)
            )
    return errors


def _check_regions(
    candidate: ScopeFile, places: PlacesScope, before: PlacesScope | None
) -> list[DeclarationError]:
    known = before.data_centre_by_name if before else {}
    return [
        candidate.error_at(
            f'data_centre.{centre.name}',
            'region',
            centre.region,
            f'{known[centre.name].region}, which is in force and fixed',
        )
        for centre in places.data_centre_by_name.values()
        if centre.name in known and known[centre.name].region != centre.region
    ]


def _check_lost(
    candidate: ScopeFile, places: PlacesScope, before: PlacesScope | None
) -> list[DeclarationError]:
    allowed = 'lost only with a confirmation that all processes are stopped'
    errors = []
    for name in newly_lost(places, before):
        if name in places.data_centre_by_name:
            section, key = f'data_centre.{name}', 'state'
        else:
            section, key = 'lost_instances', 'names'
        errors.append(candidate.error_at(section, key, name, allowed))
    return errors


def _lost_names(places: PlacesScope) -> set[str]:
    lost_centres = {
        centre.name
        for centre in places.data_centre_by_name.values()
        if centre.state == _LOST
    }
    return lost_centres | places.lost_instances
