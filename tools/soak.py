"""Soak test: random faults against real nodes on a stand-in of the users' platform.

    python -m tools.soak --seed 7 --seconds 60

Faults: crowds of clients that don't behave; node processes are killed, frozen and
terminated; links to the log are reset or silenced; the log goes down; answers of the
log and of workers are lost; workers crash.
Exits with 1 and prints its findings if an accepted job was not completed, a task ran
twice at the same time, a job ran although every attempt to submit it was refused, or a
worker ran more than its capacity allows.
"""

import asyncio
import itertools
import json
import multiprocessing
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer

from bergamotgap.domain.fleet import TaskId
from stand_ins.crowd_clients import ID, Target
from stand_ins.crowds import run_named_crowd
from stand_ins.link import Link
from stand_ins.users_platform import SPARE_POOL, UsersPlatform
from tools.fleet_plan import pick_ports

POOLS = {"previews": 3, "audits": 3, SPARE_POOL: 3}
NODE_COUNT = 3
RUN_S = 0.4
STEP_SPEC: dict[str, Any] = {
    "count": 3,
    "cpu": 1500,
    "requestedMemoryMb": 100,
    "estimatedMs": 400,
}
STEP_SPECS = [STEP_SPEC, {**STEP_SPEC, "after": [0]}]
COMPLETION_TIMEOUT_S = 40.0
# Attempts to submit a job under one id, as many as the users' callers make.
MAX_ATTEMPTS = 5
ROOT = Path(__file__).resolve().parent.parent
# A crowd runs in a process of its own, so that it doesn't delay the platform.
CONTEXT = multiprocessing.get_context("spawn")
CROWD_SIZE = 60
NODE_LIMITS = {"memoryMb": 160, "fileDescriptors": 512}


@dataclass
class Node:
    """A node process with its settings file and its own link to the log."""

    name: str
    config_path: Path
    caller_address: str
    link: Link
    process: asyncio.subprocess.Process | None = None


# Loopback addresses of the nodes of this process.
SOAK_BLOCK = f"{1 + os.getpid() // 254 % 254}.{1 + os.getpid() % 254}"


@dataclass
class CallerRecord:
    """What callers were answered, and the faults that were injected."""

    accepted: set[str] = field(default_factory=set)
    # Ids of jobs of which every attempt was refused, so that they must not run.
    refused: set[str] = field(default_factory=set)
    answers: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)


