"""The request path of one entry host in this process, with scripted workers."""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, Self

import aiohttp
from aiohttp import web

from bergamotgap.adapters.caller_http import CallerApi, build_gate_middleware
from bergamotgap.adapters.worker_connections import open_session
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.clock import SystemClock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.records import (
    CataloguePublished,
    HostSeen,
    Record,
    encode_batch,
    wrap_record,
)
from bergamotgap.node.admission import Admission
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.placement import Placer
from bergamotgap.node.shutdown import RequestGate
from bergamotgap.node.streams import Stream
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.node.workers import Workers
from bergamotgap.ports.platform import LogRecord

POOL = "reports"
ENTRY_LINES = """
[[entries]]
name = "{name}"
owner = "team"
pool = "reports"
urgency = "normal"
idempotent = {idempotent}
deadline_ms = 20000
run_ms = 10
cpus = {cpus}
memory_mb = 16
availability = 0.5
"""
DOCUMENT = (
    '[[pools]]\nname = "reports"\nmin_hosts = 1\nmax_hosts = 9\n'
    '[[owners]]\nname = "team"\nquota_slots = 50\n'
    '[[callers]]\nname = "clerk"\n'
    f'key_sha256 = "{hashlib.sha256(b"key").hexdigest()}"\n'
    'entries = ["report", "bill", "huge"]\n'
    + ENTRY_LINES.format(name="report", idempotent="true", cpus=1)
    + ENTRY_LINES.format(name="bill", idempotent="false", cpus=1)
    + ENTRY_LINES.format(name="huge", idempotent="true", cpus=1000)
)

Behaviour = Callable[
    ["ScriptedWorker", web.Request, str], Awaitable[web.StreamResponse]
]


async def echo(
    worker: "ScriptedWorker", request: web.Request, task: str
) -> web.StreamResponse:
    """Run the task and return its body as the result."""
    worker.start(task, "done", await request.read())
    return worker.answer(task)


class ScriptedWorker:
    """A worker whose answers to orders are given by a function of the test."""

    def __init__(self, behaviour: Behaviour = echo, data_centre: str = "dc-1") -> None:
        self.behaviour = behaviour
        self.data_centre = data_centre
        self.boot_id = "boot-1"
        self.state = "serving"
        self.pool: str | None = None
        self.epoch = 0
        self.busy = 0
        self.tasks: dict[str, tuple[str, bytes]] = {}
        self.started: list[str] = []
        self.calls: list[str] = []
        self.transports: list[Any] = []
        self.address = ""

    def start(self, task: str, state: str, result: bytes = b"") -> None:
        """Record that a task started, with its current state and its result."""
        self.started.append(task)
        self.tasks[task] = (state, result)

    def headers(self, task: str) -> dict[str, str]:
        """Return the headers of an answer."""
        busy = str(self.busy)
        return {"Task-Id": task, "Boot-Id": self.boot_id, "Worker-Busy": busy}

    def answer(self, task: str, status: int = 200) -> web.Response:
        """Return the result of a task."""
        body = self.tasks[task][1]
        return web.Response(body=body, status=status, headers=self.headers(task))

    def refuse(self, task: str, code: str) -> web.Response:
        """Return a refusal."""
        headers = {**self.headers(task), "Task-Refused": code}
        return web.json_response({"code": code}, status=409, headers=headers)

    async def serve(self, stack: AsyncExitStack, port: int = 0) -> None:
        """Listen until the stack closes."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/v1/{verb}", self._control)
        app.router.add_route("*", "/v1/tasks/{task}", self._task)
        app.router.add_route("*", "/v1/tasks/{task}/{verb}", self._verb)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        stack.push_async_callback(self.runner.cleanup)
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.address = "127.0.0.1:{1}".format(*self.runner.addresses[0])

    async def _control(self, request: web.Request) -> web.Response:
        if request.method == "PUT":
            payload = await request.json()
            if payload["epoch"] < self.epoch:
                return web.json_response({"code": "stale_epoch"}, status=409)
            self.pool, self.epoch = payload["pool"], payload["epoch"]
        status = {"worker": "w", "time_ms": 0, "boot_id": self.boot_id, "slots": 8}
        status |= {"pool": self.pool, "epoch": self.epoch, "state": self.state}
        status |= {"busy": self.busy, "usage": {}, "usage_as_of_ms": 0}
        return web.json_response(status)

    async def _task(self, request: web.Request) -> web.StreamResponse:
        task = request.match_info["task"]
        if request.method == "POST":
            self.transports.append(request.transport)
            if self.tasks.get(task, ("", b""))[0] == "refused":
                return self.refuse(task, "cancelled")
            return await self.behaviour(self, request, task)
        self.calls.append("status")
        return self._describe(task)

    def _describe(self, task: str) -> web.Response:
        state, result = self.tasks.get(task, ("unknown", b""))
        payload = {"state": state, "started": task in self.started}
        payload |= {"size": len(result), "boot_id": self.boot_id}
        return web.json_response(payload)

    async def _verb(self, request: web.Request) -> web.StreamResponse:
        task, verb = request.match_info["task"], request.match_info["verb"]
        self.calls.append(verb)
        if verb == "result":
            return self.answer(task)
        if verb == "cancel":
            self.tasks.setdefault(task, ("refused", b""))
        if verb == "stop":
            self.tasks[task] = ("stopped", b"")
        return self._describe(task)


def fold(stream: Stream[Any], *records: Record) -> None:
    """Fold records into a stream's state as if they were read from the log."""
    for record in records:
        offset = stream.next_offset
        batch = encode_batch([wrap_record(f"record-{offset}", record)])
        stream.fold_records((LogRecord(offset, 0, f"append-{offset}", batch),))


