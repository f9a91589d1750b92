"""The entry host: builds its parts, starts their tasks and stops them in order."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any, Self

import aiohttp
from aiohttp import web

from bergamotgap.adapters.caller_http import CallerApi
from bergamotgap.adapters.job_http import JobApi
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.metrics import (
    Metrics,
    build_request_middleware,
    serve_metrics,
)
from bergamotgap.adapters.operator_http import OperatorApi, OperatorSources
from bergamotgap.adapters.peer_grpc import GrpcPeerClient, PeerServer
from bergamotgap.adapters.platform_http import HttpPlatform
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.catalogue import Catalogue
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.admission import Admission
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.dump import DumpSources, build_dump, list_nodes, read_status
from bergamotgap.node.following import Follower
from bergamotgap.node.gauges import register_fleet_gauges, register_stream_gauges
from bergamotgap.node.membership import Membership, PeerView
from bergamotgap.node.peer_service import PeerService, build_relay
from bergamotgap.node.placement import Placer
from bergamotgap.node.planner import Planner
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.recent_jobs import RecentJobs
from bergamotgap.node.settings import Settings
from bergamotgap.node.snapshots import SnapshotWriter
from bergamotgap.node.streams import Stream
from bergamotgap.node.supervision import supervise
from bergamotgap.node.work_parts import WorkParts
from bergamotgap.node.workers import Workers
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.peer import PeerInfo

CONNECTIONS_PER_WORKER = 64

log = get_logger(__name__)


class Node:
    """Own every part of one entry host process."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = AsyncExitStack()
        self._metrics = Metrics()
        self._stack.callback(self._metrics.close)
        self._tasks: list[asyncio.Task[None]] = []
        self._control = Stream("control", ControlState(), clock)
        self._work = Stream("work", WorkState(), clock)
        self._recent_jobs = RecentJobs(self._work)
        self._info = PeerInfo(
            node_id=settings.node_id,
            incarnation_ms=clock.wall_ms(),
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
            data_centre=settings.data_centre,
        )

    async def __aenter__(self) -> Self:
        """Start serving."""
        pooled = await self._open_session(
            aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_WORKER)
        )
        fresh = await self._open_session(aiohttp.TCPConnector(force_close=True))
        http_platform = HttpPlatform(pooled, self._settings.platform_url)
        self._platform = PlatformHealth(http_platform, self._clock)
        client = HttpWorkerClient(pooled, fresh, self._clock)
        workers = Workers(self._control, client, self._clock)
        admission = Admission(self._clock, workers.pool_capacity, self._list_live_peers)
        await self._join_peers(admission)
        writer = self._build_writer(self._control)
        self._planner = Planner(self._control, writer, http_platform, self._clock)
        placer = Placer(lambda: self._control.state, workers, admission)
        dispatcher = Dispatcher(placer, client, self._clock)
        work_writer = self._build_writer(self._work)
        self._parts = WorkParts(
            self._membership,
            self._control,
            self._work,
            work_writer,
            placer,
            client,
            self._clock,
        )
        self._start("workers", workers.run)
        self._start("planner", self._planner.run)
        await self._stack.enter_async_context(self._parts)
        await self._serve_callers(dispatcher)
        self._register_gauges(writer, work_writer)
        await self._serve_operators(writer, workers, admission)
        log.info("node started", caller_address=self._settings.caller_address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop tasks, then close connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log.info("node stopped")

    async def _join_peers(self, admission: Admission) -> None:
        """Exchange heartbeats with peers and follow the streams."""
        self._peer_client = await self._stack.enter_async_context(GrpcPeerClient())
        streams: dict[str, Stream[Any]] = {
            "control": self._control,
            "work": self._work,
        }
        self._service = PeerService(
            self._info,
            streams,
            self._platform,
            admission.pool_demand,
            admission.owner_demand,
        )
        self._membership = Membership(
            self._info,
            self._settings.peers,
            self._peer_client,
            self._clock,
            self._service.build_digest,
            self._service.note_digest,
        )
        self._service.attach(self._membership)
        await self._stack.enter_async_context(
            PeerServer(self._service, self._settings.peer_address)
        )
        await self._stack.enter_async_context(self._membership)
        self._start("platform probe", self._platform.run)
        self._followers = [
            self._follow(self._control, ControlState.decode),
            self._follow(self._work, WorkState.decode),
        ]

    def _follow(self, stream: Stream[Any], decode: Any) -> Follower[Any]:
        follower = Follower(
            stream,
            decode,
            self._platform,
            self._peer_client,
            self._membership,
            self._clock,
        )
        snapshots = SnapshotWriter(
            stream,
            self._platform,
            self._clock,
            self._settings.snapshot_records,
            self._settings.snapshot_age_ms,
        )
        self._start(f"follow {stream.name}", follower.run)
        self._start(f"snapshot {stream.name}", snapshots.run)
        return follower

    def _build_writer(self, stream: Stream[Any]) -> StreamWriter:
        relay = build_relay(self._membership, self._peer_client)
        return StreamWriter(
            stream, self._platform, self._clock, self._settings.batch_ms, relay
        )

    async def _serve_callers(self, dispatcher: Dispatcher) -> None:
        callers = CallerApi(
            self._get_catalogue, dispatcher, self._parts.requests, self._clock
        )
        jobs = JobApi(
            self._get_catalogue,
            self._parts.jobs,
            self._parts.results,
            self._settings.max_job_body_bytes,
        )
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[build_request_middleware(self._metrics)],
        )
        callers.add_routes(app)
        jobs.add_routes(app)
        await self._serve(app, self._settings.caller_address)

    async def _serve_operators(
        self, writer: StreamWriter, workers: Workers, admission: Admission
    ) -> None:
        sources = DumpSources(
            clock=self._clock,
            control=self._control,
            followers=self._followers,
            membership=self._membership,
            platform=self._platform,
            workers=workers,
            admission=admission,
            is_ready=self.is_ready,
            describe_work=self._describe_work,
        )
        self._dump_sources = sources
        operators = OperatorApi(
            OperatorSources(
                control=self._control,
                writer=writer,
                clock=self._clock,
                dump=self.dump,
                is_ready=self.is_ready,
                list_nodes=lambda: list_nodes(sources),
                read_status=lambda host: read_status(workers, host),
                list_jobs=self._recent_jobs.describe,
            )
        )
        app = operators.build_app()
        app.router.add_get("/metrics", serve_metrics)
        await self._serve(app, self._settings.operator_address)

    def _get_catalogue(self) -> Catalogue | None:
        return self._control.state.catalogue

    def _describe_work(self) -> dict[str, int]:
        return {"jobs_owned": self._parts.jobs.owned, **self._work.state.counts}

    def _register_gauges(self, control: StreamWriter, work: StreamWriter) -> None:
        register_stream_gauges(
            self._metrics,
            (self._control, self._work),
            [("control", control), ("work", work)],
        )
        register_fleet_gauges(
            self._metrics,
            self._control,
            self._membership,
            self._platform,
            self._service,
            self.is_ready,
        )

    def _list_live_peers(self) -> list[PeerView]:
        return self._membership.list_live()

    def _start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervise(name, run), name=name))

    async def _open_session(
        self, connector: aiohttp.TCPConnector
    ) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        return await self._stack.enter_async_context(session)

    async def _serve(self, app: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=self._settings.shutdown_ms / 1000,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, int(port)).start()

    def is_ready(self) -> bool:
        """Return whether the node has up-to-date state and can serve."""
        return (
            self._control.state.catalogue is not None
            and all(follower.is_caught_up for follower in self._followers)
            and self._control.halt_reason is None
            and self._work.halt_reason is None
            and not self._membership.is_leaving
        )

    def dump(self) -> dict[str, Any]:
        """Return what this process believes and how old each belief is."""
        return build_dump(self._dump_sources)
