"""Build a fleet node from the platform's settings file and run it until SIGTERM."""

import asyncio
import os
import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from bergamotgap.adapters.client_gauges import register_client_gauges
from bergamotgap.adapters.life_connector import LifeConnector
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.metrics import Metrics
from bergamotgap.domain.clock import Clock, SystemClock
from bergamotgap.domain.fleet import Wave
from bergamotgap.platform.documents import (
    OPERATOR_TOPIC,
    STATUS_TOPIC,
    WAVE_PREFIX,
    WORKERS_TOPIC,
    build_document_format,
    encode_wave_status,
)
from bergamotgap.platform.ingress import Ingress
from bergamotgap.platform.machines import MachineServiceClient
from bergamotgap.platform.settings import (
    SETTINGS_VARIABLE,
    SettingsFile,
    build_pool_settings,
    read_settings_file,
)
from bergamotgap.platform.store import StoreClient
from bergamotgap.platform.workers import AdviceServiceClient, WorkerOrderClient
from bergamotgap.pools.fleet_node import FleetNode, FleetPorts
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.gauges import register_gauges
from bergamotgap.pools.order_queue import MAX_UNANSWERED_ORDERS
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import KeyedRecord

# One connection for polls, one for orders, and one for each further order that may be
# sent while earlier ones are unanswered. MAX_UNANSWERED_ORDERS counts all the orders.
CONNECTIONS_PER_WORKER = 1 + MAX_UNANSWERED_ORDERS
# How long an unused connection to a worker is kept: longer than pauses in its work.
KEEP_ALIVE_S = 60
# The platform stops sending new connections after two failed readiness checks, which
# are one second apart.
OUT_OF_ROTATION_MS = 2500
# The node stops waiting for requests this long before the platform's SIGKILL.
EXIT_MARGIN_MS = 1500
POLL_INTERVAL_MS = 100
# SO_LINGER enabled with a timeout of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

log = get_logger(__name__)


def find_settings_path() -> Path:
    """Return the path of the settings file, as given in the environment."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


async def run_node(settings_file: SettingsFile) -> None:
    """Serve until SIGTERM, hand over pools and return before the platform's SIGKILL."""
    clock = SystemClock()
    settings = build_pool_settings(settings_file)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _handle_reload_signal)
    async with (
        _open_session() as platform_session,
        _open_session(open_resetting_socket) as machine_session,
        _build_session(
            LifeConnector(CONNECTIONS_PER_WORKER, KEEP_ALIVE_S)
        ) as worker_session,
    ):
        ports = _build_ports(
            settings_file, platform_session, machine_session, worker_session, clock
        )
        node = FleetNode(settings, ports, clock)
        metrics = Metrics()
        addresses = (
            settings.caller_address,
            settings.ready_address,
            settings.metrics_address,
        )
        ingress = Ingress(
            node.requests,
            lambda: node.fleet_view.config,
            lambda: node.is_config_current,
            lambda: node.is_ready,
            addresses,
            metrics,
            clock,
            settings.client_budget,
            settings.record_limits,
        )
        register_gauges(metrics, node, clock)
        register_client_gauges(metrics, ingress.client_guard)
        async with node, ingress:
            await stop.wait()
            await _shut_down(node, ingress, settings, clock)


def _handle_reload_signal() -> None:
    # The settings file is read only at the start. What may change while the process
    # runs arrives with the configuration in the log.
    log.info("reload signal ignored", changed=False)


def open_resetting_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a socket that discards undelivered data on close or when killed.

    An order delayed by a network partition must not arrive after an order of a later
    host controller.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened


def _open_session(
    open_socket: Callable[[tuple[Any, ...]], socket.socket] | None = None,
) -> aiohttp.ClientSession:
    # A limit of 0 means no limit.
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEP_ALIVE_S, socket_factory=open_socket
    )
    return _build_session(connector)


def _build_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
    )


def _build_ports(
    settings_file: SettingsFile,
    platform_session: aiohttp.ClientSession,
    machine_session: aiohttp.ClientSession,
    worker_session: aiohttp.ClientSession,
    clock: Clock,
) -> FleetPorts:
    settings = build_pool_settings(settings_file)
    store = StoreClient(
        platform_session, settings_file.platform.address, settings.member_ttl_ms
    )

    async def report_wave(wave: Wave, is_completed: bool) -> None:
        value = encode_wave_status(wave, is_completed)
        record = KeyedRecord(f"{WAVE_PREFIX}{wave.number}", value)
        await store.append(STATUS_TOPIC, 0, [record])

    return FleetPorts(
        store=store,
        orders=WorkerOrderClient(worker_session),
        machines=MachineServiceClient(
            machine_session, settings_file.cloud_api.address, settings_file.node
        ),
        fleet_view=FleetView(build_document_format(), clock),
        report_wave=report_wave,
        operator_topic=OPERATOR_TOPIC,
        workers_topic=WORKERS_TOPIC,
        advice=(
            AdviceServiceClient(platform_session, settings_file.advice)
            if settings_file.advice
            else None
        ),
    )


async def _shut_down(
    node: FleetNode, ingress: Ingress, settings: PoolSettings, clock: Clock
) -> None:
    started_ms = clock.monotonic_ms()
    ingress.is_closing = True
    await node.hand_over_pools()
    deadline_ms = started_ms + settings.shutdown_grace_ms - EXIT_MARGIN_MS
    while clock.monotonic_ms() < deadline_ms:
        elapsed_ms = clock.monotonic_ms() - started_ms
        if elapsed_ms >= OUT_OF_ROTATION_MS and not ingress.requests_in_progress:
            return
        await clock.sleep_ms(POLL_INTERVAL_MS)


def load_settings() -> SettingsFile:
    """Read the settings file named by the environment; raises PlatformSettingsError."""
    return read_settings_file(find_settings_path())
