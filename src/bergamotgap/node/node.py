"""The entry host: builds its parts, starts their tasks and stops them in order."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any, Self

import aiohttp
from aiohttp import web

from bergamotgap.adapters.caller_http import CallerApi
from bergamotgap.adapters.job_http import JobApi
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.operator_http import OperatorApi
from bergamotgap.adapters.platform_http import HttpPlatform
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.admission import Admission
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.membership import Membership, PeerView
from bergamotgap.node.placement import Placer
from bergamotgap.node.planner import Planner
from bergamotgap.node.settings import Settings
from bergamotgap.node.streams import Stream, StreamWriter, follow_platform
from bergamotgap.node.work_parts import WorkParts
from bergamotgap.node.workers import Workers

CONNECTIONS_PER_WORKER = 64

log = get_logger(__name__)


class Node:
    """Own every part of one entry host process."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._control = Stream("control", ControlState(), clock)
        self._work = Stream("work", WorkState(), clock)
        self._membership: Membership | None = None
        self._parts: WorkParts | None = None

    async def __aenter__(self) -> Self:
        """Start serving."""
        pooled = await self._open_session(
            aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_WORKER)
        )
        fresh = await self._open_session(aiohttp.TCPConnector(force_close=True))
        platform = HttpPlatform(pooled, self._settings.platform_url)
        client = HttpWorkerClient(pooled, fresh, self._clock)
        writer = StreamWriter(
            self._control, platform, self._clock, self._settings.batch_ms
        )
        workers = Workers(self._control, client, self._clock)
        admission = Admission(self._clock, workers.pool_capacity, self._list_live_peers)
        self._membership = Membership(
            self._settings.node_id,
            self._clock,
            admission.pool_demand,
            admission.owner_demand,
        )
        placer = Placer(lambda: self._control.state, workers, admission)
        dispatcher = Dispatcher(placer, client, self._clock)
        planner = Planner(self._control, writer, platform, self._clock)
        work_writer = StreamWriter(
            self._work, platform, self._clock, self._settings.batch_ms
        )
        parts = WorkParts(
            self._membership,
            self._control,
            self._work,
            work_writer,
            placer,
            client,
            self._clock,
        )
        self._parts = parts
        callers = CallerApi(
            lambda: self._control.state.catalogue,
            dispatcher,
            parts.requests,
            self._clock,
        )
        jobs = JobApi(
            lambda: self._control.state.catalogue,
            parts.jobs,
            parts.results,
            self._settings.max_job_body_bytes,
        )
        operators = OperatorApi(self._control, writer, self.dump, self.is_ready)
        self._start(follow_platform(self._control, platform))
        self._start(follow_platform(self._work, platform))
        self._start(workers.run())
        self._start(planner.run())
        await self._stack.enter_async_context(parts)
        caller_app = web.Application(client_max_size=self._settings.max_body_bytes)
        callers.add_routes(caller_app)
        jobs.add_routes(caller_app)
        await self._serve(caller_app, self._settings.caller_address)
        await self._serve(operators.build_app(), self._settings.operator_address)
        log.info("node started", caller_address=self._settings.caller_address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Hand work over, stop tasks, then close connections."""
        if self._membership is not None:
            self._membership.announce_leaving()
        if self._parts is not None:
            await self._parts.leave(self._settings.shutdown_ms)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log.info("node stopped")

    def _list_live_peers(self) -> list[PeerView]:
        return self._membership.list_live() if self._membership else []

    def _start(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

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
        """Return whether the node has a catalogue and can serve."""
        return self._control.state.catalogue is not None

    def dump(self) -> dict[str, Any]:
        """Return what this process believes and how old each belief is."""
        state = self._control.state
        return {
            "node_id": self._settings.node_id,
            "control": {
                "next_offset": self._control.next_offset,
                "age_ms": self._control.age_ms,
                "revision": state.revision,
                "hosts": len(state.hosts),
            },
            "work": {
                "next_offset": self._work.next_offset,
                "age_ms": self._work.age_ms,
                "jobs_owned": self._parts.jobs.owned if self._parts else 0,
                **self._work.state.counts,
            },
        }
