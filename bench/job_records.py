"""What an owner appends to the log while one job of many small tasks runs."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace

from bench.figures import Figure
from bergamotgap.domain.fleet import JobPhase, Size, StepSpec
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import Fence, KeyedRecord
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import CONFIG, FakeOrders, build_job, build_worker
from stand_ins.virtual_time import LoopClock, run_virtual

TASKS = (100, 1000, 100_000)
WORKERS = 12
RUN_S = 2.0
# A record of the platform's log has this many bytes at most.
RECORD_BYTES = 262_144


class CountingStore(FakeStore):
    """Count what is appended; `largest` is the largest record."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = self.largest = 0

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append records, as specified by `Store`."""
        sizes = [len(record.key) + len(record.value or b"") for record in records]
        self.bytes += sum(sizes)
        self.largest = max(self.largest, *sizes, 0)
        return await super().append(
            topic, part, records, expected_end=expected_end, fence=fence
        )


async def _run_job(store: CountingStore, tasks: int) -> None:
    clock = LoopClock()
    capacity = Size(64_000, 256_000, 0)
    infos = {
        f"w{number}": replace(build_worker(number), capacity=capacity)
        for number in range(1, WORKERS + 1)
    }
    workers = {name: FakeWorker(info, RUN_S) for name, info in infos.items()}
    pool = Pool(
        "previews",
        Term(1, 1, is_former_owner_stopped=True),
        store,
        ("keyed.jobs", 0),
        FakeOrders(workers),
        SETTINGS,
        clock,
        LogConfirmation(clock.monotonic_ms, lambda: False, lambda: True),
        lambda _: None,
    )
    step = StepSpec(count=tasks, cpu=100, estimated_ms=int(RUN_S * 1000))
    async with pool:
        pool.update_config(CONFIG)
        pool.update_workers(infos)
        await pool.submit(build_job(steps=(step,)))
        while pool.job_table.get_durable_phase("job-1") is not JobPhase.COMPLETED:
            await asyncio.sleep(0.1)


def main() -> list[Figure]:
    """Run the benchmark."""
    figures = []
    for tasks in TASKS:
        store = CountingStore()
        began = time.process_time()
        run_virtual(_run_job(store, tasks))
        name = f"job records, {tasks:,} tasks"
        figures += [
            Figure(f"{name}: largest", store.largest, "B", RECORD_BYTES),
            Figure(f"{name}: appended in all", store.bytes, "B"),
            Figure(f"{name}: appends", store.appends, "calls"),
            Figure(
                f"{name}: processor time",
                time.process_time() - began,
                "s",
                note="stand-ins included",
            ),
        ]
    return figures
