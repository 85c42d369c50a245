"""Declarations are parsed completely or refused with all of their errors."""

import pytest
from hypothesis import given, settings

from tests.builders.declarations import (
    example_texts,
    places_text,
    scopes,
    service_text,
    texts,
)
from yuccadale_core.declaration import (
    ScopeDeclaration,
    ServiceScope,
    assemble,
)
from yuccadale_core.declaration_ini import (
    DeclarationError,
    ScopeFile,
    check_replacement,
    check_across_scopes,
    difference,
    read_scope,
    write_scope,
)

_FUZZ = settings(max_examples=300, derandomize=True, deadline=None)


def _read(text: str) -> ScopeFile:
    scope_file = read_scope(text, 'file.ini')
    assert scope_file.is_ok(), scope_file.error
    return scope_file.ok


@given(texts())
@_FUZZ
def test_any_text_gives_a_scope_or_errors(text: str) -> None:
    """Guards against an exception and against a refusal without a reason."""
    scope_file = read_scope(text, 'file.ini')
    if scope_file.is_error():
        assert scope_file.error
        assert all(error.allowed for error in scope_file.error)
        assert all(str(error).isascii() for error in scope_file.error)
    else:
        assert _read(write_scope(scope_file.ok.declaration)).declaration == (
            scope_file.ok.declaration
        )


@given(scopes())
@_FUZZ
def test_written_scope_reads_back_equal(scope: ScopeDeclaration) -> None:
    """Guards against a value that is lost or changed by formatting."""
    assert _read(write_scope(scope)).declaration == scope


def test_all_errors_are_reported_with_their_lines() -> None:
    """Guards against parsing that stops at the first error."""
    text = (
        'stray\n[declaration]\nscope = places\ncustomer = klatka\n'
        '[region.north]\n[data_centre.a]\nregion = south\nstate = dead\n'
        '[data_centre.a]\n[capacity.b]\nledger = -1\n[link]\n'
    )
    errors = read_scope(text, 'p.ini').error
    assert [(error.line, error.section, error.key) for error in errors] == [
        (1, '', ''),
        (7, 'data_centre.a', 'region'),
        (8, 'data_centre.a', 'state'),
        (9, 'data_centre.a', ''),
        (10, 'capacity.b', ''),
        (11, 'capacity.b', 'ledger'),
        (12, 'link', ''),
    ]
    assert errors[1] == DeclarationError(
        'p.ini', 7, 'data_centre.a', 'region', 'south', 'north'
    )
    assert errors[2].allowed == 'live, draining, lost'


@pytest.mark.parametrize('customer', ['klatka', 'escoadouro'])
def test_examples_pass_all_checks(customer: str) -> None:
    """Guards against example files that an instance would refuse."""
    files = [_read(text) for text in example_texts(customer).values()]
    declarations = [scope_file.declaration for scope_file in files]
    for scope_file in files:
        assert not check_across_scopes(scope_file, declarations)
    together = assemble(declarations, {})
    servers_by_service = {
        service: sum(
            centre.capacity_by_service[service]
            for centre in together.data_centre_by_name.values()
        )
        for service in together.service_by_name
    }
    assert sorted(servers_by_service.values()) == [8, 24]
    for name, service in together.service_by_name.items():
        assert service.slot_count == 32 * servers_by_service[name]


def test_capacity_of_an_unknown_service_is_refused() -> None:
    """Guards against a misspelt service name in another scope's file."""
    candidate = _read(places_text(service='legder'))
    others = [_read(service_text()).declaration]
    errors = check_across_scopes(candidate, others)
    assert [(error.line, error.found, error.allowed) for error in errors] == [
        (9, 'legder', 'ledger')
    ]


def test_slot_count_in_force_cannot_change() -> None:
    """Guards against a changed slot count, which would change keys' owners."""
    in_force = _read(service_text()).declaration
    candidate = _read(service_text(slot_count=512))
    errors = check_replacement(candidate, in_force, lost_confirmed=False)
    assert [(error.line, error.key, error.found) for error in errors] == [
        (5, 'slot_count', '512')
    ]


def test_group_count_in_force_cannot_change() -> None:
    """Guards against servers that get requests from two groups' leaders."""
    in_force = _read(service_text()).declaration
    text = service_text().replace(
        'slot_count', 'groups_per_data_centre = 2\nslot_count', 1
    )
    errors = check_replacement(_read(text), in_force, lost_confirmed=False)
    assert [(error.key, error.found) for error in errors] == [
        ('groups_per_data_centre', '2')
    ]


def test_lost_needs_a_confirmation() -> None:
    """Guards against a second owner if the data centre is still running."""
    in_force = _read(places_text()).declaration
    candidate = _read(places_text(state='lost'))
    errors = check_replacement(candidate, in_force, lost_confirmed=False)
    assert [(error.section, error.key) for error in errors] == [
        ('data_centre.lodz-a', 'state')
    ]
    assert not check_replacement(candidate, in_force, lost_confirmed=True)
    assert not check_replacement(
        candidate, candidate.declaration, lost_confirmed=False
    )


def test_difference_names_changed_keys_only() -> None:
    """Guards against missing or additional changes in a difference."""
    old = _read(service_text()).declaration
    new = _read(service_text(concurrency=3)).declaration
    changes = [
        (change.section, change.key, change.old, change.new)
        for change in difference(old, new)
    ]
    assert changes == [('service', 'concurrency', '2', '3')]


def test_scopes_assemble_in_any_order() -> None:
    """Guards against a result that depends on the order of the scopes."""
    files = [_read(text) for text in example_texts('klatka').values()]
    declarations = [scope_file.declaration for scope_file in files]
    forwards = assemble(declarations, {'places': 1})
    assert forwards == assemble(reversed(declarations), {'places': 1})
    only_places = [
        scope for scope in declarations if not isinstance(scope, ServiceScope)
    ]
    assert not assemble(only_places, {}).service_by_name
