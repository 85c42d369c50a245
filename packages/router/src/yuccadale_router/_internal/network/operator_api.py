"""HTTP API of operators: declarations and the state of this instance."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from urllib.parse import unquote

import msgspec
from expression import Result
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

from yuccadale_core.authority import SignedSubmission
from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import ScopeRevision
from yuccadale_core.refusals import Refusal, problem_document

from yuccadale_router._internal.configuration.service import (
    ConfigurationService,
    ConfigurationState,
)
from yuccadale_router._internal.configuration.submissions import (
    Accepted,
    Rejected,
)

Document = Mapping[str, object]
OwnerAnswer = Result[Document, Refusal]
FindOwner = Callable[[str, str], Awaitable[OwnerAnswer]]

_OK = 200
_UNAVAILABLE = 503
_DRAINING = 'draining'
_DEFAULT_HISTORY_LIMIT = 20
_MAX_HISTORY_LIMIT = 200

_decode_submission = msgspec.json.Decoder(SignedSubmission).decode


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """Sources of the operator API; documents consist of plain JSON values.

    Attributes:
        live_peers: returns the peers that are alive.
        groups: returns one document for each group of this instance.
        find_owner: returns the owner of a key of a service.
        slow_requests: returns the slowest recent requests of a service.
        is_draining: returns whether the instance is shutting down.
    """

    me: InstanceRef
    configuration: ConfigurationService
    counters: Counters
    live_peers: Callable[[], Sequence[InstanceRef]]
    groups: Callable[[], Sequence[Document]]
    find_owner: FindOwner
    slow_requests: Callable[[str], Sequence[Document]]
    is_draining: Callable[[], bool]


def register_operator_api(app: Sanic, services: OperatorServices) -> None:
    """Adds the routes of the operator API to an application."""
    api = _OperatorApi(services)
    app.add_route(api.submit, '/declarations', methods=['POST'], name='submit')
    app.add_route(api.show_declarations, '/declarations', name='declarations')
    app.add_route(api.show_history, '/history', name='history')
    app.add_route(
        api.show_revision, '/revisions/<scope:str>/<number:int>', name='one'
    )
    app.add_route(api.show_status, '/status', name='status')
    app.add_route(api.show_health, '/health', name='health')
    app.add_route(
        api.show_owner, '/owners/<service:str>/<key:path>', name='owners'
    )
    app.add_route(api.show_slow, '/slow/<service:str>', name='slow')
    app.add_route(api.show_counters, '/counters', name='counters')


class _OperatorApi:
    """Request handlers, one per route."""

    def __init__(self, services: OperatorServices) -> None:
        self._services = services
        self._configuration = services.configuration

    async def submit(self, request: Request) -> HTTPResponse:
        try:
            signed = _decode_submission(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            refusal = Refusal(
                ResultCode.declaration_invalid,
                self._services.me.name,
                f'the body is not a signed submission: {error}',
            )
            return _refused(refusal)
        answer = await self._configuration.submit(signed)
        if answer.is_ok():
            return _document(_accepted(answer.ok))
        return _rejected(answer.error)

    async def show_declarations(self, request: Request) -> HTTPResponse:
        return _document(
            {
                'scopes': [
                    _revision_document(revision)
                    for revision in self._configuration.revisions()
                ]
            }
        )

    async def show_history(self, request: Request) -> HTTPResponse:
        limit = _history_limit(request)
        known = [revision.scope for revision in self._configuration.revisions()]
        requested_scope = request.args.get('scope')
        revisions: list[Document] = []
        for scope in [requested_scope] if requested_scope else known:
            history = await self._configuration.history(scope, limit)
            if history.is_error():
                return _refused(history.error)
            revisions.extend(
                _revision_summary(revision) for revision in history.ok
            )
        return _document({'revisions': revisions})

    async def show_revision(
        self, request: Request, scope: str, number: int
    ) -> HTTPResponse:
        revision = await self._configuration.revision(scope, number)
        if revision.is_error():
            return _refused(revision.error)
        return _document(_revision_document(revision.ok))

    async def show_status(self, request: Request) -> HTTPResponse:
        status = self._configuration.status()
        return _document(
            {
                'instance': _instance_document(self._services.me),
                'state': self._state(),
                'revisions': status.revision_by_scope,
                'scopes_behind': status.scopes_behind,
                'confirmed_age_ms': status.confirmed_age_ms,
                'store_reachable': status.store_reachable,
                'reads_store': status.is_reader,
                'peers': [
                    _instance_document(peer)
                    for peer in self._services.live_peers()
                ],
                'groups': list(self._services.groups()),
            }
        )

    async def show_health(self, request: Request) -> HTTPResponse:
        """Answers the load balancer: only a draining instance is unhealthy."""
        state = self._state()
        status = _UNAVAILABLE if state == _DRAINING else _OK
        return _document({'state': state}, status)

    async def show_owner(
        self, request: Request, service: str, key: str
    ) -> HTTPResponse:
        owner = await self._services.find_owner(service, unquote(key))
        if owner.is_error():
            return _refused(owner.error)
        return _document(owner.ok)

    async def show_slow(self, request: Request, service: str) -> HTTPResponse:
        return _document(
            {'requests': list(self._services.slow_requests(service))}
        )

    async def show_counters(self, request: Request) -> HTTPResponse:
        return _document(self._services.counters.snapshot())

    def _state(self) -> str:
        if self._services.is_draining():
            return _DRAINING
        return ConfigurationState(self._configuration.status().state).value


def _history_limit(request: Request) -> int:
    limit = request.args.get('limit', '')
    try:
        return max(1, min(int(limit), _MAX_HISTORY_LIMIT))
    except ValueError:
        return _DEFAULT_HISTORY_LIMIT


def _instance_document(ref: InstanceRef) -> Document:
    return msgspec.structs.asdict(ref)


def _revision_document(revision: ScopeRevision) -> Document:
    return msgspec.structs.asdict(revision)


def _revision_summary(revision: ScopeRevision) -> Document:
    shown = msgspec.structs.asdict(revision)
    shown.pop('text')
    return shown


def _accepted(accepted: Accepted) -> Document:
    return {
        **_revision_summary(accepted.revision),
        'repeated': accepted.repeated,
        'newest_revision': accepted.newest_revision,
    }


def _rejected(rejected: Rejected) -> HTTPResponse:
    extra: dict[str, object] = {
        'errors': [asdict(error) for error in rejected.errors],
        'changes': [asdict(change) for change in rejected.changes],
    }
    if rejected.winner is not None:
        extra['winner'] = _revision_summary(rejected.winner)
    return _refused(rejected.refusal, extra)


def _refused(refusal: Refusal, extra: Document | None = None) -> HTTPResponse:
    return _document(
        {**problem_document(refusal), **(extra or {})},
        refusal.status,
        'application/problem+json',
    )


def _document(
    document: Document,
    status: int = _OK,
    content_type: str = 'application/json',
) -> HTTPResponse:
    return raw(
        msgspec.json.encode(document), status=status, content_type=content_type
    )
