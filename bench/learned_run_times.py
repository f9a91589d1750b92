"""Simulate one pool whose declared run times are off, in virtual time.

Each task takes between half and one and a half times its declared time, and 3 of 100
take seven times as long. Owner and placement are the product's code. The policies
differ in the expected time of a step, by which rank and lateness are judged:

    python -m bench.learned_run_times
"""

import asyncio
import statistics
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from typing import Annotated
from unittest import mock

import numpy as np
import typer
from rich.console import Console
from rich.table import Table

from bench.turning_demand import STRETCH, TARGET_MS
from bergamotgap.adapters.logs import configure_logs
from bergamotgap.domain.fleet import FleetConfig, JobPhase, JobSpec, Queue, StepSpec
from bergamotgap.domain.job_paths import (
    measure_longest_path,
)
from bergamotgap.domain.run_time_estimates import RunTimeEstimates
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import StartOrder
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import FakeOrders, build_worker
from stand_ins.virtual_time import LoopClock, run_virtual

SEEDS = (1, 2, 3, 4)
POOL, QUEUE = "p0", "q-p0"
WORKERS, WORKER_CPU = 12, 32_000
TASKS, TASK_MS, TASK_CPU = 8, 1000, 2000
# Bursts ask for more than the pool holds, and the pauses let it catch up.
BURST_S, CYCLE_S, DAY_S = 4.0, 12.0, 36.0
BURST_LOAD, PAUSE_LOAD = 2.0, 0.2
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
# Callers wait for this multiple of their objective.
PATIENCE = 3

Settings = dict[tuple[type, str], object]


@dataclass(frozen=True)
class ScheduledJob:
    """A job, the time of its arrival, and the actual times of its tasks by step."""

    at_s: float
    spec: JobSpec
    actual_ms: tuple[tuple[int, ...], ...]

    @property
    def declared_objective_ms(self) -> float:
        """Return the objective by declared times."""
        times = [step.estimated_ms for step in self.spec.steps]
        return STRETCH * measure_longest_path(self.spec.steps, times) + TARGET_MS

    @property
    def actual_objective_ms(self) -> float:
        """Return the objective by actual times."""
        times = [max(step) for step in self.actual_ms]
        return STRETCH * measure_longest_path(self.spec.steps, times) + TARGET_MS


@dataclass
class Result:
    """Times that the jobs of a day took, in ms, with the jobs."""

    took_ms: list[tuple[ScheduledJob, float]] = field(default_factory=list)
    error: float = 0.0
    declared_error: float = 0.0

    def measure_late(self, objective: Callable[[ScheduledJob], float]) -> float:
        """Return the share of the jobs that took longer than their objective."""
        late = [took_ms > objective(job) for job, took_ms in self.took_ms]
        return sum(late) / len(late)

    @property
    def median_ms(self) -> float:
        """Return the median time of a job."""
        return statistics.median(took_ms for _, took_ms in self.took_ms)


def draw_day(seed: int, is_tailed: bool = True) -> list[ScheduledJob]:
    """Generate the jobs of a day."""
    rng = np.random.default_rng(seed)
    mean_factor = 1 + LONG_SHARE * (LONG_FACTOR - 1) * is_tailed
    job_work = 1.5 * TASKS * TASK_CPU * TASK_MS / 1000 * mean_factor
    capacity_rate = WORKERS * WORKER_CPU / job_work
    jobs: list[ScheduledJob] = []
    at_s = 0.0
    while True:
        at_s += rng.exponential(1 / (capacity_rate * BURST_LOAD))
        if at_s >= DAY_S:
            return jobs
        load = BURST_LOAD if at_s % CYCLE_S < BURST_S else PAUSE_LOAD
        if rng.random() < load / BURST_LOAD:
            jobs.append(_draw_job(rng, at_s, len(jobs), is_tailed))


def _draw_job(
    rng: np.random.Generator, at_s: float, number: int, is_tailed: bool
) -> ScheduledJob:
    steps = tuple(
        StepSpec(
            count=int(rng.integers(TASKS - 4, TASKS + 5)),
            cpu=TASK_CPU,
            memory_mb=100,
            estimated_ms=max(100, int(TASK_MS * rng.lognormal(-0.125, 0.5))),
            after=(index - 1,) if index else (),
        )
        for index in range(int(rng.integers(1, 3)))
    )

    def draw_ms(step: StepSpec) -> int:
        if not is_tailed:
            return step.estimated_ms
        long = LONG_FACTOR if rng.random() < LONG_SHARE else 1.0
        return int(step.estimated_ms * rng.uniform(0.5, 1.5) * long)

    actual = tuple(tuple(draw_ms(step) for _ in range(step.count)) for step in steps)
    return ScheduledJob(at_s, JobSpec(f"j{number}", QUEUE, "", steps), actual)


