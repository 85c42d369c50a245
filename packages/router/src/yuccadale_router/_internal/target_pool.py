"""Pool of targets, one per server process."""

from dataclasses import dataclass

from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import ServerRef
from yuccadale_core.targets import Target
from yuccadale_core.targets_http import HttpTarget, target_factory

from yuccadale_router._internal.clock import Clock

_UNDECLARED_CONNECTIONS = 4
_UNDECLARED_BODY_BYTES = 1 << 20
# Targets unused for this long are closed.
_IDLE_MS = 60_000


@dataclass(slots=True)
class _PooledTarget:
    target: HttpTarget
    last_used_ms: float


class TargetPool:
    """Implements ``TargetFactory``.

    Control calls and requests share one target per server, so that together
    they stay within the declared number of connections.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._declaration = Declaration()
        self._pooled_by_address: dict[str, _PooledTarget] = {}

    def __call__(self, server: ServerRef) -> Target:
        """Returns the target of a server, which counts as a use of it."""
        pooled = self._pooled_by_address.get(server.address)
        if pooled is None:
            pooled = _PooledTarget(self._make(server), self._clock())
            self._pooled_by_address[server.address] = pooled
        pooled.last_used_ms = self._clock()
        return pooled.target

    def declaration_changed(self, declaration: Declaration) -> None:
        """Uses the declared limits for targets made later."""
        self._declaration = declaration

    async def close_idle(self) -> None:
        """Closes the targets that have been idle for too long."""
        now = self._clock()
        for address, pooled in list(self._pooled_by_address.items()):
            if now - pooled.last_used_ms > _IDLE_MS:
                self._pooled_by_address.pop(address)
                await pooled.target.close()

    async def close(self) -> None:
        """Closes all targets."""
        for pooled in self._pooled_by_address.values():
            await pooled.target.close()
        self._pooled_by_address.clear()

    def _make(self, server: ServerRef) -> HttpTarget:
        service = self._declaration.service_by_name.get(server.service)
        if service is None:
            factory = target_factory(
                connections=_UNDECLARED_CONNECTIONS,
                body_limit_bytes=_UNDECLARED_BODY_BYTES,
            )
        else:
            factory = target_factory(
                connections=service.connections,
                body_limit_bytes=service.body_limit_bytes,
            )
        return factory(server)
