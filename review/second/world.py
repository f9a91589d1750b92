"""Stand-ins of the platform for the cases of the second review.

One process holds the store, the machines, the workers and the clients, so that one
clock orders all that was sent, answered and run. The system's nodes run as processes of
their own, started with the command of the deploy file. Everything listens on loopback.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_MS = 3.0
PARTITION_MB_S = 20.0
ANSWER_S = 0.004
HEARTBEAT_S = 1.5
# From the start of a later life to its entry (`lag_ms` of the site files).
ENTRY_LAG_S = 0.8
MAX_HOLD_MS = 10_000
STOP_S = 0.15
MOVE_S = 1.5
UPKEEP_S = 2.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": MAX_HOLD_MS,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remotePenalty": 1.5,
    "checkpointIntervalS": 2,
    "restoreMs": 100,
    "noticeMs": 4500,
    "moveS": MOVE_S,
    "maintenanceS": UPKEEP_S,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


def answer(status, content=None):
    """Return a response with a JSON body, or without one."""
    if content is None:
        return web.Response(status=status)
    body = json.dumps(content).encode()
    return web.Response(status=status, body=body, content_type="application/json")


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._zero = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._zero

    def line(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        """Write what is left."""
        self._file.close()


async def serve(handle, host="127.0.0.1", port=0):
    """Serve a handler, on a free port by default; return the runner and the address."""
    server = web.Server(handle, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    address = "{}:{}".format(*runner.addresses[0][:2])
    return runner, address


class Partition:
    """Records as (key, value or None), and the state of each producer."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.free_at = 0.0
        self.changed = asyncio.Event()