def build_host(name: str, address: str, data_centre: str = "dc-1") -> HostSeen:
    """Return a host of the pool with 8 slots."""
    return HostSeen(name, address, data_centre, "rack-1", 8.0, 4096, 0, 8, POOL)


class RefusingRequests:
    """A request path that refuses all non-idempotent requests."""

    @asynccontextmanager
    async def run(self, *arguments: Any) -> AsyncIterator[Any]:
        """Refuse any request."""
        raise RequestRefusedError(501, "not_supported")
        yield


class RequestPath:
    """An entry host's request path from the caller API to the workers."""

    def __init__(self, *workers: ScriptedWorker, progress_ms: int = 200) -> None:
        self.workers = workers
        self._progress_ms = progress_ms
        self._stack = AsyncExitStack()
        self.gate = RequestGate()

    async def __aenter__(self) -> Self:
        clock = SystemClock()
        self.control = Stream("control", ControlState(), clock)
        fold(self.control, CataloguePublished(1, 0, DOCUMENT, "operator"))
        for index, worker in enumerate(self.workers):
            await worker.serve(self._stack)
            host = build_host(f"w{index}", worker.address, worker.data_centre)
            fold(self.control, host)
        enter = self._stack.enter_async_context
        pooled = await enter(open_session(0))
        client = HttpWorkerClient(pooled, await enter(open_session(0, False)), clock)
        self._stack.push_async_callback(client.close)
        self.views = Workers(self.control, client, clock)
        await self.refresh()
        self.admission = Admission(clock, self.views.pool_capacity, list)
        placer = Placer(lambda: self.control.state, self.views, self.admission, "dc-1")
        self.dispatcher = Dispatcher(placer, client, clock, self._progress_ms)
        self._stack.push_async_callback(self.dispatcher.close)
        api = CallerApi(
            lambda: self.control.state.catalogue,
            self.dispatcher,
            RefusingRequests(),
            clock,
        )
        app = web.Application(
            client_max_size=1 << 20, middlewares=[build_gate_middleware(self.gate)]
        )
        api.add_routes(app)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.host, self.port = runner.addresses[0][:2]
        self.session = await enter(
            aiohttp.ClientSession(
                headers={"Authorization": "Bearer key"},
                timeout=aiohttp.ClientTimeout(total=30),
            )
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def refresh(self) -> None:
        """Fetch the status of every worker."""
        for name, host in self.control.state.hosts.items():
            await self.views.refresh_status(name, host)

    def fill_budget(self, entry: str = "report") -> None:
        """Add enough requests to the retry budget to allow one retry."""
        for _ in range(10):
            self.dispatcher._budget.record_request(entry)

    def open(self, body: bytes = b"q", entry: str = "report", **headers: str) -> Any:
        """Send a request; keyword `Deadline_Ms` becomes header `Deadline-Ms`."""
        url = f"http://{self.host}:{self.port}/v1/requests/{entry}"
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.session.post(url, data=body, headers=named)

    async def request(
        self, body: bytes = b"q", entry: str = "report", **headers: str
    ) -> tuple[int, str | None, bytes]:
        """Send a request and return status, outcome and body."""
        async with self.open(body, entry, **headers) as response:
            outcome = response.headers.get("Outcome")
            return response.status, outcome, await response.read()


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until the condition holds."""
    for _ in range(4000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition never held")
