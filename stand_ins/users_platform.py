"""Stand-in for the users' platform over HTTP: log, host service and workers."""

import asyncio
import itertools
import random
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Any, Self

import msgspec
from aiohttp import web

from bergamotgap.domain.fleet import Size, TaskId, WorkerInfo, WorkerState
from bergamotgap.ports.fleet import (
    Accepted,
    KeyedRecord,
    Lease,
    OrderOutcome,
    PollReply,
    Refused,
    StartOrder,
)
from stand_ins.outages import LapsedEntries
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders
from stand_ins.users_log import HttpServer, UsersLog, build_answer
from stand_ins.worker_server import WorkerServer

MOVE_DURATION_S = 1.5
MAINTENANCE_DURATION_S = 2.0
HEARTBEAT_INTERVAL_S = 1.5
EXPIRY_HEARTBEATS = 3
SPARE_POOL = "spare"


@dataclass
class Host:
    """A machine; each move or maintenance starts a new incarnation of its worker."""

    name: str
    pool: str
    state: str = "up"
    worker: "HttpWorker | None" = None


class HttpWorker:
    """A worker with one id, served over HTTP; it may begin another life.

    `answer_loss_rate` is the fraction of calls that take effect but get no answer.
    """

    def __init__(self, info: WorkerInfo, run_s: float, rng: random.Random) -> None:
        self.fake_worker = FakeWorker(info, run_s)
        self.answer_loss_rate = 0.0
        self._orders = FakeOrders({info.worker_id: self.fake_worker})
        self._rng = rng
        self.server = WorkerServer(self.handle)

    def crash(self) -> None:
        """Crash; from now on, nothing is answered."""
        self.server.end_life()
        self.fake_worker.crash()
        self.fake_worker.is_silent = True

    async def begin_life(self) -> None:
        """Begin another life under the same id and address after a crash."""
        self.fake_worker.restart()
        await self.server.begin_life()
        self.fake_worker.is_silent = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one call."""
        body = msgspec.json.decode(await request.read())
        info = self.fake_worker.info
        if request.headers.get("X-Expected-Instance") != info.worker_id:
            return web.Response(status=421)
        token = body["fencingToken"]
        outcome: object
        match request.path:
            case "/run-start":
                order = StartOrder(
                    _read_task(body["task"]), body["run"], body["specification"], ""
                )
                lease = Lease(token, body["deadlineMs"])
                outcome = await self._orders.start(info, order, lease)
            case "/run-stop":
                outcome = await self._orders.stop(
                    info, _read_task(body["task"]), body["run"], token
                )
            case _:
                lease = Lease(token, body.get("deadlineMs", 0))
                outcome = await self._orders.poll(
                    info, lease, body["ackedThrough"], body.get("waitMs", 0)
                )
        if self._rng.random() < self.answer_loss_rate and request.transport is not None:
            request.transport.abort()
        return _convert_outcome(outcome)


class UsersPlatform:
    """The log, the hosts and their workers; `pools` has the host count of each pool.

    `limits` are the limits of callers' requests in the configuration, if any.
    """

    def __init__(
        self,
        pools: Mapping[str, int],
        run_s: float,
        seed: int,
        limits: object = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._limits = limits
        self._run_s = run_s
        self._worker_numbers = itertools.count(1)
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()
        self.log = UsersLog(self._rng)
        self.log.on_return = self._lapse_entries
        self._lapsed_entries = LapsedEntries(self._publish_listed, seed)
        # Ids of the workers that the log lists.
        self._listed: set[str] = set()
        names = [pool for pool, count in pools.items() for _ in range(count)]
        self.hosts = {f"m{n}": Host(f"m{n}", pool) for n, pool in enumerate(names)}
        # All incarnations of workers, including ended ones.
        self.workers: list[FakeWorker] = []
        self._sequences = itertools.count(1)
        self._pools = list(pools)

    async def __aenter__(self) -> Self:
        """Start the servers and publish the configuration and all workers."""
        self.log_server = await self._stack.enter_async_context(
            HttpServer(self.log.handle)
        )
        self.host_server = await self._stack.enter_async_context(
            HttpServer(self._handle_host_call)
        )
        await self._publish("op", "config", self._build_config())
        for host in self.hosts.values():
            await self._start_worker(host)
        self._start_background(self._run_heartbeats())
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close all servers and cancel the background tasks."""
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()

    def _build_config(self, version: int = 1) -> Mapping[str, Any]:
        routes = [
            {
                "name": f"q-{pool}",
                "host": f"{pool}.example",
                "pathPrefix": f"/{pool}/",
                "service": pool,
                "retryAttempts": 8,
                "stretch": 1.6,
                "targetLatencyMs": 600,
            }
            for pool in self._pools
            if pool != SPARE_POOL
        ]
        services = [{"name": pool, "spare": pool == SPARE_POOL} for pool in self._pools]
        config = {"version": version, "routes": routes, "services": services}
        return config if self._limits is None else {**config, "limits": self._limits}

    async def change_limits(self, limits: object, version: int) -> None:
        """Publish a configuration with other limits of callers' requests."""
        self._limits = limits
        await self._publish("op", "config", self._build_config(version))

    async def _publish(self, topic: str, key: str, content: object) -> None:
        value = msgspec.json.encode(content) if content is not None else None
        await self.log.store.append(f"keyed.{topic}", 0, [KeyedRecord(key, value)])

    def _start_background(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_worker(self, host: Host) -> None:
        host.state = "up"
        if host.pool == SPARE_POOL:
            return
        info = WorkerInfo(
            f"i{next(self._worker_numbers)}",
            host.pool,
            "",
            "dc-1",
            WorkerState.READY,
            Size(8000, 16_000, 0),
            frozenset(),
            "r1",
            1000 + len(self.workers),
            host.name,
        )
        worker = HttpWorker(info, self._run_s, self._rng)
        await self._stack.enter_async_context(worker.server)
        worker.fake_worker.info = replace(info, address=worker.server.address)
        host.worker = worker
        self.workers.append(worker.fake_worker)
        await self._publish_worker(host)

    async def _publish_worker(self, host: Host) -> None:
        assert host.worker is not None
        info = host.worker.fake_worker.info
        entry = {
            "service": info.service,
            "address": info.address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": next(self._sequences),
            "capacity": {"cpu": 8000, "requestedMemoryMb": 16_000},
            "labels": ["a", "r1"],
            "born": info.incarnation_ms,
            "machine": host.name,
        }
        self._listed.add(info.worker_id)
        await self._publish("servers", info.worker_id, entry)

    def _lapse_entries(self, outage_s: float) -> None:
        self._lapsed_entries.lapse(sorted(self._listed), outage_s)

    def _publish_listed(self) -> None:
        """Publish which entries have lapsed, and those that are back."""
        for worker_id in sorted(self._listed):
            if self._lapsed_entries.is_missing(worker_id):
                self._listed.discard(worker_id)
                self._start_background(self._publish("servers", worker_id, None))
        for host in self.hosts.values():
            worker = host.worker
            if worker is None or worker.fake_worker.info.worker_id in self._listed:
                continue
            if self._may_publish(host):
                self._start_background(self._publish_worker(host))

    def _may_publish(self, host: Host) -> bool:
        worker = host.worker
        if worker is None or worker.fake_worker.is_silent:
            return False
        return not self._lapsed_entries.is_missing(worker.fake_worker.info.worker_id)

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for host in self.hosts.values():
                if self._may_publish(host) and not self.log.is_down:
                    await self._publish_worker(host)

    def crash_worker(self, host: Host) -> None:
        """Crash the worker of a host; a new incarnation starts after a delay."""
        if host.worker is None or host.state != "up":
            return
        host.state = "down"
        self._start_background(self._replace_worker(host, host.pool, 3.0))

    def restart_worker(self, host: Host, dark_s: float) -> None:
        """Crash the worker of a host; it is back under its id after a delay."""
        if host.worker is None or host.state != "up":
            return
        host.state = "down"
        self._start_background(self._begin_life(host, host.worker, dark_s))

    async def _begin_life(self, host: Host, worker: HttpWorker, dark_s: float) -> None:
        worker.crash()
        await asyncio.sleep(dark_s)
        await worker.begin_life()
        host.state = "up"
        await self._publish_worker(host)

    async def _replace_worker(self, host: Host, pool: str, duration_s: float) -> None:
        previous_worker, host.worker = host.worker, None
        if previous_worker is not None:
            previous_worker.crash()
            await previous_worker.server.__aexit__()
        host.pool = pool
        await asyncio.sleep(duration_s)
        if previous_worker is not None:
            expiry_s = EXPIRY_HEARTBEATS * HEARTBEAT_INTERVAL_S - duration_s
            self._start_background(
                self._expire_worker(
                    previous_worker.fake_worker.info.worker_id, expiry_s
                )
            )
        await self._start_worker(host)

    async def _expire_worker(self, worker_id: str, after_s: float) -> None:
        await asyncio.sleep(max(0.0, after_s))
        self._listed.discard(worker_id)
        await self._publish("servers", worker_id, None)

    async def _handle_host_call(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path == "/machines":
            return build_answer(
                200, {"machines": [self._describe_host(h) for h in self.hosts.values()]}
            )
        call = msgspec.json.decode(body)
        host = self.hosts[call["machine"]]
        if host.state != "up":
            return build_answer(409, {"reason": "busy"})
        is_move = request.path == "/machine-move"
        host.state = "moving" if is_move else "upkeep"
        pool = call["pool"] if is_move else host.pool
        self._start_background(
            self._replace_worker(
                host, pool, MOVE_DURATION_S if is_move else MAINTENANCE_DURATION_S
            )
        )
        return build_answer(200, {})

    def _describe_host(self, host: Host) -> Mapping[str, Any]:
        worker_id = host.worker.fake_worker.info.worker_id if host.worker else ""
        return {
            "machine": host.name,
            "pool": host.pool,
            "state": host.state,
            "zone": "dc-1",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 8000, "requestedMemoryMb": 16_000},
            "id": worker_id,
        }


def _read_task(name: str) -> TaskId:
    job, occurrence, step, number = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(number))


def _convert_outcome(outcome: OrderOutcome | PollReply | object) -> web.Response:
    match outcome:
        case Accepted():
            return build_answer(200, {"clockMs": outcome.clock_ms})
        case Refused():
            return build_answer(
                409, {"clockMs": outcome.clock_ms or 0, "reason": outcome.reason}
            )
        case PollReply():
            running = [
                [
                    str(row.task),
                    row.run,
                    row.checkpoint,
                    row.percent,
                    row.latency_or_cpu,
                ]
                for row in outcome.running
            ]
            ended = [
                [row.sequence, str(row.task), row.run, row.outcome, row.checkpoint]
                for row in outcome.ended
            ]
            return build_answer(
                200,
                {
                    "clockMs": outcome.clock_ms,
                    "born": outcome.incarnation_ms,
                    "running": running,
                    "ended": ended,
                },
            )
    return web.Response(status=503)
