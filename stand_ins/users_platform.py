"""The users' platform over HTTP: log, hosts' service and workers, in one process."""

import asyncio
import base64
import itertools
import random
import struct
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Any, Self

import msgspec
from aiohttp import web

from bergamotgap.domain.fleet import Size, TaskId, WorkerInfo, WorkerState
from bergamotgap.ports.fleet import (
    Accepted,
    AppendConflictError,
    Fence,
    FencedError,
    KeyedRecord,
    Lease,
    Look,
    OrderOutcome,
    Refused,
    SequenceError,
    StartOrder,
)
from stand_ins.pools import FakeOrders, FakeStore, FakeWorker

MOVE_S = 1.5
UPKEEP_S = 2.0
HEARTBEAT_S = 1.5
LAPSE_HEARTBEATS = 3
SPARE = "spare"
Answer = tuple[int, Mapping[str, Any]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Server:
    """One HTTP listener on a loopback port."""

    def __init__(self, handle: Handler) -> None:
        self._runner = web.ServerRunner(web.Server(handle, access_log=None))
        self.address = ""

    async def __aenter__(self) -> Self:
        """Listen."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close."""
        await self._runner.cleanup()


class UsersLog:
    """The log service; `is_down` refuses, `lose_share` of the answers get lost."""

    def __init__(self, rng: random.Random) -> None:
        self.store = FakeStore()
        self.is_down = False
        self.lose_share = 0.0
        self._rng = rng
        self._members: dict[str, float] = {}
        self._generation = 1

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await request.read()
        if self.is_down:
            return web.Response(status=503)
        calls: dict[str, Callable[[web.BaseRequest, bytes], Awaitable[web.Response]]]
        calls = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._read_newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._list_owners,
        }
        response = await calls[request.path](request, body)
        if self._rng.random() < self.lose_share and request.transport is not None:
            request.transport.abort()
        return response

    async def _append(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        fence = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            fence = Fence(query["producer"], epoch, sequence)
        at = int(query["at"]) if "at" in query else None
        try:
            offset = await self.store.append(
                query["topic"],
                int(query["part"]),
                _read_records(body),
                at=at,
                fence=fence,
            )
        except AppendConflictError as error:
            return _answer(412, {"end": error.end})
        except FencedError:
            return _answer(409, {"reason": "fenced"})
        except SequenceError as error:
            return _answer(409, {"reason": "seq", "expected": error.expected})
        return _answer(200, {"offset": offset})

    async def _read(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        start, wait_ms = int(query["from"]), int(query.get("waitMs", 0))
        page = await self.store.read(
            query["topic"], int(query["part"]), start, min(wait_ms, 2000)
        )
        chunks = [struct.pack(">QQ", page.end, 0)]
        for record in page.records:
            key, value = record.key.encode(), record.value or b""
            chunks.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)))
            chunks.append(key + value)
        return web.Response(body=b"".join(chunks))

    async def _read_newest(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        newest = await self.store.read_newest(query["topic"], int(query["part"]))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in newest.values.items()
        ]
        return _answer(200, {"items": items, "more": False, "end": newest.end})

    async def _join(self, request: web.BaseRequest, body: bytes) -> web.Response:
        call = msgspec.json.decode(body)
        until_s = asyncio.get_running_loop().time() + call["ttlMs"] / 1000
        if call["member"] not in self._list_live():
            self._generation += 1
        self._members[call["member"]] = until_s
        return _answer(200, {"generation": self._generation, "parts": []})

    async def _leave(self, request: web.BaseRequest, body: bytes) -> web.Response:
        self._members.pop(msgspec.json.decode(body)["member"], None)
        self._generation += 1
        return _answer(200, {})

    async def _list_owners(self, request: web.BaseRequest, body: bytes) -> web.Response:
        rows = [["nodes.0", n, name, 0] for n, name in enumerate(self._list_live())]
        return _answer(200, {"owners": rows})

    def _list_live(self) -> list[str]:
        now_s = asyncio.get_running_loop().time()
        live = [name for name, until_s in self._members.items() if until_s > now_s]
        if len(live) != len(self._members):
            self._members = {name: self._members[name] for name in live}
            self._generation += 1
        return live


@dataclass
class Host:
    """One machine; its worker is a new life after each move or upkeep."""

    name: str
    pool: str
    state: str = "up"
    worker: "HttpWorker | None" = None


class HttpWorker:
    """One life of a worker; `lose_share` of its answers get lost."""

    def __init__(self, info: WorkerInfo, run_s: float, rng: random.Random) -> None:
        self.fake = FakeWorker(info, run_s)
        self.lose_share = 0.0
        self._orders = FakeOrders({info.worker_id: self.fake})
        self._rng = rng
        self.server = Server(self.handle)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = msgspec.json.decode(await request.read())
        info = self.fake.info
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
                outcome = await self._orders.hold(
                    info, lease, body["ackedThrough"], body.get("waitMs", 0)
                )
        if self._rng.random() < self.lose_share and request.transport is not None:
            request.transport.abort()
        return _convert_outcome(outcome)


