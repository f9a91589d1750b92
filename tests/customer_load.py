"""Load of several customers on one pool owner, in virtual time."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bergamotgap.domain.customers import Customer, build_customers
from bergamotgap.domain.fleet import FleetConfig, JobPhase, JobSpec, StepSpec
from bergamotgap.pools.job_table import NotStored
from bergamotgap.pools.pool import Pool
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

TASKS, TASK_CPU, TASK_MS = 4, 1000, 600
# The queue's stretch times the run time, plus its target.
OBJECTIVE_MS = 1.6 * TASK_MS + 600
LATE_FACTOR = 3


@dataclass(frozen=True)
class Arrival:
    """A job of a customer, and when it is submitted."""

    at_s: float
    customer: str
    job_id: str


@dataclass
class Outcomes:
    """What became of the jobs of a load, by customer."""

    on_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    too_late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    excess: Counter[str] = field(default_factory=Counter)
    # Jobs that were waiting while a worker had room for a task for as long as this.
    longest_idle_ms: int = 0
    retry_ms: list[int] = field(default_factory=list)
    reasons: Counter[str] = field(default_factory=Counter)
    # Jobs that were accepted after a refusal.
    retried: int = 0


def build_config(weights: dict[str, float]) -> FleetConfig:
    """Return a configuration with customers of these weights."""
    rows = (
        (Customer(name, weight), [f"key-{name}"]) for name, weight in weights.items()
    )
    return dataclasses.replace(CONFIG, customers=build_customers(rows))


def build_customer_job(job_id: str, customer: str) -> JobSpec:
    """Return a job of one step."""
    step = StepSpec(count=TASKS, cpu=TASK_CPU, memory_mb=100, estimated_ms=TASK_MS)
    return JobSpec(job_id, "q-previews", "payload", (step,), customer=customer)


def draw_load(
    seed: int,
    customers: Iterable[str],
    rate: float,
    duration_s: float,
    start_s: float = 0.0,
    prefix: str = "",
) -> list[Arrival]:
    """Return random arrivals of customers with `rate` jobs per second each."""
    rng = random.Random(seed)
    arrivals = []
    for customer in customers:
        at_s = start_s + rng.expovariate(rate)
        while at_s < start_s + duration_s:
            job_id = f"{prefix}{customer}-{len(arrivals)}"
            arrivals.append(Arrival(at_s, customer, job_id))
            at_s += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def play_load(
    arrivals: Sequence[Arrival],
    config: FleetConfig,
    workers: int = 6,
    after_s: float = 20.0,
    may_refuse: bool = False,
    retries: int = 0,
) -> Outcomes:
    """Submit the jobs to a pool owner and return what became of them.

    With `may_refuse`, a host controller reports that no host can arrive; without, the
    owner doesn't know. Callers return up to `retries` times, as long as 3 s are left.
    """
    outcomes = Outcomes()

    async def main() -> None:
        scene = Scene(workers, TASK_MS / 1000)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(config)
            # Early refusal begins once the owner has known its pool for two seconds.
            await asyncio.sleep(3)
            begin_s = asyncio.get_running_loop().time()
            watchers = [asyncio.create_task(_watch_idle_room(scene, pool, outcomes))]
            if may_refuse:
                watchers.append(asyncio.create_task(_report_no_hosts(pool)))
            async with asyncio.TaskGroup() as group:
                for arrival in sorted(arrivals, key=lambda arrival: arrival.at_s):
                    now_s = asyncio.get_running_loop().time()
                    await asyncio.sleep(max(0.0, begin_s + arrival.at_s - now_s))
                    group.create_task(_submit(pool, arrival, outcomes, retries))
            await asyncio.sleep(after_s)
            for watcher in watchers:
                watcher.cancel()
            _count_outcomes(scene, pool, outcomes)

    run_virtual(main())
    return outcomes


async def _submit(
    pool: Pool, arrival: Arrival, outcomes: Outcomes, retries: int
) -> None:
    spec = build_customer_job(arrival.job_id, arrival.customer)
    left_s = 3.0
    for attempt in range(retries + 1):
        outcome = await pool.submit(spec)
        if not isinstance(outcome, NotStored):
            outcomes.retried += attempt > 0
            return
        outcomes.retry_ms.append(outcome.retry_ms)
        outcomes.reasons[outcome.reason] += 1
        # The header holds whole seconds.
        wait_s = max(1, round(outcome.retry_ms / 1000))
        left_s -= wait_s
        if attempt == retries or left_s <= 0:
            break
        await asyncio.sleep(wait_s)
    outcomes.refused[arrival.customer] += 1


async def _report_no_hosts(pool: Pool) -> None:
    while True:
        pool.admission_check.record_hosts(0, 0)
        await asyncio.sleep(0.1)


async def _watch_idle_room(scene: Scene, pool: Pool, outcomes: Outcomes) -> None:
    """Measure how long jobs wait while there is room for one of their tasks."""
    idle_ms = 0
    while True:
        await asyncio.sleep(0.01)
        links = pool.run_tracker.list_usable_links(scene.clock.monotonic_ms())
        has_room = any(link.capacity.free_cpu >= TASK_CPU for link in links)
        idle_ms = idle_ms + 10 if has_room and pool.job_table.pending else 0
        outcomes.longest_idle_ms = max(outcomes.longest_idle_ms, idle_ms)


def _count_outcomes(scene: Scene, pool: Pool, outcomes: Outcomes) -> None:
    wall_offset_ms = scene.clock.wall_ms() - scene.clock.monotonic_ms()
    for job in pool.job_table.jobs.values():
        customer = job.spec.customer
        outcomes.excess[customer] += job.spec.is_excess
        took_ms = job.ended_ms - wall_offset_ms - job.arrived_ms
        is_done = job.phase is JobPhase.COMPLETED
        if is_done and took_ms <= OBJECTIVE_MS:
            outcomes.on_time[customer] += 1
        elif is_done and took_ms <= LATE_FACTOR * OBJECTIVE_MS:
            outcomes.late[customer] += 1
        else:
            outcomes.too_late[customer] += 1
