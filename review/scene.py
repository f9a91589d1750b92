"""Stand-ins for the users' platform, its workers and clients, for the review's scripts.

They follow the users' pages PROTOCOL.md and DEPLOY.md. All servers run in the process of
the script, on free ports of one random loopback address; the project's nodes run as
processes of their own, by the command of `deploy/system.toml`. Everything that was sent,
answered and run goes into `record.txt`, by the time in ms since the scene began.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
BOUNDS = {
    "contactMs": 3000, "ackTimeoutMs": 4000, "drainTimeoutMs": 2000, "gracePeriodS": 6,
    "configApplyMs": 2000, "maxHoldMs": 10000, "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "checkpointIntervalS": 2, "restoreMs": 100,
    "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "requireFencing": False,
    "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
}  # fmt: skip
HEARTBEAT_S = 1.5
# From a worker's start to its entry in the store (`lag_ms` of the site files).
ENTRY_LAG_S = 0.8
ENDS_AT_A_TIME = 500
RECORD_BYTES = 262144
CALL_BYTES = 2097152
RETRY_ATTEMPTS = 4
# The service whose machines are off.
SPARE = "spare"


class Record:
    """What was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000)

    def write(self, what: str, **fields: Any) -> None:
        row = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now_ms():7d} {what} {row}\n")

    def close(self) -> None:
        self._file.close()


def answer(status: int, content: Any) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(content).encode(), content_type="application/json"
    )


async def listen(
    handler: Any, ip: str, port: int = 0
) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, ip, port, reuse_address=True).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


class Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        # Epoch, last sequence and the answers to the last five appends of each producer.
        self.producers: dict[str, tuple[int, int, dict[int, dict[str, int]]]] = {}
        self.grown = asyncio.Event()


