"""The declaration in force: reading, spreading and submitting it."""

from yuccadale_router._internal.configuration.service import (
    ConfigurationService,
    ConfigurationStatus,
    Standing,
)

__all__ = ['ConfigurationService', 'ConfigurationStatus', 'Standing']
