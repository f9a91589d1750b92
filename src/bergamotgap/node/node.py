"""The entry host: builds its components, starts their tasks, stops them in order."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from typing import Any, Self

import aiohttp
from aiohttp import web
from aiomisc import cancel_tasks

from bergamotgap.adapters.caller_http import (
    CallerApi,
    build_gate_middleware,
    build_room_middleware,
)
from bergamotgap.adapters.client_gauges import register_client_gauges
from bergamotgap.adapters.client_guard import ClientGuard
from bergamotgap.adapters.client_listener import ClientListener
from bergamotgap.adapters.job_http import JobApi
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.machine_limits import find_descriptors
from bergamotgap.adapters.metrics import (
    Metrics,
    build_request_middleware,
    serve_metrics,
)
from bergamotgap.adapters.operator_http import MAX_BODY_BYTES, OperatorApi
from bergamotgap.adapters.platform_http import HttpPlatformClient
from bergamotgap.adapters.worker_connections import WorkerConnections, open_session
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.catalogue import Catalogue
from bergamotgap.domain.client_limits import ClientLimits, divide_memory
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.work_memory import limit_tail
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.dump import DumpSources, build_dump, build_operator_sources
from bergamotgap.node.gauges import register_fleet_gauges, register_stream_gauges
from bergamotgap.node.host_health import HostList
from bergamotgap.node.planner import Planner
from bergamotgap.node.request_components import RequestComponents
from bergamotgap.node.settings import Settings
from bergamotgap.node.shutdown import RequestGate, shut_down
from bergamotgap.node.stream_components import StreamComponents
from bergamotgap.node.supervision import supervise
from bergamotgap.node.work_components import WorkComponents
from bergamotgap.node.workers import Workers
from bergamotgap.node.writer import StreamWriter

# Connections that a worker accepts from all entry hosts together. Each entry host
# reserves one of its share for status requests.
CONNECTIONS_PER_WORKER = 64
MIN_TASK_CONNECTIONS = 4
# Limit over all workers for the unpooled connections that query tasks whose answer was
# lost.
MAX_FRESH_CONNECTIONS = 512
# Requests were given `shutdown_ms` to finish before the listeners close; this bounds
# the wait for the remaining ones.
CLOSE_TIMEOUT_S = 1.0
# Limit for a whole body, in idle timeouts.
BODY_IDLE_TIMES = 4

log = get_logger(__name__)


class Node:
    """All components of one entry host process, as a context manager."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics = Metrics()
        self._stack.callback(self._metrics.close)
        self._gate = RequestGate()
        self._client_guard = self._build_client_guard()
        register_client_gauges(self._metrics, self._client_guard)

    async def __aenter__(self) -> Self:
        """Start all components, then listen to callers and operators."""
        pooled = await self._stack.enter_async_context(open_session(0))
        platform = HttpPlatformClient(pooled, self._settings.platform_url)
        client = await self._open_worker_client(pooled)
        job_bytes = self._client_guard.budget.job_bytes
        tail_bytes = limit_tail(job_bytes)
        self._streams = StreamComponents(
            self._settings,
            platform,
            lambda: requests.admission.pool_demand(),
            lambda: requests.admission.owner_demand(),
            lambda pool, count: requests.preempt(pool, count),
            self._clock,
            tail_bytes,
        )
        requests = RequestComponents(self._settings, self._streams, client, self._clock)
        await self._stack.enter_async_context(self._streams)
        await self._stack.enter_async_context(requests)
        writers = {
            stream.name: self._streams.build_writer(stream)
            for stream in (self._streams.control, self._streams.work)
        }
        self._start_planner(platform, writers["control"], client, requests.workers)
        self._work = WorkComponents(
            self._streams.membership,
            self._streams.control,
            self._streams.work,
            writers["work"],
            requests.placer,
            client,
            self._clock,
            job_bytes - tail_bytes,
        )
        await self._stack.enter_async_context(self._work)
        await self._stack.enter_async_context(self._client_guard)
        await self._serve_callers(requests.dispatcher)
        self._register_gauges(writers)
        self._dump_sources = DumpSources(
            clock=self._clock,
            streams=self._streams,
            workers=requests.workers,
            admission=requests.admission,
            work=self._work,
            is_ready=self.is_ready,
        )
        await self._serve_operators(writers["control"])
        log.info("node started", caller_address=self._settings.caller_address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Let requests finish, stop the tasks, then close connections."""
        await shut_down(
            self._gate,
            self._streams.membership.announce_leaving,
            self._work.hand_over,
            self._clock,
            self._settings.shutdown_ms,
        )
        await cancel_tasks(self._tasks)
        await self._stack.aclose()
        log.info("node stopped")

    def _start_planner(
        self,
        platform: HttpPlatformClient,
        writer: StreamWriter,
        client: HttpWorkerClient,
        workers: Workers,
    ) -> None:
        host_list = HostList(platform, self._clock, workers.record_listing)
        planner = Planner(
            self._streams.control,
            writer,
            host_list,
            client,
            workers.view,
            self._streams.sum_pool_demand,
            lambda: host_list.is_fresh and self._streams.is_planner(),
            self._clock,
        )
        self._start_task("host list", host_list.run)
        self._start_task("planner", planner.run)

    async def _serve_callers(self, dispatcher: Dispatcher) -> None:
        callers = CallerApi(
            self._get_catalogue, dispatcher, self._work.requests, self._clock
        )
        jobs = JobApi(
            self._get_catalogue,
            self._work.jobs,
            self._work.results,
            self._settings.max_job_body_bytes,
        )
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[
                build_request_middleware(self._metrics),
                build_gate_middleware(self._gate),
                build_room_middleware(self._client_guard.has_room),
            ],
        )
        callers.add_routes(app)
        jobs.add_routes(app)
        await self._serve_app(app, self._settings.caller_address)

    def _build_client_guard(self) -> ClientGuard:
        settings = self._settings
        body_bytes = max(
            settings.max_body_bytes,
            settings.max_job_body_bytes * 2,
            MAX_BODY_BYTES,
        )
        limits = ClientLimits(
            settings.max_head_bytes,
            body_bytes,
            settings.head_timeout_ms,
            settings.idle_timeout_ms,
            settings.idle_timeout_ms * BODY_IDLE_TIMES,
        )
        budget = divide_memory(settings.memory_mb, find_descriptors())
        return ClientGuard(budget, lambda: limits, self._clock)

    async def _serve_operators(self, writer: StreamWriter) -> None:
        sources = build_operator_sources(self._dump_sources, writer)
        app = OperatorApi(sources).build_app()
        app.router.add_get("/metrics", serve_metrics)
        await self._serve_app(app, self._settings.operator_address)

    def _get_catalogue(self) -> Catalogue | None:
        return self._streams.control.state.catalogue

    def _register_gauges(self, writers: Mapping[str, StreamWriter]) -> None:
        streams = self._streams
        register_stream_gauges(
            self._metrics, (streams.control, streams.work), list(writers.items())
        )
        register_fleet_gauges(
            self._metrics,
            streams.control,
            streams.membership,
            streams.platform,
            streams.peer_service,
            self.is_ready,
        )

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervise(name, run), name=name))

    async def _open_worker_client(
        self, pooled: aiohttp.ClientSession
    ) -> HttpWorkerClient:
        fresh = await self._stack.enter_async_context(
            open_session(MAX_FRESH_CONNECTIONS, keep_alive=False)
        )
        share = CONNECTIONS_PER_WORKER // (len(self._settings.peers) + 1)
        connections = WorkerConnections(max(MIN_TASK_CONNECTIONS, share - 1))
        client = HttpWorkerClient(pooled, fresh, self._clock, connections)
        self._stack.push_async_callback(client.close)
        return client

    async def _serve_app(self, app: web.Application, address: str) -> None:
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        listener = ClientListener(runner, address, self._client_guard)
        await self._stack.enter_async_context(listener)

    def is_ready(self) -> bool:
        """Return whether the node has an up-to-date state and can serve."""
        return (
            self._get_catalogue() is not None
            and self._streams.is_up_to_date
            and not self._streams.membership.is_leaving
            and not self._gate.is_leaving
        )

    def dump(self) -> dict[str, Any]:
        """Return the state dump: this process's current view and its age."""
        return build_dump(self._dump_sources)
