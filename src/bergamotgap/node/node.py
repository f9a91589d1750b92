"""The entry host: builds its parts, starts their tasks and stops them in order."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any, Self

from aiohttp import web

from bergamotgap.adapters.caller_http import CallerApi, build_middleware
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.operator_http import OperatorApi
from bergamotgap.adapters.platform_http import HttpPlatform
from bergamotgap.adapters.worker_connections import WorkerConnections, open_session
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
from bergamotgap.node.shutdown import RequestGate, shut_down
from bergamotgap.node.streams import Stream, StreamWriter, follow_platform
from bergamotgap.node.workers import Workers

# Connections that a worker takes from all entry hosts together. Each entry host keeps
# one of its part for statuses.
CONNECTIONS_PER_WORKER = 64
MIN_TASK_CONNECTIONS = 4
# New connections that ask about lost answers, to all workers together.
FRESH_CONNECTIONS = 512
# Requests had their time before the listeners close; this is for what is left.
CLOSE_TIMEOUT_S = 1.0

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
        self._gate = RequestGate()

    async def __aenter__(self) -> Self:
        """Start serving."""
        pooled = await self._stack.enter_async_context(open_session(0))
        fresh = await self._stack.enter_async_context(
            open_session(FRESH_CONNECTIONS, is_reusing=False)
        )
        platform = HttpPlatform(pooled, self._settings.platform_url)
        connections = WorkerConnections(self._count_task_connections())
        client = HttpWorkerClient(pooled, fresh, self._clock, connections)
        self._stack.push_async_callback(client.close)
        writer = StreamWriter(
            self._control, platform, self._clock, self._settings.batch_ms
        )
        workers = Workers(self._control, client, self._clock, platform)
        admission = Admission(self._clock, workers.pool_capacity, self._list_live_peers)
        self._membership = Membership(
            self._settings.node_id,
            self._clock,
            admission.pool_demand,
            admission.owner_demand,
        )
        placer = Placer(
            lambda: self._control.state,
            workers,
            admission,
            self._settings.data_centre,
        )
        dispatcher = Dispatcher(placer, client, self._clock, self._settings.progress_ms)
        self._stack.push_async_callback(dispatcher.close)
        planner = Planner(self._control, writer, platform, self._clock)
        callers = CallerApi(
            lambda: self._control.state.catalogue, dispatcher, self._clock
        )
        operators = OperatorApi(self._control, writer, self.dump, self.is_ready)
        self._start(follow_platform(self._control, platform))
        self._start(follow_platform(self._work, platform))
        self._start(workers.run())
        self._start(planner.run())
        caller_app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[build_middleware(self._gate)],
        )
        callers.add_routes(caller_app)
        await self._serve(caller_app, self._settings.caller_address)
        await self._serve(operators.build_app(), self._settings.operator_address)
        log.info("node started", caller_address=self._settings.caller_address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Let requests finish, stop tasks, then close connections."""
        await shut_down(
            self._gate,
            self._announce_leaving,
            self._clock,
            self._settings.shutdown_ms,
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log.info("node stopped")

    def _list_live_peers(self) -> list[PeerView]:
        return self._membership.list_live() if self._membership else []

    def _start(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _announce_leaving(self) -> None:
        if self._membership is not None:
            self._membership.announce_leaving()

    def _count_task_connections(self) -> int:
        share = CONNECTIONS_PER_WORKER // (len(self._settings.peers) + 1)
        return max(MIN_TASK_CONNECTIONS, share - 1)

    async def _serve(self, app: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, int(port)).start()

    def is_ready(self) -> bool:
        """Return whether the node has a catalogue and can serve."""
        return self._control.state.catalogue is not None and not self._gate.is_leaving

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
        }