async def _run_day(jobs: list[ScheduledJob], result: Result) -> None:
    clock = LoopClock()
    by_id = {job.spec.job_id: job for job in jobs}

    def choose_run_s(order: StartOrder) -> float:
        task = order.task
        return by_id[task.job].actual_ms[task.step][task.number] / 1000

    infos = {
        f"w{number}": replace(
            build_worker(number, POOL, WORKER_CPU), worker_id=f"w{number}"
        )
        for number in range(WORKERS)
    }
    workers = {name: FakeWorker(info) for name, info in infos.items()}
    for worker in workers.values():
        worker.choose_run_s = choose_run_s
    queue = Queue(QUEUE, POOL, "/", POOL, 0, 4, STRETCH, TARGET_MS)
    owner = Pool(
        POOL,
        Term(1, 1, True),
        FakeStore(),
        ("keyed.jobs", 0),
        FakeOrders(workers),
        SETTINGS,
        clock,
        LogConfirmation(clock.monotonic_ms, lambda: False, lambda: True),
        lambda _: None,
    )
    async with owner as pool:
        pool.update_config(FleetConfig(1, (queue,), (POOL,)))
        pool.update_workers(infos)
        await asyncio.sleep(1)
        begin_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for job in jobs:
                now_s = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, begin_s + job.at_s - now_s))
                group.create_task(_submit(pool, job, result))
            summary = pool.run_tracker.estimates.summarize(QUEUE)
            result.error, result.declared_error = summary.error, summary.declared_error


async def _submit(pool: Pool, job: ScheduledJob, result: Result) -> None:
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    await pool.submit(job.spec)
    longest = max(job.declared_objective_ms, job.actual_objective_ms)
    until_s = sent_s + PATIENCE * longest / 1000
    phase = pool.job_table.get_durable_phase(job.spec.job_id)
    while phase is not JobPhase.COMPLETED and loop.time() < until_s:
        await asyncio.sleep(0.02)
        phase = pool.job_table.get_durable_phase(job.spec.job_id)
    took_ms = (loop.time() - sent_s) * 1000
    result.took_ms.append((job, took_ms))


def simulate_day(seed: int, settings: Settings, is_tailed: bool = True) -> Result:
    """Simulate one day; `settings` replaces methods of classes."""
    result = Result()
    with ExitStack() as stack:
        for (owner, name), value in settings.items():
            stack.enter_context(mock.patch.object(owner, name, value))
        run_virtual(_run_day(draw_day(seed, is_tailed), result))
    return result


def _expect_mean(estimates: RunTimeEstimates, queue: str, step: StepSpec) -> float:
    return estimates.expect_ms(queue, step)


def _expect_median(estimates: RunTimeEstimates, queue: str, step: StepSpec) -> float:
    return estimates.quantile_ms(queue, step, 0.5 ** (1 / step.count))


def _learn_nothing(*_: object, **__: object) -> None:
    return


def _judge_by(
    expect_ms: Callable[..., float], get_usual_ms: Callable[..., float]
) -> Settings:
    """Return the settings of a policy, by the expected and usual times of a step."""
    return {
        (RunTimeEstimates, "expect_step_ms"): expect_ms,
        (RunTimeEstimates, "typical_ms"): get_usual_ms,
    }


_expect_greatest = RunTimeEstimates.expect_step_ms
_expect_typical = RunTimeEstimates.typical_ms
# Expected time of a step, and its usual time, from which the objective follows.
POLICIES: dict[str, Settings] = {
    "declared times": {(RunTimeEstimates, "record_run"): _learn_nothing},
    "mean of one task, the same": _judge_by(_expect_mean, _expect_mean),
    "mean of the greatest, the same": _judge_by(_expect_greatest, _expect_greatest),
    "median of the greatest, of one task": _judge_by(_expect_median, _expect_typical),
    "mean of the greatest, median of one task": {},
}


def main(
    tailed: Annotated[
        bool, typer.Option(help="whether actual differ from declared times")
    ] = True,
) -> None:
    """Compare policies for the expected time of a step."""
    configure_logs("error")
    table = Table("policy", "late by declared", "late by actual", "median ms", "error")
    for name, settings in POLICIES.items():
        days = [simulate_day(seed, settings, tailed) for seed in SEEDS]

        def mean(read: Callable[[Result], float], days: list[Result] = days) -> float:
            return statistics.mean(read(day) for day in days)

        table.add_row(
            name,
            f"{mean(lambda d: d.measure_late(lambda j: j.declared_objective_ms)):.3f}",
            f"{mean(lambda d: d.measure_late(lambda j: j.actual_objective_ms)):.3f}",
            f"{mean(lambda day: day.median_ms):.0f}",
            f"{mean(lambda day: day.error):.3f}",
        )
    Console(width=120).print(table)


if __name__ == "__main__":
    typer.run(main)
