"""Validation models of the declaration, for the reference page."""

from yuccadale_core._internal.declaration_models import (
    RULES_BY_SCOPE_KIND,
    SectionRule,
    describe_allowed,
)

__all__ = ['RULES_BY_SCOPE_KIND', 'SectionRule', 'describe_allowed']