class Store:
    """The platform's store.

    `slow` multiplies its times. `is_down` answers 503 to all. `refused` holds what the
    store answered other than with success.
    """

    def __init__(self, record):
        self._record = record
        self._parts = {}
        self._members = {}
        self._member_parts = {}
        self._generation = 1
        self.slow = 1.0
        self.is_down = False
        self.too_large = 0
        self.on_append = lambda topic, part, keys: None

    def part(self, topic, number):
        """Return a partition, created on first use."""
        return self._parts.setdefault((topic, number), Partition())

    def put(self, topic, key, content, number=0):
        """Write a record, as the operator or a worker does."""
        value = None if content is None else json.dumps(content).encode()
        self._write(self.part(topic, number), [(key, value)])

    def get(self, topic, key):
        """Return the newest value of a key."""
        return self.part(topic, 0).newest.get(key)

    def _write(self, part, records):
        offset = len(part.records)
        for key, value in records:
            if value is None:
                part.newest.pop(key, None)
            else:
                part.newest[key] = (value, len(part.records))
            part.records.append((key, value))
        part.changed.set()
        part.changed = asyncio.Event()
        return offset

    async def handle(self, request):
        """Answer one call."""
        body = await request.read()
        if self.is_down:
            return answer(503)
        name = request.path.removeprefix("/log-").replace("-", "_")
        call = getattr(self, "call_" + name, None)
        if call is None:
            return answer(404)
        await asyncio.sleep(ANSWER_S * self.slow / 2)
        if self.is_down:
            return answer(503)
        response = await call(request.query, body)
        await asyncio.sleep(ANSWER_S * self.slow / 2)
        return response

    async def call_append(self, query, body):
        """Append all records or none."""
        part = self.part(query["topic"], int(query["part"]))
        records, position = [], 0
        if len(body) > CALL_BYTES + 4096:
            return answer(400, {"reason": "callBytes"})
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            if length > RECORD_BYTES:
                self.too_large += 1
                key = content[1 : 1 + content[0]].decode()
                self._record.line(
                    f"store refuses a record of {length} bytes (recordBytes is "
                    f"{RECORD_BYTES}): key {key}"
                )
                return answer(400, {"reason": "recordBytes"})
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            records.append((key, value or None))
            position += 4 + length
        now = time.monotonic()
        if part.free_at - now > 2.0:
            return answer(503)
        took = APPEND_MS / 1000 * self.slow + len(body) / PARTITION_MB_S / 1e6
        part.free_at = max(now, part.free_at) + took
        await asyncio.sleep(part.free_at - now)
        if "at" in query and int(query["at"]) != len(part.records):
            return answer(412, {"end": len(part.records)})
        if "producer" in query:
            refusal = self._check_producer(part, query)
            if refusal is not None:
                return refusal
        offset = self._write(part, records) if records else len(part.records)
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            part.producers[query["producer"]][2][sequence] = offset
            part.producers[query["producer"]][1] = sequence
            assert part.producers[query["producer"]][0] == epoch
        self.on_append(query["topic"], int(query["part"]), [k for k, _ in records])
        return answer(200, {"offset": offset, "end": len(part.records)})

    def _check_producer(self, part, query):
        name, epoch = query["producer"], int(query["epoch"])
        sequence = int(query["sequence"])
        known = part.producers.get(name)
        if known is None or epoch > known[0]:
            part.producers[name] = [epoch, sequence - 1, {}]
            return None
        if epoch < known[0]:
            return answer(409, {"reason": "fenced"})
        if sequence in list(known[2])[-5:]:
            return answer(200, {"offset": known[2][sequence], "end": len(part.records)})
        if sequence != known[1] + 1:
            return answer(409, {"reason": "seq", "expected": known[1] + 1})
        return None

    async def call_read(self, query, body):
        """Return records from an offset on, waiting for the first."""
        part = self.part(query["topic"], int(query["part"]))
        start, until = int(query["from"]), time.monotonic()
        until += min(30_000, int(query.get("waitMs", 0))) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await part.changed.wait()
            except TimeoutError:
                break
        chunks = [struct.pack(">QQ", len(part.records), 0)]
        size, most = 0, int(query.get("maxKilobytes", 1024)) * 1024
        for key, value in part.records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + (value or b"")
            size += 4 + len(content)
            if size > most and len(chunks) > 1:
                break
            chunks.append(struct.pack(">I", len(content)) + content)
        return web.Response(body=b"".join(chunks))

    async def call_newest(self, query, body):
        """Return a page of the newest values."""
        part = self.part(query["topic"], int(query["part"]))
        items, size, more = [], 0, False
        for key in sorted(part.newest):
            if key <= query.get("after", ""):
                continue
            value, offset = part.newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1_000_000):
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return answer(200, {"items": items, "more": more, "end": len(part.records)})

    async def call_join(self, query, body):
        """Join the group or keep the member in it."""
        call = json.loads(body)
        self._expire()
        is_new = call["member"] not in self._members
        until = time.monotonic() + call["ttlMs"] / 1000
        self._members[call["member"]] = until
        if is_new:
            self._generation += 1
        return answer(200, {"generation": self._generation, "parts": []})

    async def call_leave(self, query, body):
        """Leave the group."""
        if self._members.pop(json.loads(body)["member"], None) is not None:
            self._generation += 1
        return answer(200, {})

    async def call_owners(self, query, body):
        """Return the members, each with a partition."""
        self._expire()
        rows = [["nodes.0", n, name, 0] for n, name in enumerate(self._members)]
        return answer(200, {"owners": rows})

    def _expire(self):
        now = time.monotonic()
        live = {name: end for name, end in self._members.items() if end > now}
        if len(live) != len(self._members):
            self._members, self._generation = live, self._generation + 1


