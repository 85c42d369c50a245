"""Public interface for platform adapters."""

from yuccadale_edge._internal.app import Adapter, Instance
from yuccadale_edge._internal.model import (
    KEY_COUNT,
    Bounds,
    CallerLimits,
    Configuration,
    Machine,
    Place,
    Route,
    Server,
    ServerState,
    Service,
    Settings,
    WeightedService,
)
from yuccadale_edge._internal.observability.logs import configure_logs
from yuccadale_edge._internal.ownership.call_runner import (
    GrantRefusedError,
    WrongServerError,
)
from yuccadale_edge._internal.ownership.segments import (
    CALL_TIMEOUT_S,
    CallKind,
    OwnershipCall,
)
from yuccadale_edge._internal.routing.codec import (
    InvalidLimitError,
    InvalidLoadError,
    InvalidPauseError,
    InvalidWarmUpError,
    ServerLoad,
)
from yuccadale_edge._internal.routing.outcome_proofs import refusal_status
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
from yuccadale_edge._internal.store_versions import (
    MAX_ERA,
    MAX_NUMBER,
    era_of,
    number_of,
    store_version,
    version_text,
)
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    InvalidRowError,
)
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerLostError,
    AnswerMatcher,
    ClientConnection,
    Delivery,
    Headers,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import Address, ClientPool
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)

__all__ = (
    'CALL_TIMEOUT_S',
    'CONFIGURATION_TABLE',
    'KEY_COUNT',
    'MAX_ERA',
    'MAX_NUMBER',
    'SERVER_TABLE',
    'Adapter',
    'Address',
    'Answer',
    'AnswerLostError',
    'AnswerMatcher',
    'Bounds',
    'CallKind',
    'CallerLimits',
    'CallerMessage',
    'CallerRequest',
    'ClientConnection',
    'ClientPool',
    'Configuration',
    'Delivery',
    'GrantRefusedError',
    'Headers',
    'HistoryLostError',
    'Instance',
    'InvalidLimitError',
    'InvalidLoadError',
    'InvalidPauseError',
    'InvalidRowError',
    'InvalidWarmUpError',
    'Machine',
    'NotSentError',
    'OwnershipCall',
    'Place',
    'Reply',
    'Route',
    'RoutedRequest',
    'Rows',
    'Server',
    'ServerLoad',
    'ServerState',
    'Service',
    'Settings',
    'Store',
    'StoreOutcomeUnknownError',
    'StoreUnavailableError',
    'StoredRow',
    'WeightedService',
    'WriteConflict',
    'WrongServerError',
    'configure_logs',
    'era_of',
    'number_of',
    'refusal_status',
    'store_version',
    'version_text',
)
