"""Assembles the components of an entry instance and runs them."""

import asyncio
import gc
import random
import secrets
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import structlog

from yuccadale_core.authority import OperatorKeys
from yuccadale_core.counters import Counters, statsd_sink
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import InstanceRef
from yuccadale_core.peer_keys import PeerKeys
from yuccadale_core.platform_http import HttpPlatform, open_platform
from yuccadale_core.settings import Settings, split_address

from yuccadale_router._internal.clock import monotonic_ms
from yuccadale_router._internal.configuration.service import (
    ConfigurationService,
)
from yuccadale_router._internal.contracts import LeadershipTable
from yuccadale_router._internal.network.caller_api import CallerApi
from yuccadale_router._internal.network.http_app import make_app, serve_app
from yuccadale_router._internal.network.operator_api import (
    OperatorServices,
    register_operator_api,
)
from yuccadale_router._internal.network.peer_links import PeerLinks
from yuccadale_router._internal.network.peer_transport import limit_threads
from yuccadale_router._internal.operator_views import (
    OwnerFinder,
    group_documents,
    slow_documents,
)
from yuccadale_router._internal.ownership.service import OwnershipService
from yuccadale_router._internal.peer_directory import follow_instance_list
from yuccadale_router._internal.placements import Placements
from yuccadale_router._internal.requests.delivery import DispatcherParts
from yuccadale_router._internal.requests.dispatchers import Dispatchers
from yuccadale_router._internal.requests.entry import RequestEntry
from yuccadale_router._internal.target_pool import TargetPool

_log = structlog.get_logger()
_BODY_LIMIT_BYTES = 16 << 20
_INCARNATION_BYTES = 8
_MAINTENANCE_INTERVAL_S = 1.0
# After the health page reports draining, new requests are still accepted for
# this long, until the load balancer has stopped sending them.
_DRAIN_NOTICE_S = 1.0


@dataclass(frozen=True, slots=True)
class Components:
    """The components of one instance."""

    me: InstanceRef
    counters: Counters
    peer_keys: PeerKeys
    operator_keys: OperatorKeys
    leaderships: LeadershipTable
    links: PeerLinks
    targets: TargetPool
    placements: Placements
    dispatchers: Dispatchers
    entry: RequestEntry
    ownership: OwnershipService
    configuration: ConfigurationService
    owner_finder: OwnerFinder
    caller_api: CallerApi


def make_instance_ref(settings: Settings) -> InstanceRef:
    """Returns a reference to this process with a new incarnation."""
    instance = settings.instance
    return InstanceRef(
        name=instance.name,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        data_centre=instance.data_centre,
        rack=instance.rack,
        peer_address=instance.peer_address,
        operator_address=instance.operator_address,
    )


def make_components(settings: Settings, platform: HttpPlatform) -> Components:
    """Makes all components without starting them."""
    me = make_instance_ref(settings)
    statsd = settings.statsd
    counters = Counters(
        statsd_sink(statsd.host, statsd.port) if statsd else None
    )
    peer_keys = PeerKeys(settings.keys.peer_keys)
    operator_keys = OperatorKeys(settings.keys.operator_keys)
    leaderships = LeadershipTable()
    links = PeerLinks(
        me,
        keys=peer_keys,
        leaderships=leaderships,
        counters=counters,
        clock=monotonic_ms,
        message_limit=settings.limits.peer_queue_messages,
        listen_address=settings.instance.peer_listen_address,
    )
    targets = TargetPool(monotonic_ms)
    placements = Placements(monotonic_ms)
    dispatchers = Dispatchers(
        DispatcherParts(
            where=f'leader {me.name}',
            clock=monotonic_ms,
            counters=counters,
            targets=targets,
            random_unit=random.random,
        ),
        placements.of_group,
    )
    entry = RequestEntry(
        me,
        leaderships,
        links,
        counters,
        monotonic_ms,
        dispatchers=dispatchers,
        random_unit=random.random,
        slow_limit=settings.limits.slow_records,
    )
    ownership = OwnershipService(
        me,
        platform.table,
        platform.instances,
        links,
        targets,
        dispatchers,
        placements.of_group,
        leaderships,
        counters,
        monotonic_ms,
    )

    owner_finder = OwnerFinder(me, ownership, leaderships)

    def declaration_changed(declaration: Declaration) -> None:
        owner_finder.declaration_changed(declaration)
        targets.declaration_changed(declaration)
        placements.declaration_changed(declaration)
        entry.declaration_changed(declaration)
        ownership.declaration_changed(declaration)

    configuration = ConfigurationService(
        me,
        platform.table,
        platform.objects,
        links,
        counters,
        monotonic_ms,
        declaration_changed,
        operator_keys=operator_keys,
    )
    links.link_replaced = entry.link_replaced
    links.revision_by_scope = configuration.revision_by_scope
    links.configuration_age_ms = configuration.confirmed_age_ms
    return Components(
        me=me,
        counters=counters,
        peer_keys=peer_keys,
        operator_keys=operator_keys,
        leaderships=leaderships,
        links=links,
        targets=targets,
        placements=placements,
        dispatchers=dispatchers,
        entry=entry,
        ownership=ownership,
        configuration=configuration,
        owner_finder=owner_finder,
        caller_api=CallerApi(f'entry {me.name}', entry.handle, counters),
    )