class UsersPlatform:
    """The log, the hosts and their workers; `pools` names hosts by pool."""

    def __init__(self, pools: Mapping[str, int], run_s: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._run_s = run_s
        self._numbers = itertools.count(1)
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()
        self.log = UsersLog(self._rng)
        names = [pool for pool, count in pools.items() for _ in range(count)]
        self.hosts = {f"m{n}": Host(f"m{n}", pool) for n, pool in enumerate(names)}
        # All lives of workers, those that have ended included.
        self.workers: list[FakeWorker] = []
        self._pools = list(pools)

    async def __aenter__(self) -> Self:
        """Listen, and publish the configuration and the workers' reports."""
        self.log_server = await self._stack.enter_async_context(Server(self.log.handle))
        self.host_server = await self._stack.enter_async_context(Server(self._handle))
        await self._publish("op", "config", self._build_config())
        for host in self.hosts.values():
            await self._begin_life(host)
        self._start(self._run_heartbeats())
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close all."""
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()

    def _build_config(self) -> Mapping[str, Any]:
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
            if pool != SPARE
        ]
        services = [{"name": pool, "spare": pool == SPARE} for pool in self._pools]
        return {"version": 1, "routes": routes, "services": services}

    async def _publish(self, topic: str, key: str, content: object) -> None:
        value = msgspec.json.encode(content) if content is not None else None
        await self.log.store.append(f"keyed.{topic}", 0, [KeyedRecord(key, value)])

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin_life(self, host: Host) -> None:
        host.state = "up"
        if host.pool == SPARE:
            return
        info = WorkerInfo(
            f"i{next(self._numbers)}",
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
        worker.fake.info = replace(info, address=worker.server.address)
        host.worker = worker
        self.workers.append(worker.fake)
        await self._report(host)

    async def _report(self, host: Host) -> None:
        assert host.worker is not None
        info = host.worker.fake.info
        entry = {
            "service": info.service,
            "address": info.address,
            "zone": "dc-1",
            "state": "ready",
            "capacity": {"cpu": 8000, "requestedMemoryMb": 16_000},
            "labels": ["a", "r1"],
            "born": info.born_ms,
            "machine": host.name,
        }
        await self._publish("servers", info.worker_id, entry)

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for host in self.hosts.values():
                if host.worker is not None and not self.log.is_down:
                    await self._report(host)

    def crash(self, host: Host) -> None:
        """End the worker's life without a word; another one begins later."""
        if host.worker is None or host.state != "up":
            return
        host.state = "down"
        self._start(self._change(host, host.pool, 3.0))

    async def _change(self, host: Host, pool: str, duration_s: float) -> None:
        former, host.worker = host.worker, None
        if former is not None:
            former.fake.die()
            await former.server.__aexit__()
        host.pool = pool
        await asyncio.sleep(duration_s)
        if former is not None:
            lapse_s = LAPSE_HEARTBEATS * HEARTBEAT_S - duration_s
            self._start(self._forget(former.fake.info.worker_id, lapse_s))
        await self._begin_life(host)

    async def _forget(self, worker_id: str, after_s: float) -> None:
        await asyncio.sleep(max(0.0, after_s))
        await self._publish("servers", worker_id, None)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path == "/machines":
            return _answer(
                200, {"machines": [self._show(h) for h in self.hosts.values()]}
            )
        call = msgspec.json.decode(body)
        host = self.hosts[call["machine"]]
        if host.state != "up":
            return _answer(409, {"reason": "busy"})
        is_move = request.path == "/machine-move"
        host.state = "moving" if is_move else "upkeep"
        pool = call["pool"] if is_move else host.pool
        self._start(self._change(host, pool, MOVE_S if is_move else UPKEEP_S))
        return _answer(200, {})

    def _show(self, host: Host) -> Mapping[str, Any]:
        worker_id = host.worker.fake.info.worker_id if host.worker else ""
        return {
            "machine": host.name,
            "pool": host.pool,
            "state": host.state,
            "zone": "dc-1",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 8000, "requestedMemoryMb": 16_000},
            "id": worker_id,
        }


def _answer(status: int, content: Mapping[str, Any]) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )


def _read_records(body: bytes) -> list[KeyedRecord]:
    records, position = [], 0
    while position < len(body):
        length, size = struct.unpack_from(">IB", body, position)
        content = body[position + 5 : position + 4 + length]
        key, value = content[:size].decode(), content[size:]
        records.append(KeyedRecord(key, value or None))
        position += 4 + length
    return records


def _read_task(name: str) -> TaskId:
    job, occurrence, step, number = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(number))


def _convert_outcome(outcome: OrderOutcome | Look | object) -> web.Response:
    match outcome:
        case Accepted():
            return _answer(200, {"clockMs": outcome.clock_ms})
        case Refused():
            return _answer(
                409, {"clockMs": outcome.clock_ms or 0, "reason": outcome.reason}
            )
        case Look():
            running = [
                [str(row.task), row.run, row.checkpoint, row.percent, row.figure]
                for row in outcome.running
            ]
            ended = [
                [row.number, str(row.task), row.run, row.how, row.checkpoint]
                for row in outcome.ended
            ]
            return _answer(
                200,
                {
                    "clockMs": outcome.clock_ms,
                    "born": outcome.born_ms,
                    "running": running,
                    "ended": ended,
                },
            )
    return web.Response(status=503)
