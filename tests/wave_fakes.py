"""Workers, their orders and the host service of the scene of a maintenance wave."""

import asyncio
import dataclasses
from collections import Counter
from typing import TYPE_CHECKING

from bergamotgap.domain.fleet import (
    HostInfo,
    Size,
    StepSpec,
    TaskId,
    WorkerInfo,
)
from bergamotgap.ports.fleet import (
    Lease,
    OrderOutcome,
    OtherInstance,
    PollOutcome,
    StartOrder,
    Unanswered,
)
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders

if TYPE_CHECKING:
    from tests.wave_scene import WaveScene

POOLS = ("pool-a", "pool-b", "pool-c", "pool-d")
SPARE = "spare"
HOSTS, HOSTS_PER_RACK, WAVE_HOSTS = 180, 20, 98
WORKER_SIZE = Size(32_000, 131_072, 0)
MAINTENANCE_S, MOVE_S, STARTUP_S = 2.0, 1.5, 1.0
LONG_STEP = StepSpec(
    count=24, cpu=8000, memory_mb=30_000, is_long_running=True, max_unavailable=2
)
# Cores asked for by the queue whose turn it is, and by each other queue.
BURST_CORES, IDLE_CORES, TURN_S = 2400, 100, 4.0
TASK_CORES = 16
HOSTS_PARTITION = ("keyed.jobs", 15)


def is_long(task: TaskId) -> bool:
    """Return whether a task is of a long-running job."""
    return task.job.startswith("serve-")


class WaveWorker(FakeWorker):
    """A worker whose long-running tasks are ready after their startup."""

    def __init__(self, info: WorkerInfo) -> None:
        super().__init__(info)
        self.changed = asyncio.Event()

    def get_percent(self, run: object) -> int:
        now_s = asyncio.get_running_loop().time()
        passed = now_s - run.start_s  # type: ignore[attr-defined]
        return int(min(1.0, passed / STARTUP_S) * 100)

    def end_run(self, task: TaskId, outcome: str, ended_s: float | None = None) -> None:
        super().end_run(task, outcome, ended_s)
        self.changed.set()


class WaveOrders(FakeOrders):
    """Orders whose polls wait for a change, and that check the limits of steps.

    A worker answers only the pool that its host is in.
    """

    def __init__(self, scene: "WaveScene") -> None:
        super().__init__(scene.workers)  # type: ignore[arg-type]
        self._scene = scene

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        worker = self._scene.workers[info.worker_id]
        if info.service != worker.info.service:
            return OtherInstance()
        outcome = await super().start(info, order, lease)
        worker.changed.set()
        return outcome

    async def stop(
        self, info: WorkerInfo, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        worker = self._scene.workers[info.worker_id]
        if info.service != worker.info.service:
            return OtherInstance()
        if is_long(task) and task in worker.running and not worker.is_silent:
            self._scene.check_limit(task, "stop")
        return await super().stop(info, task, run, token)

    async def poll(
        self, info: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        self.poll_count += 1
        worker = await self._contact_worker(info)
        if worker is None:
            return Unanswered(was_sent=True)
        assert isinstance(worker, WaveWorker)
        if info.service != worker.info.service:
            return OtherInstance()
        if refusal := worker.begin_poll(lease, acked_through):
            return refusal
        until_s = asyncio.get_running_loop().time() + wait_ms / 1000
        while not worker.ended and not worker.is_silent:
            now_s = asyncio.get_running_loop().time()
            next_s = min((run.end_s for run in worker.running.values()), default=1e9)
            if now_s >= until_s:
                break
            worker.changed.clear()
            try:
                async with asyncio.timeout(min(until_s, next_s) - now_s + 0.001):
                    await worker.changed.wait()
            except TimeoutError:
                pass
            worker.end_due_runs()
        if worker.is_silent:
            await asyncio.sleep(0.5)
            return Unanswered(was_sent=True)
        return worker.end_poll(lease)


class FakeMachines:
    """The machine service: moves take 1.5 s, maintenance 2 s; each ends all runs."""

    def __init__(self, scene: "WaveScene") -> None:
        self._scene = scene
        self.pools = {
            host: POOLS[n % 4] if n % 9 else SPARE
            for n, host in enumerate(scene.host_names)
        }
        self.states = dict.fromkeys(scene.host_names, "up")
        self.unlisted: set[str] = set()
        self.begun: dict[str, float] = {}
        self.most_in_maintenance = 0
        self.maintenances: Counter[str] = Counter()
        self.moves = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        await asyncio.sleep(0.01)
        return tuple(
            HostInfo(host, pool, self.states[host], f"w-{host}", "dc-1", 32_000)
            for host, pool in self.pools.items()
            if host not in self.unlisted
        )

    async def move(self, host: str, pool: str, token: int) -> str:
        await asyncio.sleep(0.01)
        if self.states[host] != "up":
            return "busy"
        self._scene.check_host(host, "move")
        self.moves += 1
        self._take_down(host, "moving", MOVE_S, pool)
        return ""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        await asyncio.sleep(0.01)
        if self.states[host] != "up":
            return "busy"
        self._scene.check_host(host, "maintenance")
        self.begun.setdefault(host, asyncio.get_running_loop().time())
        self.maintenances[host] += 1
        self._take_down(host, "upkeep", MAINTENANCE_S)
        in_maintenance = sum(state == "upkeep" for state in self.states.values())
        self.most_in_maintenance = max(self.most_in_maintenance, in_maintenance)
        return ""

    def crash(self, host: str, duration_s: float) -> None:
        """Take a host down without an order."""
        self._take_down(host, "down", duration_s)

    def _take_down(
        self, host: str, state: str, duration_s: float, pool: str = ""
    ) -> None:
        self.states[host] = state
        worker = self._scene.workers[f"w-{host}"]
        worker.crash()
        worker.is_silent = True
        worker.changed.set()
        task = asyncio.create_task(self._return(host, state, duration_s, pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _return(
        self, host: str, state: str, duration_s: float, pool: str
    ) -> None:
        await asyncio.sleep(duration_s)
        if self.states[host] != state:
            return
        self.states[host] = "up"
        self.pools[host] = pool or self.pools[host]
        worker = self._scene.workers[f"w-{host}"]
        worker.info = dataclasses.replace(
            worker.info, service=self.pools[host], incarnation_ms=worker.now_ms()
        )
        worker.ended, worker.barred_runs = [], {}
        worker.highest_token = worker.last_sequence = 0
        worker.is_silent = False