class Worker:
    """One life of a machine, served over HTTP; it starts whatever it is told to.

    A task runs for the milliseconds that its specification names after `ms=`. `delay_s`
    is the time that a call and its answer are on their way.
    """

    delay_s = 0.0005
    # Share of the starts that get no answer and are carried out 2 to 12 s later.
    late_share = 0.0

    def __init__(self, world, machine, service, number, former=None):
        self.world, self.machine, self.service = world, machine, service
        self.id = f"i-{number:04d}" if former is None else former.id
        self._port = 0 if former is None else int(former.address.rpartition(":")[2])
        self._entry_lag_s = 0.0 if former is None else ENTRY_LAG_S
        self.born = int(time.time() * 1000)
        self._zero = time.monotonic()
        if former is None:
            self._zero -= random.uniform(100, 9000)
        self.capacity = {"cpu": 32_000, "requestedMemoryMb": 65_536}
        self.running, self.barred, self.ended = {}, {}, []
        self.fence = self.sequence = self.lease = self.counter = 0
        self.is_up = True
        self.is_cut = False
        self.state = "ready"
        # Polls under way, which a later life may still carry out.
        self.open_polls = []
        self._changed = asyncio.Event()
        self._tasks = []
        # When the first beat after the registration is due.
        self._phase_s = random.uniform(0, HEARTBEAT_S)

    def clock(self):
        """Return the worker's time in ms."""
        return int((time.monotonic() - self._zero) * 1000)

    async def start(self):
        """Listen, and register."""
        self.runner, self.address = await serve(self.handle, port=self._port)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def end(self):
        """End with all that runs."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for name, row in list(self.running.items()):
            row[2].cancel()
            del self.running[name]
            self.world.note_end(self, name, row[0], "gone")
        await self.runner.cleanup()

    def register(self):
        """Write the worker's entry to the store."""
        self.counter += 1
        self.beat_at = time.monotonic()
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "riga-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.counter,
            "born": self.born,
            "machine": self.machine.name,
            "capacity": self.capacity,
            "labels": ["a", self.machine.rack],
        }
        if self.state == "draining":
            entry["remainingMs"] = 2000
        self.world.store.put("keyed.servers", self.id, entry)

    async def _beat(self):
        await asyncio.sleep(self._entry_lag_s)
        self.register()
        await asyncio.sleep(self._phase_s)
        while True:
            if not self.world.store.is_down and not self.is_cut:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.lease:
                for name in list(self.running):
                    self._end(name, "lapsed")

    def _end(self, name, how):
        run, _, timer, _ = self.running.pop(name)
        timer.cancel()
        self.sequence += 1
        self.barred[name] = max(self.barred.get(name, 0), run)
        self.ended.append([self.sequence, name, run, how, ""])
        self.world.note_end(self, name, run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Answer one call; a life that has ended answers nothing more."""
        if request.path == "/run-start" and random.random() < self.late_share:
            body = json.loads(await request.read())
            late_s = random.uniform(2, 12)
            loop = asyncio.get_running_loop()
            loop.call_later(
                late_s, self.world.deliver_late, self.machine, self.id, body
            )
            await asyncio.sleep(1)
            request.transport and request.transport.abort()
            return answer(503)
        is_lost = await self._wait_for_cut()
        response = answer(503) if is_lost else await self._handle_in_life(request)
        is_lost = await self._wait_for_cut() or is_lost
        if (is_lost or not self.is_up) and request.transport is not None:
            request.transport.abort()
        return response

    async def _wait_for_cut(self):
        """Return whether something is lost in a cut, once that has healed."""
        was_cut = self.is_cut
        while self.is_cut:
            await asyncio.sleep(0.05)
        return was_cut

    async def _handle_in_life(self, request):
        body = json.loads(await request.read())
        if request.headers.get("X-Expected-Instance") != self.id:
            return answer(421)
        await asyncio.sleep(self.delay_s)
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return answer(409, {"clockMs": self.clock(), "reason": "fence"})
        self.fence = token
        deadline = min(body.get("deadlineMs", 0), self.clock() + MAX_HOLD_MS)
        match request.path:
            case "/run-start":
                return self._start_run(body, deadline)
            case "/run-stop":
                return self._stop_run(body)
            case "/pace":
                return answer(200, {"clockMs": self.clock()})
            case "/hold":
                self.open_polls.append(body)
                response = await self._hold(body, deadline)
                self.open_polls.remove(body)
                return response
        return answer(404)

    def _start_run(self, body, deadline):
        name, run = body["task"], body["run"]
        if deadline <= self.clock():
            return answer(409, {"clockMs": self.clock(), "reason": "late"})
        self.lease = max(self.lease, deadline)
        live = self.running.get(name)
        if live is not None and live[0] == run:
            return answer(200, {"clockMs": self.clock()})
        if run <= self.barred.get(name, 0) or live is not None:
            return answer(409, {"clockMs": self.clock(), "reason": "old"})
        took_s = read_ms(body["specification"]) / 1000
        loop = asyncio.get_running_loop()
        timer = loop.call_later(took_s, self._end, name, "done")
        self.running[name] = [run, time.monotonic(), timer, took_s]
        self.world.note_start(self, name, run, body["specification"])
        return answer(200, {"clockMs": self.clock()})

    def _stop_run(self, body):
        name, run = body["task"], body["run"]
        self.barred[name] = max(self.barred.get(name, 0), run)
        live = self.running.get(name)
        if live is not None and live[0] <= run:
            live[2].cancel()
            loop = asyncio.get_running_loop()
            live[2] = loop.call_later(STOP_S, self._end, name, "stopped")
        return answer(200, {"clockMs": self.clock()})

    async def _hold(self, body, deadline):
        if "deadlineMs" in body and body["deadlineMs"] <= self.clock():
            return answer(409, {"clockMs": self.clock(), "reason": "late"})
        self.lease = max(self.lease, deadline)
        acked = body.get("ackedThrough", 0)
        for row in self.ended:
            if row[0] <= acked:
                self.world.note_acked(self, row)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended and body.get("waitMs"):
            try:
                async with asyncio.timeout(min(2000, body["waitMs"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if body.get("fencingToken", 0) < self.fence:
            return answer(409, {"clockMs": self.clock(), "reason": "fence"})
        now = time.monotonic()
        running = [
            [name, run, "", int(min(99, 100 * (now - began) / max(took, 0.001))), 500]
            for name, (run, began, _, took) in self.running.items()
        ]
        return answer(
            200,
            {
                "clockMs": self.clock(),
                "born": self.born,
                "running": running,
                "ended": self.ended[:500],
            },
        )


def read_ms(specification):
    """Return how long a task with this specification works."""
    for word in specification.split():
        if word.startswith("ms="):
            return int(word[3:])
    return 500


class Machine:
    """A machine with the worker that it runs."""

    def __init__(self, name, pool, rack):
        self.name, self.pool, self.rack = name, pool, rack
        self.state = "up"
        self.worker = None


class Node:
    """A process of the system."""

    def __init__(self, name, number, block, cpu_share):
        self.name, self.cpu_share = name, cpu_share
        self.ip = f"127.{block}.{number + 2}"
        self.process = None


class World:
    """The platform around the nodes, and the clients."""

    def __init__(self, folder, services, config, seed=None):
        seed = random.SystemRandom().randrange(10**6) if seed is None else seed
        random.seed(seed)
        self.record = Record(folder)
        self.record.line(f"seed {seed}")
        self.store = Store(self.record)
        self.services, self.config = services, config
        self.machines, self.nodes, self.lives = {}, [], 0
        self.workers = []
        # By task: its runs, as [worker id, run, start, end or None, how].
        self.runs = {}
        self.acked = set()
        self._temporary = tempfile.TemporaryDirectory()
        self._block = f"{random.SystemRandom().randrange(1, 250)}.{os.getpid() % 250}"
        self._tasks = set()

    async def start(self):
        """Start the platform, and publish the first configuration."""
        self._store_runner, self.store_address = await serve(self.store.handle)
        self._cloud_runner, self.cloud_address = await serve(self._handle_cloud)
        self.publish(self.config)
        number = 0
        for service, count in self.services.items():
            for _ in range(count):
                name = f"m-{number:02d}"
                machine = Machine(name, service, f"r{number % 3 + 1}-1")
                self.machines[name] = machine
                number += 1
                await self.add_worker(machine)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    def publish(self, config):
        """Write a configuration; its acknowledgement is immediate."""
        self.config = config
        self.store.put("keyed.op", "config", config)
        self.record.line(f"configuration {config['version']} acknowledged")

    async def add_worker(self, machine):
        """Start a life of a machine."""
        self.lives += 1
        worker = Worker(self, machine, machine.pool, self.lives)
        machine.worker, machine.state = worker, "up"
        self.workers.append(worker)
        await worker.start()

    async def rebirth(self, machine, down_s, late_poll_s=None):
        """Crash a machine's worker; another life starts under its id and address.

        With `late_poll_s`, a poll that got no answer is carried out as late.
        """
        former, machine.worker, machine.state = machine.worker, None, "down"
        self.record.line(f"worker {former.id} crashes")
        if late_poll_s is not None and former.open_polls:
            loop = asyncio.get_running_loop()
            body = former.open_polls[-1]
            loop.call_later(late_poll_s, self.deliver_late_poll, machine, body)
        await former.end()
        await asyncio.sleep(down_s)
        worker = Worker(self, machine, machine.pool, 0, former)
        machine.worker, machine.state = worker, "up"
        self.workers.append(worker)
        await worker.start()
        self.record.line(f"worker {worker.id} has begun another life")

    def deliver_late_poll(self, machine, body):
        """Carry out a poll that had got no answer, by the life that has the id now."""
        worker = machine.worker
        if worker is None or not worker.is_up or body["fencingToken"] < worker.fence:
            return
        worker.fence = body["fencingToken"]
        before = worker.lease
        if body.get("deadlineMs", 0) > worker.clock():
            deadline = min(body["deadlineMs"], worker.clock() + MAX_HOLD_MS)
            worker.lease = max(worker.lease, deadline)
        self.record.line(
            f"worker {worker.id} carries out a poll late: its lease lasts "
            f"{worker.lease - worker.clock()} ms, {worker.lease - before} ms more"
        )

    def deliver_late(self, machine, worker_id, body):
        """Carry out a start that had got no answer, by whatever life has the id now."""
        worker = machine.worker
        if worker is None or worker.id != worker_id or not worker.is_up:
            return
        if body["fencingToken"] < worker.fence:
            return
        worker.fence = body["fencingToken"]
        deadline = min(body["deadlineMs"], worker.clock() + MAX_HOLD_MS)
        before = worker.running.get(body["task"])
        worker._start_run(body, deadline)
        if worker.running.get(body["task"]) is not before:
            self.record.line(f"that start of {body['task']} was carried out late")

    async def crash(self, machine, down_s):
        """Crash a machine's worker; another life starts under another id."""
        former, machine.worker, machine.state = machine.worker, None, "down"
        self.record.line(f"worker {former.id} of {machine.name} crashes")
        await former.end()
        await asyncio.sleep(down_s)
        await self.add_worker(machine)
        self.record.line(f"{machine.name} is up again with {machine.worker.id}")
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
        self.store.put("keyed.servers", former.id, None)

    def lapse_entries(self):
        """Remove the entries that are silent for three heartbeat intervals."""
        limit = time.monotonic() - 3 * HEARTBEAT_S
        for worker in self.workers:
            if worker.is_up and worker.beat_at < limit:
                self.store.put("keyed.servers", worker.id, None)
                self.record.line(f"the entry of {worker.id} has lapsed")

    def run(self, work):
        """Run something beside the rest."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle_cloud(self, request):
        body = await request.read()
        await asyncio.sleep(ANSWER_S)
        if request.path == "/machines":
            rows = [
                {
                    "machine": m.name,
                    "pool": m.pool,
                    "state": m.state,
                    "zone": "riga-a",
                    "labels": ["a", m.rack],
                    "capacity": {"cpu": 32_000, "requestedMemoryMb": 65_536},
                    "id": m.worker.id if m.worker else "",
                }
                for m in self.machines.values()
            ]
            return answer(200, {"machines": rows, "nextPageToken": ""})
        call = json.loads(body)
        machine = self.machines.get(call["machine"])
        if machine is None:
            return answer(400)
        if machine.state != "up":
            return answer(409, {"reason": "busy"})
        if request.path == "/machine-upkeep":
            return answer(409, {"reason": "wave"})
        if call["pool"] == machine.pool:
            return answer(200, {})
        machine.state, machine.pool = "moving", call["pool"]
        self.record.line(f"machine {machine.name} moves to {call['pool']}")
        self.run(self._move(machine))
        return answer(200, {})

    async def _move(self, machine):
        former, machine.worker = machine.worker, None
        await former.end()
        await asyncio.sleep(MOVE_S)
        self.store.put("keyed.servers", former.id, None)
        await self.add_worker(machine)

    # Nodes

    def add_node(self, name, cpu_share=0.537, contracts=()):
        """Write the settings file of a node and start it."""
        node = Node(name, len(self.nodes), self._block, cpu_share)
        front, ready, inner = pick_ports(node.ip, 3)
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": node.ip,
            "zone": "riga-a",
            "region": "riga",
            "zones": {"riga-a": "riga"},
            "listenAddresses": {
                "front": f"{node.ip}:{front}",
                "ready": f"{node.ip}:{ready}",
            },
            "internalPortRange": [inner, inner + 1],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": cpu_share,
                "cores": 2,
                "memoryMb": 300,
                "fileDescriptors": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDirectory": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatIntervalMs": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
                *contracts,
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {
                "address": self.store_address,
                "form": "log",
                "writesPerS": 600,
                "readsPerS": 2000,
                "parts": 16,
                "appendMs": APPEND_MS,
                "partitionMbS": PARTITION_MB_S,
                "readMbS": 80.0,
                "recordBytes": RECORD_BYTES,
                "callBytes": CALL_BYTES,
                "keep_s": 300,
                "partitionMb": 200,
                "minTtlMs": 1000,
            },
            "cloudApi": {
                "address": self.cloud_address,
                "ratePerS": 64.0,
                "duties": [],
                "dutiesPerS": 64.0,
            },
        }
        folder = Path(self._temporary.name)
        node.settings = folder / f"{name}.json"
        node.settings.write_text(json.dumps(settings))
        node.front = settings["listenAddresses"]["front"]
        node.ready = settings["listenAddresses"]["ready"]
        node.log = folder / f"{name}.log"
        self.nodes.append(node)
        self.start_node(node)
        return node

    def start_node(self, node):
        """Start a node's process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self._temporary.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERGAMOTGAP_CONFIG": str(node.settings),
        }
        with open(node.log, "ab") as output:
            node.process = subprocess.Popen(
                ["python3", "deploy/start.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.line(f"node {node.name} started")

    def kill_node(self, node):
        """Kill a node's process."""
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        self.record.line(f"node {node.name} killed")

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all nodes are ready; return whether they are."""
        until = time.monotonic() + timeout_s
        for node in self.nodes:
            while True:
                try:
                    async with self.session.get(
                        f"http://{node.ready}/readiness",
                        timeout=aiohttp.ClientTimeout(total=1),
                    ) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                if time.monotonic() > until or node.process.poll() is not None:
                    return False
                await asyncio.sleep(0.1)
        return True

    def find_log(self, node, *words):
        """Return the lines of a node's log that have all words."""
        text = node.log.read_text(errors="replace")
        return [line for line in text.splitlines() if all(w in line for w in words)]

    async def stop(self):
        """End all processes and servers."""
        keep = os.environ.get("KEEP_LOGS")
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / f"{node.name}.log").write_bytes(node.log.read_bytes())
        for task in list(self._tasks):
            task.cancel()
        await self.session.close()
        for worker in self.workers:
            if worker.is_up:
                await worker.end()
        await self._store_runner.cleanup()
        await self._cloud_runner.cleanup()
        self.record.close()
        self._temporary.cleanup()

    # Clients

    async def call(self, method, node, host, path, body=None, wait_ms=3000, key=None):
        """Send one call of a client; return the status (0: no answer) and the body."""
        headers = {"Host": host, "X-Request-Deadline": str(wait_ms)}
        if key is not None:
            headers["X-Key"] = key
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        began = self.record.now()
        try:
            async with self.session.request(
                method,
                f"http://{node.front}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=wait_ms / 1000),
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, content = 0, repr(error).encode()
        self.record.line(
            f"{method} {host}{path} at {node.name}, sent {began:.3f}: {status} "
            f"{content[:80].decode(errors='replace')}"
        )
        return status, content

    # What runs

    def note_start(self, worker, name, run, specification):
        """Record that a worker has begun a run."""
        row = [worker.id, run, self.record.now(), None, ""]
        self.runs.setdefault(name, []).append(row)
        self.record.line(f"start {name} run {run} on {worker.id}")

    def note_end(self, worker, name, run, how):
        """Record that a run has ended."""
        for row in self.runs.get(name, []):
            if row[:2] == [worker.id, run] and row[3] is None:
                row[3], row[4] = self.record.now(), how
        self.record.line(f"end {name} run {run} on {worker.id}: {how}")

    def note_acked(self, worker, row):
        """Record that an end was taken note of."""
        self.acked.add((worker.id, row[1], row[2]))

    def is_running(self, prefix):
        """Return whether a run of a task whose name begins so is on a worker."""
        return any(
            row[3] is None
            for name, rows in self.runs.items()
            if name.startswith(prefix)
            for row in rows
        )


def pick_ports(ip, count):
    """Return free ports; the last one has a free one after it."""
    while True:
        base = random.SystemRandom().randrange(20_000, 30_000)
        sockets = []
        try:
            for port in range(base, base + count + 1):
                opened = socket.socket()
                sockets.append(opened)
                opened.bind((ip, port))
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
        return range(base, base + count)


def main(case):
    """Run a case, an async function of (folder, has trouble); exit with its result."""
    folder = Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(case(folder, has_trouble))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(result)
