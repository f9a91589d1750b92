"""Tasks of a worker stand-in: run time, leases, slots and results."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from stand_ins.bodies import OrderBody

THROTTLED_SPEED_FACTOR = 0.5
SLOT_POLL_INTERVAL_MS = 20


def _monotonic_ms() -> float:
    return time.monotonic() * 1000


@dataclass
class Task:
    """A task that the worker knows of.

    `state` is running, done, failed, stopped, refused, or lost (ended by a reboot).
    """

    state: str
    task_id: str = ""
    epoch: int = 0
    entry: str = ""
    urgency: str = ""
    body: bytes = b""
    size: int = 0
    remaining_ms: float = 0
    speed: float = 1.0
    lease_ms: int = 0
    lease_until_ms: float = 0
    paused_until_ms: float = 0
    holds_slot: bool = False
    fails: bool = False
    cpus: float = 0.0
    memory_mb: int = 0
    has_result: bool = False
    usage: list[tuple[float, float, int]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def record_usage(self) -> None:
        """Add a sample of the present usage; samples are reported with a lag."""
        self.usage.append((_monotonic_ms(), self.cpus * self.speed, self.memory_mb))

    def find_usage(self, lag_ms: int) -> tuple[float | None, int | None]:
        """Return CPUs and megabytes used `lag_ms` ago, None if it had not started."""
        limit_ms = _monotonic_ms() - lag_ms
        known = [item for item in self.usage if item[0] <= limit_ms]
        return known[-1][1:] if known else (None, None)

    @property
    def was_started(self) -> bool:
        """Return whether the task was ever started."""
        return self.state != "refused"


class TaskTable:
    """All tasks of a worker; keeps the results of the last `results_kept` done ones."""

    def __init__(self, results_kept: int) -> None:
        self.results_kept = results_kept
        self._tasks: dict[str, Task] = {}
        self._running: dict[str, Task] = {}
        self._with_result: deque[Task] = deque()
        self._runners: set[asyncio.Task[None]] = set()

    def get(self, task_id: str) -> Task | None:
        """Return a task, or None if it is unknown."""
        return self._tasks.get(task_id)

    def list_running(self) -> list[tuple[str, Task]]:
        """Return ids and tasks that are running, including paused ones."""
        return list(self._running.items())

    def refuse(self, task_id: str) -> None:
        """Mark an unknown task as refused, so that it never starts."""
        self._tasks.setdefault(task_id, Task(state="refused"))

    @property
    def busy_slots(self) -> int:
        """Return the number of slots in use."""
        return sum(task.holds_slot for task in self._running.values())

    @property
    def usage(self) -> tuple[float, int]:
        """Return the CPUs and megabytes in use."""
        holding = [task for task in self._running.values() if task.holds_slot]
        cpus = sum(task.cpus * task.speed for task in holding)
        return cpus, sum(task.memory_mb for task in holding)

    def start(self, task_id: str, task: Task, order: OrderBody, slots: int) -> None:
        """Start a task; the caller has checked that a slot is free."""
        size = order.result_bytes
        task.size = len(task.body) if size is None else size
        task.holds_slot = True
        task.task_id = task_id
        task.record_usage()
        self._tasks[task_id] = task
        self._running[task_id] = task
        self.renew(task)
        runner = asyncio.create_task(self._run(task, slots))
        self._runners.add(runner)
        runner.add_done_callback(self._runners.discard)

    def renew(self, task: Task) -> None:
        """Renew the lease of a task for its full duration."""
        task.lease_until_ms = _monotonic_ms() + task.lease_ms
        task.changed.set()

    def throttle(self, task: Task) -> None:
        """Slow a task down to half its speed and half its CPUs."""
        task.speed = THROTTLED_SPEED_FACTOR
        task.record_usage()
        task.changed.set()

    def checkpoint(self, task: Task, pause_ms: int) -> None:
        """Pause a task: free its slot; after `pause_ms` it resumes in a free slot."""
        task.holds_slot = False
        task.paused_until_ms = _monotonic_ms() + pause_ms
        task.changed.set()

    def stop(self, task: Task) -> None:
        """Stop a running task."""
        self._end(task, "stopped")

    def stop_paused(self, epoch: int) -> None:
        """Stop paused tasks of other epochs, which must not resume in another pool."""
        for task in list(self._running.values()):
            if not task.holds_slot and task.epoch != epoch:
                self._end(task, "stopped")

    def forget_all(self) -> None:
        """End all running tasks as lost and forget every task, as a reboot does."""
        for task in list(self._running.values()):
            self._end(task, "lost")
        self._tasks.clear()
        self._with_result.clear()

    def _end(self, task: Task, state: str) -> None:
        if task.state != "running":
            return
        task.state = state
        del self._running[task.task_id]
        task.holds_slot = False
        task.has_result = state == "done"
        if task.has_result:
            self._with_result.append(task)
        while len(self._with_result) > self.results_kept:
            dropped = self._with_result.popleft()
            dropped.has_result = False
            dropped.body = b""
        task.changed.set()
        task.ended.set()

    async def _run(self, task: Task, slots: int) -> None:
        while task.state == "running":
            now_ms = _monotonic_ms()
            if task.remaining_ms <= 0:
                self._end(task, "failed" if task.fails else "done")
            elif now_ms >= task.lease_until_ms:
                self._end(task, "stopped")
            elif task.holds_slot:
                await self._run_until_change(task)
            elif now_ms >= task.paused_until_ms and self.busy_slots < slots:
                task.holds_slot = True
            else:
                await _wait_for_change(task, SLOT_POLL_INTERVAL_MS)

    async def _run_until_change(self, task: Task) -> None:
        begun_ms, speed = _monotonic_ms(), task.speed
        lease_ms = task.lease_until_ms - begun_ms
        await _wait_for_change(task, min(lease_ms, task.remaining_ms / speed))
        task.remaining_ms -= (_monotonic_ms() - begun_ms) * speed


async def _wait_for_change(task: Task, limit_ms: float) -> None:
    task.changed.clear()
    try:
        await asyncio.wait_for(task.changed.wait(), limit_ms / 1000)
    except TimeoutError:
        return
