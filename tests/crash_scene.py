"""Test scene whose workers crash under chosen tasks and return as new lives."""

import asyncio
import dataclasses
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiomisc import cancel_tasks

from bergamotgap.domain.fleet import TaskId
from bergamotgap.pools.pool import Pool
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders
from tests.pool_scene import Scene

# A task crashes its worker this long after its start.
CRASH_DELAY_S = 0.01
# The host of a crashed worker is back after this time, under a new id.
DOWN_S = 3.2
# The report of a worker that is gone stays listed for three heartbeats.
LISTED_S = 4.5
SUPERVISION_STEP_S = 0.01


class CrashScene(Scene):
    """A scene in which `is_deadly` tasks crash the workers that start them.

    Only processes crash, so that their connections are closed, if `closes_connections`.
    `crashes` has, for each deadly task, the number of starts of it at each crash, and
    `victims` the tasks that ran on each worker that crashed.
    """

    def __init__(
        self,
        is_deadly: Callable[[TaskId], bool],
        workers: int = 4,
        run_s: float = 0.5,
        closes_connections: bool = False,
    ) -> None:
        super().__init__(workers, run_s)
        self.is_deadly = is_deadly
        self.crash_delay_s = CRASH_DELAY_S
        self.down_s = DOWN_S
        for worker in self.workers.values():
            worker.closes_connections = closes_connections
        self.crashes: dict[TaskId, list[str]] = defaultdict(list)
        self.victims: list[set[TaskId]] = []
        # Jobs whose tasks end `broken` when the worker of another one crashes.
        self.gangs: set[str] = set()
        self._pools: list[Pool] = []
        self._lives = workers
        self._recoveries: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def run_owner(
        self,
        token: int,
        term_number: int = 1,
        is_former_owner_stopped: bool = True,
        **term: bool,
    ) -> AsyncIterator[tuple[Pool, FakeOrders]]:
        """Run an owner of the pool, and let its workers crash, until the end."""
        async with super().run_owner(
            token, term_number, is_former_owner_stopped, **term
        ) as (pool, orders):
            self._pools.append(pool)
            supervision = asyncio.create_task(self._crash_workers())
            try:
                yield pool, orders
            finally:
                self._pools.remove(pool)
                await cancel_tasks([supervision])

    async def _crash_workers(self) -> None:
        while True:
            await asyncio.sleep(SUPERVISION_STEP_S)
            now_s = asyncio.get_running_loop().time()
            for name, worker in list(self.workers.items()):
                for task, run in list(worker.running.items()):
                    if self.is_deadly(task) and now_s >= (
                        run.start_s + self.crash_delay_s
                    ):
                        self.crashes[task].append(name)
                        self.crash(name)
                        break

    def crash(self, name: str) -> None:
        """Crash a worker; its host returns under a new id after `down_s`."""
        worker = self.workers[name]
        self.victims.append(set(worker.running))
        broken = {task.job for task in worker.running} & self.gangs
        for other in self.workers.values():
            for task in list(other.running):
                if other is not worker and task.job in broken:
                    other.end_run(task, "broken")
        worker.crash()
        worker.is_silent = True
        recovery = asyncio.create_task(self._recover(name))
        self._recoveries.add(recovery)
        recovery.add_done_callback(self._recoveries.discard)

    async def _recover(self, name: str) -> None:
        await asyncio.sleep(self.down_s)
        former = self.workers[name]
        self._lives += 1
        info = dataclasses.replace(
            former.info,
            worker_id=f"w{self._lives}",
            incarnation_ms=former.info.incarnation_ms + self.clock.monotonic_ms(),
        )
        worker = self.workers[info.worker_id] = FakeWorker(info, former.run_s)
        worker.choose_run_s = former.choose_run_s
        worker.closes_connections = former.closes_connections
        worker.reports_full_progress = former.reports_full_progress
        self.infos[info.worker_id] = info
        self.publish_workers()
        await asyncio.sleep(max(0.0, LISTED_S - self.down_s))
        self.infos.pop(name, None)
        self.publish_workers()

    def publish_workers(self) -> None:
        """Let the owners read the list of workers."""
        for pool in self._pools:
            pool.update_workers(self.list_entries())

    def count_starts_of(self, task: TaskId) -> int:
        """Return how many workers have started a task."""
        return sum(
            started == task
            for worker in self.workers.values()
            for started, _ in worker.starts
        )