class Store:
    """The platform's log. `trouble`: "", "silent" or "busy" (for all nodes)."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._members: dict[str, float] = {}
        self._listed: list[str] = []
        self._generation = 1
        self.trouble = ""
        self.refused: list[str] = []

    def get(self, topic: str, part: int) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def publish(self, topic: str, key: str, content: Any) -> None:
        """Append a record of the operator or of a worker."""
        value = b"" if content is None else json.dumps(content).encode()
        name = key.encode()
        self._append(topic, self.get(topic, 0), [bytes([len(name)]) + name + value])

    def _append(self, topic: str, partition: Partition, rows: list[bytes]) -> int:
        offset = len(partition.records)
        for row in rows:
            if topic.startswith("keyed."):
                key = row[1 : 1 + row[0]].decode()
                if row[1 + row[0] :]:
                    value = row[1 + row[0] :]
                    partition.newest[key] = (value, len(partition.records))
                else:
                    partition.newest.pop(key, None)
            partition.records.append(row)
        partition.grown.set()
        partition.grown = asyncio.Event()
        return offset

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        while self.trouble == "silent":
            await asyncio.sleep(0.02)
            if self.trouble != "silent" and request.transport is not None:
                # A call that came in while the store was down was not executed.
                request.transport.abort()
                return web.Response(status=503)
        if self.trouble == "busy":
            return web.Response(status=503)
        await asyncio.sleep(0.004)
        handlers = {
            "/log-append": self._handle_append,
            "/log-read": self._handle_read,
            "/log-newest": self._handle_newest,
            "/log-join": self._handle_join,
            "/log-leave": self._handle_leave,
            "/log-owners": self._handle_owners,
        }
        return await handlers[request.path](request, body)

    async def _handle_append(self, request: web.BaseRequest, body: bytes) -> Any:
        query = request.query
        topic = query["topic"]
        rows, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            rows.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        longest = max((len(row) for row in rows), default=0)
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused.append(f"{longest} bytes")
            self._record.write("store-append-too-large", longest=longest, call=len(body))
            return answer(400, {})
        partition = self.get(topic, int(query["part"]))
        end = len(partition.records)
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known, last, answers = partition.producers.get(producer, (-1, -1, {}))
            if epoch < known:
                return answer(409, {"reason": "fenced"})
            if epoch == known and sequence in answers:
                return answer(200, answers[sequence])
            if epoch == known and sequence != last + 1:
                return answer(409, {"reason": "seq", "expected": last + 1})
            if epoch > known:
                answers = {}
        if "at" in query and int(query["at"]) != end:
            return answer(412, {"end": end})
        offset = self._append(topic, partition, rows)
        reply = {"offset": offset, "end": len(partition.records)}
        if producer is not None:
            answers = dict(list({**answers, sequence: reply}.items())[-5:])
            partition.producers[producer] = (epoch, sequence, answers)
        return answer(200, reply)

    async def _handle_read(self, request: web.BaseRequest, body: bytes) -> Any:
        query = request.query
        partition = self.get(query["topic"], int(query["part"]))
        start = int(query["from"])
        if len(partition.records) <= start and int(query.get("waitMs", 0)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await partition.grown.wait()
        chunks = [struct.pack(">QQ", len(partition.records), 0)]
        size = 0
        for row in partition.records[start:]:
            chunks.append(struct.pack(">I", len(row)) + row)
            size += len(row)
            if size > 1024 * 1024:
                break
        return web.Response(body=b"".join(chunks))

    async def _handle_newest(self, request: web.BaseRequest, body: bytes) -> Any:
        query = request.query
        partition = self.get(query["topic"], int(query["part"]))
        after = query.get("after", "")
        keys = [key for key in sorted(partition.newest) if key > after]
        items, size = [], 0
        for key in keys[:500]:
            value, offset = partition.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
            size += len(value)
            if size > 1024 * 1024:
                break
        more = len(items) < len(keys)
        return answer(
            200, {"items": items, "more": more, "end": len(partition.records)}
        )

    def _list_members(self) -> list[str]:
        now_s = time.monotonic()
        live = sorted(name for name, until in self._members.items() if until > now_s)
        if live != self._listed:
            self._listed = live
            self._generation += 1
        return live

    async def _handle_join(self, request: web.BaseRequest, body: bytes) -> Any:
        call = json.loads(body)
        self._members[call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        self._list_members()
        return answer(200, {"generation": self._generation, "parts": []})

    async def _handle_leave(self, request: web.BaseRequest, body: bytes) -> Any:
        self._members.pop(json.loads(body)["member"], None)
        self._list_members()
        return answer(200, {})

    async def _handle_owners(self, request: web.BaseRequest, body: bytes) -> Any:
        live = self._list_members()
        rows = [
            [f"nodes.{topic}", part, live[(topic * 16 + part) % len(live)], 0]
            for topic in range(4)
            for part in range(16)
            if live
        ]
        return answer(200, {"owners": rows})


class Run:
    def __init__(self, task: str, number: int, order: dict[str, Any]) -> None:
        self.task, self.number, self.order = task, number, order
        self.began_s = time.monotonic()
        self.work_s = 0.0
        self.timer: asyncio.TimerHandle | None = None


class Worker:
    """One life of a machine's worker."""

    def __init__(self, scene: "Scene", machine: "Machine", worker_id: str) -> None:
        self._scene = scene
        self.machine = machine
        self.worker_id = worker_id
        self.born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.barred: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self._ends = 0
        self._has_end = asyncio.Event()
        self.sequence = 0
        self.is_up = True
        # No call reaches the worker and no answer leaves it; it runs on, and reports.
        self.is_cut = False
        self.address = ""
        self._tasks: list[asyncio.Task[None]] = []
        self.runner: web.ServerRunner | None = None
        # When the lease was last found to have lapsed (ms of the record).
        self.lapsed_ms = -1

    async def begin(self, address: str = "") -> None:
        port = int(address.rpartition(":")[2] or 0)
        self.runner, self.address = await listen(self._receive, self._scene.ip, port)
        self._scene.record.write(
            "worker-up", worker=self.worker_id, machine=self.machine.name,
            service=self.machine.pool,
        )  # fmt: skip
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000) + 1

    async def _beat(self) -> None:
        await asyncio.sleep(ENTRY_LAG_S)
        while True:
            if not self._scene.store.trouble:
                self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.machine.pool, "address": self.address,
            "zone": self.machine.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "capacity": self.machine.capacity,
            "labels": self.machine.labels, "machine": self.machine.name,
            "born": self.born_ms, "clockMs": self.clock_ms(),
            "sequence": self.sequence,
        }  # fmt: skip
        self._scene.store.publish("keyed.servers", self.worker_id, entry)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.clock_ms() > self.deadline_ms:
                self.lapsed_ms = self._scene.record.now_ms()
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    async def crash(self) -> None:
        """End at once; nothing is sent any more."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
            self._scene.note_end(self, run, "crashed", 0)
        self.running.clear()
        self._scene.record.write("worker-down", worker=self.worker_id)
        if self.runner is not None:
            for protocol in list(self.runner.server.connections):
                if protocol.transport is not None:
                    protocol.transport.abort()
            await self.runner.cleanup()

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._ends += 1
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ended.append([self._ends, run.task, run.number, how, ""])
        self._scene.note_end(self, run, how, self._ends)
        self._has_end.set()
        self._has_end = asyncio.Event()

    async def _receive(self, request: web.BaseRequest) -> web.StreamResponse:
        response = None if self.is_cut else await self._handle(request)
        if self.is_cut or response is None:
            while self.is_cut:
                await asyncio.sleep(0.02)
            if request.transport is not None:
                request.transport.abort()
        return response or web.Response(status=503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read() or b"{}")
        if not self.is_up and request.transport is not None:
            request.transport.abort()
        expected = request.headers.get("X-Expected-Instance", self.worker_id)
        if expected != self.worker_id:
            return web.Response(status=421)
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/pace":
                return answer(200, {"clockMs": self.clock_ms()})
            case "/hold":
                return await self._hold(body)
        return web.Response(status=404)

    def _refuse(self, reason: str) -> web.Response:
        return answer(409, {"clockMs": self.clock_ms(), "reason": reason})

    def _extend(self, body: dict[str, Any]) -> None:
        wanted = min(
            body.get("deadlineMs", 0), self.clock_ms() + int(BOUNDS["maxHoldMs"])
        )
        self.deadline_ms = max(self.deadline_ms, wanted)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms():
            return self._refuse("late")
        self._extend(body)
        known = self.running.get(task)
        if known is not None and known.number == number:
            return answer(200, {"clockMs": self.clock_ms()})
        if number <= self.barred.get(task, 0) or known is not None:
            return self._refuse("old")
        run = Run(task, number, body)
        run.work_s = self._scene.choose_work_s(task)
        self.running[task] = run
        loop = asyncio.get_running_loop()
        how = self._scene.choose_end(task)
        run.timer = loop.call_later(run.work_s, self._end, run, how)
        self._scene.note_start(self, run)
        return answer(200, {"clockMs": self.clock_ms()})

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        self._scene.record.write(
            "stop", worker=self.worker_id, task=task, run=number
        )
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return answer(200, {"clockMs": self.clock_ms()})

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        self._extend(body)
        acked = body.get("ackedThrough", 0)
        for row in self.ended:
            if row[0] <= acked:
                self._scene.note_ack(self, row)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended and body.get("waitMs", 0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(2000, body["waitMs"]) / 1000):
                    await self._has_end.wait()
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        now_s = time.monotonic()
        running = [
            [
                run.task, run.number, "",
                min(99, int(100 * (now_s - run.began_s) / run.work_s)), 0,
            ]
            for run in self.running.values()
        ]  # fmt: skip
        return answer(
            200,
            {
                "clockMs": self.clock_ms(),
                "born": self.born_ms,
                "running": running,
                "ended": self.ended[:ENDS_AT_A_TIME],
            },
        )


class Machine:
    def __init__(self, name: str, pool: str, zone: str, cpu: int, memory: int) -> None:
        self.name, self.pool, self.zone = name, pool, zone
        self.state = "up"
        self.capacity = {"cpu": cpu, "requestedMemoryMb": memory, "gpus": 0}
        self.labels = ["a", "r1-1"]
        self.worker: Worker | None = None


class Node:
    def __init__(self, name: str, settings: dict[str, Any]) -> None:
        self.name, self.settings = name, settings
        self.front = settings["listenAddresses"]["front"]
        self.ready = settings["listenAddresses"]["ready"]
        self.process: asyncio.subprocess.Process | None = None


class Scene:
    """The platform, its workers and the nodes of one script.

    `pools` gives the number of machines of each service; those of `spare` are off.
    """

    def __init__(
        self, folder: Path, pools: dict[str, int], cpu: int, memory: int, nodes: int
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        rng = random.Random()
        self._net = f"127.{rng.randrange(2, 250)}.{rng.randrange(1, 250)}"
        self.ip = f"{self._net}.1"
        self.store = Store(self.record)
        self._ids = itertools.count(1)
        self._services = list(pools)
        names = [pool for pool, count in pools.items() for _ in range(count)]
        self.machines = {
            f"m-{n}": Machine(f"m-{n}", pool, "zone-a", cpu, memory)
            for n, pool in enumerate(names, 1)
        }
        self._node_count = nodes
        self.nodes: list[Node] = []
        self._stack = contextlib.AsyncExitStack()
        self._background: set[asyncio.Task[Any]] = set()
        self._version = 0
        # Task name: rows of start, end (s, None while it runs), how, worker, run, acked.
        self.runs: dict[str, list[dict[str, Any]]] = {}
        # What tasks take, and how they end.
        self.work_s = 0.8
        self.end = "done"

    def choose_work_s(self, task: str) -> float:
        return self.work_s

    def choose_end(self, task: str) -> str:
        return self.end

    def note_start(self, worker: Worker, run: Run) -> None:
        row = {
            "began_ms": self.record.now_ms(), "ended_ms": None, "how": "", "n": 0,
            "worker": worker.worker_id, "run": run.number, "acked_ms": None,
            "born": worker.born_ms,
        }  # fmt: skip
        self.runs.setdefault(run.task, []).append(row)
        self.record.write(
            "run-start", worker=worker.worker_id, task=run.task, run=run.number
        )

    def _find(self, worker: Worker, task: str, number: int) -> dict[str, Any]:
        return next(
            row
            for row in self.runs[task]
            if row["run"] == number
            and row["worker"] == worker.worker_id
            and row["born"] == worker.born_ms
        )

    def note_end(self, worker: Worker, run: Run, how: str, number: int) -> None:
        row = self._find(worker, run.task, run.number)
        row["ended_ms"], row["how"], row["n"] = self.record.now_ms(), how, number
        self.record.write(
            "run-end", worker=worker.worker_id, task=run.task, run=run.number, how=how,
            number=number,
        )  # fmt: skip

    def note_ack(self, worker: Worker, end: list[Any]) -> None:
        row = self._find(worker, end[1], end[2])
        # "unless the worker's lease lapsed between the two"
        has_lapsed = worker.lapsed_ms >= row["ended_ms"]
        if not has_lapsed:
            row["acked_ms"] = self.record.now_ms()
        self.record.write(
            "end-noted", worker=worker.worker_id, task=end[1], run=end[2], how=end[3],
            has_lapsed=has_lapsed,
        )  # fmt: skip

    async def __aenter__(self) -> "Scene":
        try:
            await self._begin()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _begin(self) -> None:
        runner, self.store_address = await listen(self.store.handle, self.ip)
        self._stack.push_async_callback(runner.cleanup)
        runner, self.cloud_address = await listen(self._handle_cloud, self.ip)
        self._stack.push_async_callback(runner.cleanup)
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.publish_config({name: name for name in self._services if name != SPARE})
        for machine in self.machines.values():
            await self.begin_worker(machine)
        for number in range(self._node_count):
            await self._begin_node(number)
        await self._wait_until_ready()

    async def __aexit__(self, *exception: object) -> None:
        running = [
            node.process
            for node in self.nodes
            if node.process is not None and node.process.returncode is None
        ]
        for process in running:
            process.kill()
        for process in running:
            await process.wait()
        for task in self._background:
            task.cancel()
        for machine in self.machines.values():
            if machine.worker is not None:
                await machine.worker.crash()
        await self._stack.aclose()
        self.record.close()

    def publish_config(self, service_of_route: dict[str, str]) -> None:
        """Publish a version; a route NAME is `/NAME/` at the host `NAME.example`."""
        self._version += 1
        routes = [
            {
                "name": f"r-{name}", "host": f"{name}.example",
                "pathPrefix": f"/{name}/", "kind": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 600, "priority": 0, "service": service,
                "retryAttempts": RETRY_ATTEMPTS, "stretch": 1.6,
            }
            for name, service in service_of_route.items()
        ]  # fmt: skip
        services = [
            {"name": name, "healthPath": "/health", "maxConnections": 64,
             "protocol": "h1", "tls": False, "enforcesCapacity": False,
             "spare": name == SPARE}
            for name in self._services
        ]  # fmt: skip
        content = {
            "version": self._version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }  # fmt: skip
        self.store.publish("keyed.op", "config", content)
        self.record.write("config", version=self._version, routes=service_of_route)

    async def begin_worker(
        self, machine: Machine, worker_id: str = "", address: str = ""
    ) -> None:
        machine.state = "up"
        if machine.pool == SPARE:
            return
        worker_id = worker_id or f"i-{next(self._ids):08x}"
        machine.worker = Worker(self, machine, worker_id)
        await machine.worker.begin(address)

    async def crash_machine(
        self, machine: Machine, down_s: float, keeps_id: bool = False
    ) -> None:
        """Crash a machine's worker; it starts again after `down_s`.

        With `keeps_id` the new life has the id and the address of the former.
        """
        worker = machine.worker
        machine.worker, machine.state = None, "down"
        if worker is None:
            return
        await worker.crash()
        if keeps_id:
            self.spawn(
                self._return(machine, down_s, worker.worker_id, worker.address)
            )
        else:
            self.spawn(self._expire(worker))
            self.spawn(self._return(machine, down_s))

    async def _expire(self, worker: Worker) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.publish("keyed.servers", worker.worker_id, None)

    async def _return(
        self, machine: Machine, after_s: float, worker_id: str = "", address: str = ""
    ) -> None:
        await asyncio.sleep(after_s)
        await self.begin_worker(machine, worker_id, address)

    def spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _handle_cloud(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path == "/machines":
            rows = [
                {
                    "machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone,
                    "labels": m.labels, "capacity": m.capacity,
                    "id": m.worker.worker_id if m.worker else None,
                }
                for m in self.machines.values()
            ]  # fmt: skip
            return answer(200, {"machines": rows, "nextPageToken": None})
        call = json.loads(body)
        machine = self.machines.get(call["machine"])
        if machine is None:
            return answer(400, {})
        if machine.state != "up":
            return answer(409, {"reason": "busy"})
        self.record.write(
            "cloud", path=request.path, call=call,
            holder=request.headers.get("X-Duty-Holder"),
            token=request.headers.get("X-Fencing-Token"),
        )  # fmt: skip
        worker, machine.worker = machine.worker, None
        is_move = request.path == "/machine-move"
        if is_move:
            machine.pool = call["pool"]
        machine.state = "moving" if is_move else "upkeep"
        if worker is not None:
            await worker.crash()
            self.spawn(self._expire(worker))
        after_s = BOUNDS["moveS"] if is_move else BOUNDS["maintenanceS"]
        self.spawn(self._return(machine, float(after_s)))
        return answer(200, {})

    async def _begin_node(self, number: int) -> None:
        ip = f"{self._net}.{number + 2}"
        front, ready, control, peer = _find_free_ports(ip, 4)
        settings = {
            "node": f"front-{number}", "role": "entry", "machineClass": "front",
            "serves": ["front"], "ip": ip, "zone": "zone-a", "region": "region",
            "zones": {"zone-a": "region"},
            "listenAddresses": {
                "front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
            },
            "internalPortRange": [peer, peer], "seeds": [], "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300,
                       "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDirectory": None, "discovery": "platform", "entry": "vip",
            "heartbeatIntervalMs": int(1000 * HEARTBEAT_S),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call", "advice": None,
            "platform": {
                "address": self.store_address, "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partitionMbS": 20.0,
                "readMbS": 80.0, "recordBytes": RECORD_BYTES, "callBytes": CALL_BYTES,
                "keep_s": 300, "partitionMb": 200, "minTtlMs": 1000,
            },
            "cloudApi": {"address": self.cloud_address, "ratePerS": 64.0, "duties": [],
                         "dutiesPerS": 64.0},
        }  # fmt: skip
        node = Node(f"front-{number}", settings)
        (self.folder / f"{node.name}.json").write_text(json.dumps(settings))
        self.nodes.append(node)
        await self.begin_process(node)

    async def begin_process(self, node: Node) -> None:
        """Start a node by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        log_path = os.environ.get("NODE_LOGS")
        output = open(f"{log_path}.{node.name}", "ab") if log_path else None
        node.process = await asyncio.create_subprocess_exec(
            sys.executable if command[0] == "python3" else command[0],
            *command[1:],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "BERGAMOTGAP_CONFIG": str(self.folder / f"{node.name}.json"),
            },
            stdout=output or asyncio.subprocess.DEVNULL,
            stderr=output or asyncio.subprocess.DEVNULL,
        )
        self.record.write("node-start", node=node.name)

    def find_owner(self, pool: str) -> Node:
        """Return the node that owns a pool, by its claim in the log."""
        claim, _ = self.store.get("keyed.owners", 0).newest[pool]
        # The claim names the address at which the owner's peers call it.
        return next(
            node for node in self.nodes if f"{node.settings['ip']}:".encode() in claim
        )

    async def kill(self, node: Node) -> None:
        if node.process is not None:
            node.process.kill()
            await node.process.wait()
        self.record.write("node-kill", node=node.name)

    async def _wait_until_ready(self) -> None:
        until_s = time.monotonic() + 20
        while time.monotonic() < until_s:
            states = [await self._is_ready(node) for node in self.nodes]
            if all(states):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRunError("the nodes are not ready after 20 s")
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(6)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.session.get(
                f"http://{node.ready}/readiness", timeout=aiohttp.ClientTimeout(1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def call(
        self, node: Node, method: str, route: str, job_id: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request; the status is 0 without an answer."""
        began_ms = self.record.now_ms()
        status, content = 0, {}
        try:
            async with self.session.request(
                method,
                f"http://{node.front}/{route}/{job_id}",
                data=None if body is None else json.dumps(body).encode(),
                headers={
                    "Host": f"{route}.example",
                    "Content-Type": "application/json",
                    "X-Request-Deadline": "3000",
                },
                timeout=aiohttp.ClientTimeout(total=3),
            ) as response:
                text = await response.read()
                status = response.status
                content = json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        self.record.write(
            "client", node=node.name, method=method, path=f"/{route}/{job_id}",
            sent_ms=began_ms, status=status, answer=content,
        )  # fmt: skip
        return status, content

    async def submit(self, route: str, job_id: str, job: Any, node: int = 0) -> None:
        """Submit a job with up to four attempts; it must be accepted."""
        for attempt in range(4):
            chosen = self.nodes[(node + attempt) % len(self.nodes)]
            status, _ = await self.call(chosen, "POST", route, job_id, job)
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f"job {job_id} was not accepted")

    async def wait_for_state(
        self, route: str, job_id: str, states: set[str], within_s: float
    ) -> str:
        """Ask for a job's state until it is one of `states`; return the last one."""
        until_s = time.monotonic() + within_s
        state = ""
        for node in itertools.cycle(self.nodes):
            status, content = await self.call(node, "GET", route, job_id)
            state = content.get("state", "") if status == 200 else f"status {status}"
            if state in states or time.monotonic() > until_s:
                return state
            await asyncio.sleep(0.5)
        return state

    def find_twice(self) -> list[str]:
        """Return how the rule TWICE was broken.

        Two runs of a task at the same time, or a start after a run has ended `done`,
        if that end is taken note of then or later: `ackedThrough` has reached it, and
        the worker's lease has not lapsed between the two.
        """
        found = []
        now_ms = self.record.now_ms()
        for task, rows in self.runs.items():
            for one, other in itertools.permutations(rows, 2):
                ended_ms = one["ended_ms"] if one["ended_ms"] is not None else now_ms
                if one["began_ms"] <= other["began_ms"] < ended_ms:
                    found.append(f"{task}: runs {one['run']} and {other['run']} at once")
                elif (
                    one["how"] == "done"
                    and other["began_ms"] > ended_ms
                    and one["acked_ms"] is not None
                ):
                    found.append(
                        f"{task}: run {other['run']} began at {other['began_ms']} after"
                        f" run {one['run']} was done at {ended_ms}, which was taken note"
                        f" of at {one['acked_ms']}"
                    )
        return found


class CannotRunError(Exception):
    """The case could not run."""


def _find_free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def play(case: Any) -> None:
    """Run a case, a coroutine that returns what broke, and exit as the review asks."""

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # The scene then ends the processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return list(await asyncio.wait_for(case(), 110))

    try:
        found = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    for line in found[:10]:
        print(line)
    print(f"broken: {len(found)}" if found else "held")
    raise SystemExit(1 if found else 0)
