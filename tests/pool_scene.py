"""Test scene: a log, workers, and the owners of one pool."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.run_audit import Disagreement, find_disagreements
from bergamotgap.ports.fleet import AdviceService, Tickets
from stand_ins.outages import LapsedEntries
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import CONFIG, FakeOrders, build_worker
from stand_ins.virtual_time import LoopClock

PARTITION = ("keyed.jobs", 0)


ADVISED_CONFIG = dataclasses.replace(
    CONFIG, queues=(dataclasses.replace(CONFIG.queues[0], needs_advice=True),)
)


def find_pool_disagreements(pool: Pool) -> list[Disagreement]:
    """Return where the jobs, the runs that may exist and the links disagree."""
    tracker = pool.run_tracker
    found = find_disagreements(pool.job_table, tracker.links, tracker.possible_runs)
    return list(found)


class FakeAdvice:
    """Return a ticket for one worker only, valid for 3 s."""

    def __init__(self) -> None:
        self.calls = 0

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        await asyncio.sleep(0.1)
        self.calls += 1
        return Tickets({"w2": f"ticket-{task.step}"}, 3000)


class Scene:
    """A log, workers, and the owners that a test starts."""

    def __init__(self, workers: int = 3, run_s: float = 0.5) -> None:
        self.store = FakeStore()
        self.clock = LoopClock()
        self.infos = {f"w{n}": build_worker(n) for n in range(1, workers + 1)}
        self.workers = {
            name: FakeWorker(info, run_s) for name, info in self.infos.items()
        }
        self.is_confirmed = True
        self.is_log_down_for_all = False
        self.is_list_complete = True
        self.advice: AdviceService | None = None
        self.orders_class = FakeOrders
        self.settings = SETTINGS
        self.lapsed_entries = LapsedEntries(self.publish_entries)
        self.store.on_return = lambda outage_s: self.lapsed_entries.lapse(
            self.infos, outage_s
        )
        self._running_pools: list[Pool] = []

    def list_entries(self) -> dict[str, WorkerInfo]:
        """Return the workers that the store lists, by id."""
        return {
            name: info
            for name, info in self.infos.items()
            if not self.lapsed_entries.is_missing(name)
        }

    def publish_entries(self) -> None:
        """Let the owners read the list of workers."""
        for pool in self._running_pools:
            pool.update_workers(self.list_entries())

    @asynccontextmanager
    async def run_owner(
        self,
        token: int,
        term_number: int = 1,
        is_former_owner_stopped: bool = True,
        **term: bool,
    ) -> AsyncIterator[tuple[Pool, FakeOrders]]:
        """Run an owner of the pool until the context ends.

        Its jobs and its workers' runs must agree then.
        """
        orders = self.orders_class(self.workers)
        self.confirmation_lost_ms = self.clock.monotonic_ms()

        def get_confirmed_ms() -> int:
            return (
                self.clock.monotonic_ms()
                if self.is_confirmed
                else self.confirmation_lost_ms
            )

        pool = Pool(
            "previews",
            Term(token, term_number, is_former_owner_stopped, **term),
            self.store,
            PARTITION,
            orders,
            self.settings,
            self.clock,
            LogConfirmation(
                get_confirmed_ms,
                lambda: self.is_log_down_for_all,
                lambda: self.is_list_complete,
            ),
            lambda _: None,
            self.advice,
        )
        async with pool:
            pool.update_config(ADVISED_CONFIG if self.advice else CONFIG)
            pool.update_workers(self.list_entries())
            self._running_pools.append(pool)
            try:
                yield pool, orders
            finally:
                self._running_pools.remove(pool)
            found = find_pool_disagreements(pool)
            assert not found, found

    def count_starts(self) -> dict[object, int]:
        """Return the number of starts of each task."""
        counts: dict[object, int] = {}
        for worker in self.workers.values():
            for task, _ in worker.starts:
                counts[task] = counts.get(task, 0) + 1
        return counts
