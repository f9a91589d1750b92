"""Run a node of the fleet on the platform until SIGTERM."""

import asyncio
import os
import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.metrics import Metrics
from bergamotgap.domain.clock import Clock, SystemClock
from bergamotgap.domain.fleet import Wave
from bergamotgap.platform.documents import (
    OPERATOR_TOPIC,
    STATUS_TOPIC,
    WAVE_PREFIX,
    WORKERS_TOPIC,
    build_documents,
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
from bergamotgap.platform.store import LogStore
from bergamotgap.platform.workers import AdviceServiceClient, WorkerOrderClient
from bergamotgap.pools.fleet_node import FleetNode, FleetPorts
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.gauges import register_gauges
from bergamotgap.pools.order_queue import MAX_UNANSWERED_ORDERS
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import KeyedRecord

# One connection for looks and one for orders, and one for each order that may be under
# way beside one without an answer.
CONNECTIONS_PER_WORKER = 1 + MAX_UNANSWERED_ORDERS
# Between two uses of a connection to a worker, in s; longer than a lull of its work.
KEEP_ALIVE_S = 60
# The platform needs two misses, a second apart, to send no new connections.
OUT_OF_ROTATION_MS = 2500
EXIT_MARGIN_MS = 1500
POLL_MS = 100
# On, with no time to linger: closing resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)

log = get_logger(__name__)


def find_settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


async def run_node(file: SettingsFile) -> None:
    """Serve until SIGTERM, hand over, and return before the platform's SIGKILL."""
    clock = SystemClock()
    settings = build_pool_settings(file)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    async with (
        _open_session(0) as calls,
        _open_session(0, open_resetting_socket) as host_calls,
        _open_session(CONNECTIONS_PER_WORKER) as workers,
    ):
        ports = _build_ports(file, calls, host_calls, workers, clock)
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
            lambda: node.is_ready,
            addresses,
            metrics,
            clock,
        )
        register_gauges(metrics, node, clock)
        async with node, ingress:
            await stop.wait()
            await _drain(node, ingress, settings, clock)


def _note_reload() -> None:
    # What may change while a process runs comes with the configuration.
    log.info("reload", changed=False)


def open_resetting_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a socket whose close drops what was not delivered, also by a kill.

    An order that a cut held up must not arrive after a later holder's.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    return opened


def _open_session(
    per_host: int,
    open_socket: Callable[[tuple[Any, ...]], socket.socket] | None = None,
) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=per_host,
        keepalive_timeout=KEEP_ALIVE_S,
        socket_factory=open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
    )


def _build_ports(
    file: SettingsFile,
    calls: aiohttp.ClientSession,
    host_calls: aiohttp.ClientSession,
    workers: aiohttp.ClientSession,
    clock: Clock,
) -> FleetPorts:
    settings = build_pool_settings(file)
    store = LogStore(calls, file.platform.address, settings.member_ttl_ms)

    async def report_wave(wave: Wave, is_completed: bool) -> None:
        value = encode_wave_status(wave, is_completed)
        record = KeyedRecord(f"{WAVE_PREFIX}{wave.number}", value)
        await store.append(STATUS_TOPIC, 0, [record])

    return FleetPorts(
        store=store,
        orders=WorkerOrderClient(workers),
        machines=MachineServiceClient(host_calls, file.cloud_api.address, file.node),
        fleet_view=FleetView(build_documents(), clock),
        report_wave=report_wave,
        operator_topic=OPERATOR_TOPIC,
        workers_topic=WORKERS_TOPIC,
        advice=AdviceServiceClient(calls, file.advice) if file.advice else None,
    )


async def _drain(
    node: FleetNode, ingress: Ingress, settings: PoolSettings, clock: Clock
) -> None:
    started_ms = clock.monotonic_ms()
    ingress.is_closing = True
    await node.hand_over_pools()
    until_ms = started_ms + settings.shutdown_grace_ms - EXIT_MARGIN_MS
    while clock.monotonic_ms() < until_ms:
        passed_ms = clock.monotonic_ms() - started_ms
        if passed_ms >= OUT_OF_ROTATION_MS and not ingress.requests_in_progress:
            return
        await clock.sleep_ms(POLL_MS)


def load_settings() -> SettingsFile:
    """Read the settings file that the environment names; raises an error of ours."""
    return read_settings_file(find_settings_path())