async def run_daemon(settings: Settings) -> None:
    """Runs an entry instance until SIGTERM or SIGINT, then drains it.

    A failed task ends the process, because an instance without one of its
    components must not appear alive to its peers.
    """
    limit_threads()
    stopping = _stop_signal()
    async with (
        open_platform(
            settings.platform.url, settings.instance.data_centre
        ) as platform,
        asyncio.TaskGroup() as tasks,
    ):
        components = make_components(settings, platform)
        running = [
            tasks.create_task(work)
            for work in (
                components.links.run(),
                follow_instance_list(
                    platform.instances,
                    components.links,
                    components.counters,
                    settings.instance.seed_addresses,
                ),
                _run_maintenance(components),
            )
        ]
        async with _serving(settings, components):
            await components.configuration.start()
            running.append(tasks.create_task(components.ownership.run()))
            _log.info('started', instance=components.me.name)
            await stopping.wait()
            await _drain(components, settings.limits.drain_s)
        for task in running:
            task.cancel()
        await components.configuration.stop()
        await components.targets.close()
    _log.info('stopped', instance=settings.instance.name)


def _freeze_startup_objects() -> None:
    """Excludes modules and classes from later garbage collections.

    A full collection of these about 80,000 objects blocks the event loop for
    about 47 ms (10-core machine of docs/measurements.md).
    """
    gc.collect()
    gc.freeze()


@asynccontextmanager
async def _serving(
    settings: Settings, components: Components
) -> AsyncIterator[None]:
    """Serves callers and operators until the block ends."""
    _freeze_startup_objects()
    caller_app = make_app('yuccadale-callers', _BODY_LIMIT_BYTES)
    components.caller_api.register(caller_app)
    operator_app = make_app('yuccadale-operators', _BODY_LIMIT_BYTES)
    register_operator_api(operator_app, _operator_services(components))
    instance = settings.instance
    caller_host, caller_port = split_address(instance.caller_address)
    operator_host, operator_port = split_address(instance.operator_address)
    async with (
        serve_app(caller_app, caller_host, caller_port),
        serve_app(operator_app, operator_host, operator_port),
    ):
        yield


def _operator_services(components: Components) -> OperatorServices:
    return OperatorServices(
        me=components.me,
        configuration=components.configuration,
        counters=components.counters,
        live_peers=components.links.live_peers,
        groups=lambda: group_documents(components.ownership),
        find_owner=components.owner_finder.find,
        slow_requests=lambda service_name: slow_documents(
            components.entry.slow_requests, service_name
        ),
        is_draining=lambda: components.links.leaving,
    )


async def _drain(components: Components, limit_s: float) -> None:
    """Gives up group roles and waits for pending requests, up to a limit."""
    _log.info('draining', instance=components.me.name)
    components.links.announce_leaving()
    with suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await components.ownership.hand_over()
            await asyncio.sleep(_DRAIN_NOTICE_S)
            components.caller_api.accepting = False
            await components.caller_api.wait_until_answered()


async def _run_maintenance(components: Components) -> None:
    """Reloads changed peer keys and closes idle targets periodically."""
    while True:
        await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
        try:
            if components.peer_keys.reload():
                _log.info('peer keys replaced', instance=components.me.name)
        except (OSError, ValueError) as error:
            components.counters.count('keys.reload_failed')
            _log.warning(
                'reading the peer keys failed; keeping the current keys',
                error=str(error),
            )
        await components.targets.close_idle()


def _stop_signal() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping
