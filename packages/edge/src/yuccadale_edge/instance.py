"""What an adapter to a platform uses of this package."""

from yuccadale_edge._internal.app import Instance, Adapter
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    InvalidRowError,
)
from yuccadale_edge._internal.model import (
    Bounds,
    CallerLimits,
    Configuration,
    WeightedService,
    Place,
    Route,
    Server,
    ServerState,
    Service,
    Settings,
)
from yuccadale_edge._internal.observability.logs import configure_logs
from yuccadale_edge._internal.ownership.call_runner import (
    GrantRefusedError,
    WrongServerError,
)
from yuccadale_edge._internal.ownership.segments import CallKind, OwnershipCall
from yuccadale_edge._internal.routing.requests import (
    CallerRequest,
    RoutedRequest,
)
from yuccadale_edge._internal.store import (
    HistoryLostError,
    Rows,
    Store,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerLostError,
    Headers,
    NotSentError,
    AnswerMatcher,
)
from yuccadale_edge._internal.transport.client_pool import Address, ClientPool
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)

__all__ = (
    'CONFIGURATION_TABLE',
    'SERVER_TABLE',
    'Address',
    'Answer',
    'AnswerLostError',
    'InvalidRowError',
    'Bounds',
    'CallKind',
    'CallerLimits',
    'CallerMessage',
    'CallerRequest',
    'ClientPool',
    'Configuration',
    'GrantRefusedError',
    'Headers',
    'HistoryLostError',
    'Instance',
    'NotSentError',
    'WrongServerError',
    'OwnershipCall',
    'WeightedService',
    'Adapter',
    'Place',
    'AnswerMatcher',
    'Reply',
    'Route',
    'Rows',
    'Server',
    'ServerState',
    'Service',
    'Settings',
    'Store',
    'StoreOutcomeUnknownError',
    'StoreUnavailableError',
    'StoredRow',
    'RoutedRequest',
    'WriteConflict',
    'configure_logs',
)
