"""The declaration in force: reads, exchange with peers, submissions."""

from yuccadale_router._internal.configuration.service import (
    ConfigurationService,
    ConfigurationStatus,
    ConfigurationState,
)

__all__ = ['ConfigurationService', 'ConfigurationStatus', 'ConfigurationState']