class Soak:
    """The nodes and the platform of one soak test."""

    def __init__(self, seed: int, seconds: float, logs: Path | None = None) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._logs_directory = logs
        self._stack = AsyncExitStack()
        self._platform = UsersPlatform(POOLS, RUN_S, seed)
        self._nodes: list[Node] = []
        self.record = CallerRecord()

    async def run(self) -> list[str]:
        """Run the test; return the violations that were found."""
        async with self._stack:
            await self._stack.enter_async_context(self._platform)
            folder = self._logs_directory
            if folder is None:
                created = self._stack.enter_context(tempfile.TemporaryDirectory())
                folder = Path(created)
            for number in range(NODE_COUNT):
                await self._add_node(number, folder)
            self._stack.push_async_callback(self._end_nodes)
            await asyncio.gather(*(self._start(node) for node in self._nodes))
            async with aiohttp.ClientSession() as self._session:
                await asyncio.sleep(5)
                callers = asyncio.create_task(self._run_callers())
                await self._run_faults()
                await self._restore_links()
                await callers
                states = await self._wait_for_completion()
        return self._find_violations(states)

    async def _add_node(self, number: int, folder: Path) -> None:
        link = Link(self._platform.log_server.address)
        await self._stack.enter_async_context(link)
        front, ready, peer = pick_ports(3)
        settings = {
            "node": f"n{number}",
            "zone": "dc-1",
            # Each node needs its own IP address for its peers and its metrics, also
            # beside another soak on this machine.
            "ip": f"127.{SOAK_BLOCK}.{number + 2}",
            "listenAddresses": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
            },
            "internalPortRange": [peer, peer],
            "limits": NODE_LIMITS,
            "platform": {"address": link.address},
            "cloudApi": {"address": self._platform.host_server.address},
        }
        path = folder / f"n{number}.json"
        path.write_text(json.dumps(settings))
        self._nodes.append(Node(f"n{number}", path, f"127.0.0.1:{front}", link))

    async def _start(self, node: Node) -> None:
        output = (node.config_path.with_suffix(".log")).open("ab")
        node.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bergamotgap",
            "join",
            env={
                "BERGAMOTGAP_CONFIG": str(node.config_path),
                "PYTHONPATH": str(ROOT / "src"),
            },
            stdout=output,
            stderr=output,
        )

    async def _end_nodes(self) -> None:
        for node in self._nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()

    async def _run_callers(self) -> None:
        calls = []
        for number in range(int(self._seconds * 3)):
            pool = self._rng.choice([pool for pool in POOLS if pool != SPARE_POOL])
            calls.append(asyncio.create_task(self._submit(f"{number:016x}", pool)))
            await asyncio.sleep(1 / 3)
        await asyncio.gather(*calls)

    async def _submit(self, job_id: str, pool: str) -> None:
        statuses: list[int] = []
        for _ in range(MAX_ATTEMPTS):
            node = self._rng.choice(self._nodes)
            status = await self._call("POST", node, pool, job_id)
            self.record.answers[status] += 1
            statuses.append(status)
            if status == 200:
                self.record.accepted.add(f"{pool}/{job_id}")
                return
            await asyncio.sleep(0.3)
        if all(status in (429, 503) for status in statuses):
            self.record.refused.add(job_id)

    async def _call(self, method: str, node: Node, pool: str, job_id: str) -> int:
        body = json.dumps({"specification": "soak", "steps": STEP_SPECS})
        try:
            async with self._session.request(
                method,
                f"http://{node.caller_address}/{pool}/{job_id}",
                data=body if method == "POST" else None,
                headers={"Host": f"{pool}.example", "X-Request-Deadline": "3000"},
                timeout=aiohttp.ClientTimeout(total=3.5),
            ) as response:
                text = await response.text()
                if method == "GET" and response.status == 200:
                    return 200 if json.loads(text)["state"] == "completed" else 202
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _run_faults(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._seconds
        faults = [
            self._kill,
            self._freeze,
            self._terminate,
            self._cut_link,
            self._silence_link,
            self._stop_log,
            self._lose_log_answers,
            self._lose_worker_answers,
            self._crash_worker,
            self._restart_worker,
            self._send_crowd,
        ]
        while loop.time() < until_s:
            fault = self._rng.choice(faults)
            self.record.faults[fault.__name__.strip("_")] += 1
            await fault(self._rng.choice(self._nodes), self._rng.uniform(0.3, 4.0))
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))

    async def _kill(self, node: Node, duration_s: float) -> None:
        assert node.process is not None
        node.process.kill()
        await node.process.wait()
        await asyncio.sleep(duration_s / 2)
        await self._start(node)

    async def _terminate(self, node: Node, duration_s: float) -> None:
        assert node.process is not None
        node.process.terminate()
        try:
            await asyncio.wait_for(node.process.wait(), 8)
        except TimeoutError:
            node.process.kill()
        await self._start(node)

    async def _freeze(self, node: Node, duration_s: float) -> None:
        assert node.process is not None
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        node.process.send_signal(signal.SIGCONT)

    async def _cut_link(self, node: Node, duration_s: float) -> None:
        node.link.cut()
        await asyncio.sleep(duration_s)
        node.link.restore()

    async def _silence_link(self, node: Node, duration_s: float) -> None:
        node.link.silence()

    async def _stop_log(self, node: Node, duration_s: float) -> None:
        self._platform.log.is_down = True
        await asyncio.sleep(duration_s)
        self._platform.log.is_down = False

    async def _lose_log_answers(self, node: Node, duration_s: float) -> None:
        self._platform.log.answer_loss_rate = 0.3
        await asyncio.sleep(duration_s)
        self._platform.log.answer_loss_rate = 0.0

    async def _lose_worker_answers(self, node: Node, duration_s: float) -> None:
        workers = [host.worker for host in self._platform.hosts.values() if host.worker]
        for worker in workers:
            worker.answer_loss_rate = 0.1
        await asyncio.sleep(duration_s)
        for worker in workers:
            worker.answer_loss_rate = 0.0

    async def _crash_worker(self, node: Node, duration_s: float) -> None:
        self._platform.crash_worker(
            self._rng.choice(list(self._platform.hosts.values()))
        )

    async def _restart_worker(self, node: Node, duration_s: float) -> None:
        self._platform.restart_worker(
            self._rng.choice(list(self._platform.hosts.values())), duration_s
        )

    async def _send_crowd(self, node: Node, duration_s: float) -> None:
        """Let clients that don't behave call a node, each in a way of its own."""
        path = f"/previews/{ID}"
        target = Target(
            node.caller_address, f"POST {path} HTTP/1.1", "previews.example"
        )
        over = CONTEXT.Event()
        crowd = CONTEXT.Process(
            target=run_named_crowd, args=(target, "mix", CROWD_SIZE, over)
        )
        crowd.start()
        await asyncio.sleep(duration_s)
        over.set()
        await asyncio.to_thread(crowd.join)

    async def _restore_links(self) -> None:
        for node in self._nodes:
            node.link.restore()

    async def _wait_for_completion(self) -> dict[str, int]:
        """Query the accepted jobs until all are completed or the timeout has passed."""
        until_s = asyncio.get_running_loop().time() + COMPLETION_TIMEOUT_S
        states = dict.fromkeys(self.record.accepted, 0)
        while asyncio.get_running_loop().time() < until_s:
            open_jobs = [name for name, status in states.items() if status != 200]
            if not open_jobs:
                break
            for name in open_jobs:
                pool, job_id = name.split("/")
                node = self._rng.choice(self._nodes)
                states[name] = await self._call("GET", node, pool, job_id)
            await asyncio.sleep(0.5)
        return states

    def _find_violations(self, states: dict[str, int]) -> list[str]:
        violations = [
            f"lost: {name} {code}" for name, code in states.items() if code != 200
        ]
        for worker in self._platform.workers:
            if worker.most_running * STEP_SPEC["cpu"] > worker.info.capacity.cpu:
                violations.append(f"above capacity: {worker.info.worker_id}")
        runs: dict[TaskId, list[tuple[float, float, str]]] = {}
        for worker in self._platform.workers:
            for task, began_s, ended_s in worker.run_intervals:
                span = (began_s, ended_s, worker.info.worker_id)
                runs.setdefault(task, []).append(span)
        for task, spans in runs.items():
            spans.sort()
            for earlier, later in itertools.pairwise(spans):
                if later[0] < earlier[1]:
                    violations.append(f"twice at once: {task} {earlier} {later}")
            if task.job in self.record.refused:
                violations.append(f"refused but ran: {task}")
        return violations


def main(
    seed: Annotated[
        int, typer.Option(help="seed of faults, callers and lost answers")
    ] = 1,
    seconds: Annotated[float, typer.Option(help="duration of fault injection")] = 60.0,
    logs: Annotated[
        Path | None, typer.Option(help="directory that keeps the logs")
    ] = None,
) -> None:
    """Run nodes under random faults and check what the workers ran."""
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, seconds, logs)
    violations = asyncio.run(soak.run())
    record = soak.record
    typer.echo(
        f"seed {seed}: {len(record.accepted)} accepted, {len(record.refused)} refused"
    )
    typer.echo(f"answers {dict(record.answers)}")
    typer.echo(f"faults {dict(record.faults)}")
    for finding in violations:
        typer.echo(finding)
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
