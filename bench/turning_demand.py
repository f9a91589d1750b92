"""Simulate pool owners under demand that shifts between pools, in virtual time.

Owners, moves and placement are the product's code; the log, the workers and the host
service are fakes. `--set MODULE.CONSTANT=VALUE` overrides a constant, to evaluate its
value without a deployment:

    python -m bench.turning_demand
        --set bergamotgap.domain.pool_sizes.BACKLOG_CLEAR_MS=1000
"""

import asyncio
import importlib
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from typing import Annotated, Any
from unittest import mock

import numpy as np
import typer
from rich.console import Console
from rich.table import Table

from bergamotgap.adapters.logs import configure_logs
from bergamotgap.domain.fleet import (
    FleetConfig,
    HostInfo,
    JobPhase,
    JobSpec,
    Queue,
    StepSpec,
    WorkerInfo,
)
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.maintenance_plan import UP
from bergamotgap.domain.task_placement import JobRank
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import StartOrder
from bergamotgap.ports.pool_peer import DemandCall, DrainCall, PoolCall, PoolReply
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import FakeOrders, build_worker
from stand_ins.virtual_time import LoopClock, run_virtual

SEEDS = (1, 2, 3, 4)
POOLS = ("p0", "p1", "p2", "p3")
SPARE = "spare"
HOSTS_PER_POOL = 6
HOST_CPU, HOST_MEMORY_MB = 32_000, 16_384
DAY_S = 34.0
# Demand as described by the users: for some seconds one service has five times its mean
# demand, its turn; between its turns it has a twentieth of the mean.
PEAK_FACTOR, LULL_FACTOR = 5.0, 0.05
TURN_DURATION_RANGE_S = (3.0, 7.0)
# By pool: jobs/s, tasks per step; of a task ms, 1/1000 cores and MB.
JOB_KINDS = (
    (4.0, 6, 800, 1800, 100),
    (0.6, 8, 1700, 3800, 100),
    (4.8, 6, 800, 1800, 100),
    (0.7, 8, 1700, 3800, 100),
)
SPREAD = 0.5
STRETCH, TARGET_MS = 1.6, 600
LATE_JOB_WORTH = 0.1
MOVE_S = 1.5
LISTING_DELAY_S = 0.1
WORKER_EXPIRY_S = 4.5
ROUND_S = 0.1
# With 30 hosts; the rate of orders that the platform accepts grows with the fleet.
MOVES_PER_ROUND = 6
WINDOW_S = 2.0
WORST_WINDOWS = 2
# Cost of a host-second in a pool and of a move, where a day with all jobs on time is
# worth 1; from trial runs on the users' bench with 30 hosts.
HOST_SECOND_COST, MOVE_COST = 0.00033, 0.00036
COST_REFERENCE_HOSTS = 30


@dataclass(frozen=True)
class ScheduledJob:
    """A job, the time of its arrival, and `size` as its weight in the score."""

    at_s: float
    pool: str
    spec: JobSpec
    objective_ms: float
    size: float


@dataclass
class Result:
    """The result of one policy on one day."""

    earned: list[tuple[float, float, float]] = field(default_factory=list)
    host_seconds: float = 0.0
    moves: int = 0
    hosts: int = 0

    @property
    def whole_day_share(self) -> float:
        """Return the fraction earned of the whole day."""
        return sum(e for _, e, _ in self.earned) / sum(s for *_, s in self.earned)

    @property
    def worst_windows_share(self) -> float:
        """Return the mean fraction earned in the worst windows."""
        sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for at_s, earned, size in self.earned:
            window = sums[int(at_s / WINDOW_S)]
            window[0] += earned
            window[1] += size
        shares = sorted(earned / size for earned, size in sums.values())
        return statistics.mean(shares[:WORST_WINDOWS])

    @property
    def worth(self) -> float:
        """Return the mean of both fractions, less the costs of hosts and moves."""
        scale = COST_REFERENCE_HOSTS / self.hosts
        prices = HOST_SECOND_COST * self.host_seconds + MOVE_COST * self.moves
        return (self.whole_day_share + self.worst_windows_share) / 2 - scale * prices


def draw_day(seed: int, scale: int) -> list[ScheduledJob]:
    """Generate the jobs of a day, sorted by arrival."""
    rng = np.random.default_rng(seed)
    turns: list[tuple[float, str]] = []
    start_s, order = 0.0, list(rng.permutation(POOLS))
    while start_s < DAY_S:
        turns.append((start_s, order[len(turns) % len(order)]))
        start_s += rng.uniform(*TURN_DURATION_RANGE_S)
    samples: list[ScheduledJob] = []
    for pool, (rate, *kind) in zip(POOLS, JOB_KINDS, strict=True):
        at_s = 0.0
        while at_s < DAY_S:
            current = [name for begin_s, name in turns if begin_s <= at_s][-1]
            factor = PEAK_FACTOR if current == pool else LULL_FACTOR
            # Thinning the process of the peak rate is exact when the rate changes.
            at_s += rng.exponential(1 / (rate * scale * PEAK_FACTOR))
            if rng.random() < factor / PEAK_FACTOR and at_s < DAY_S:
                samples.append(_draw_job(rng, at_s, pool, tuple(kind), len(samples)))
    return sorted(samples, key=lambda sample: sample.at_s)


def _draw_job(
    rng: np.random.Generator,
    at_s: float,
    pool: str,
    kind: tuple[int, ...],
    number: int,
) -> ScheduledJob:
    width, task_ms, cpu, memory_mb = kind

    def vary(mean: float) -> int:
        return max(1, int(mean * rng.lognormal(-(SPREAD**2) / 2, SPREAD)))

    steps = tuple(
        StepSpec(
            count=vary(width),
            cpu=vary(cpu),
            memory_mb=memory_mb,
            estimated_ms=vary(task_ms),
            after=(index - 1,) if index else (),
        )
        for index in range(int(rng.integers(1, 3)))
    )
    chain_ms = sum(step.estimated_ms for step in steps)
    size = sum(step.count * step.cpu * step.estimated_ms for step in steps)
    payload = ",".join(str(step.estimated_ms) for step in steps)
    spec = JobSpec(f"{pool}-{number}", f"q-{pool}", payload, steps)
    return ScheduledJob(at_s, pool, spec, STRETCH * chain_ms + TARGET_MS, float(size))


class DaySimulation:
    """Hosts, pool owners and callers of one day; also serves as the host service."""

    def __init__(self, scale: int, moves: bool) -> None:
        self.clock = LoopClock()
        self.result = Result(hosts=HOSTS_PER_POOL * scale * (len(POOLS) + 1))
        self._has_moves = moves
        self._moves_per_round = MOVES_PER_ROUND * scale
        self._workers: dict[str, FakeWorker] = {}
        self._listed: dict[str, dict[str, WorkerInfo]] = {p: {} for p in POOLS}
        self._hosts: dict[str, HostInfo] = {}
        self._pools: dict[str, Pool] = {}
        self._background: set[asyncio.Task[None]] = set()
        names = [pool for pool in (*POOLS, SPARE) for _ in range(HOSTS_PER_POOL)]
        for number, pool in enumerate(names * scale):
            self._add_worker(f"m{number}", pool)
        queues = tuple(
            Queue(f"q-{pool}", pool, "/", pool, 0, 4, STRETCH, TARGET_MS)
            for pool in POOLS
        )
        self.config = FleetConfig(1, queues, (*POOLS, SPARE), frozenset({SPARE}))

    def _add_worker(self, host: str, pool: str) -> None:
        worker_id = f"{host}-{len(self._workers)}"
        place = (host, pool, UP, worker_id, "dc")
        self._hosts[host] = HostInfo(*place, HOST_CPU, memory_mb=HOST_MEMORY_MB)
        if pool == SPARE:
            return
        info = build_worker(1, pool, HOST_CPU, HOST_MEMORY_MB)
        info = replace(info, worker_id=worker_id, host=host)
        worker = self._workers[worker_id] = FakeWorker(info)
        worker.choose_run_s = _choose_run_s
        self._listed[pool][worker_id] = info

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts."""
        return tuple(self._hosts.values())

    async def move(self, host: str, pool: str, token: int) -> str:
        """Move a host to another pool; its running tasks are lost."""
        info = self._hosts[host]
        self.result.moves += 1
        if info.pool != SPARE:
            self._workers[info.worker_id].is_silent = True
            self._start_background(self._expire_worker(info))
        self._hosts[host] = replace(info, pool=pool, state="moving", worker_id="")
        self._start_background(self._finish_move(host, pool))
        return ""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Refuse maintenance; the simulated day has no waves."""
        return "wave"

    def _start_background(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _expire_worker(self, info: HostInfo) -> None:
        await asyncio.sleep(WORKER_EXPIRY_S)
        self._listed[info.pool].pop(info.worker_id, None)
        self._update_owner(info.pool)

    async def _finish_move(self, host: str, pool: str) -> None:
        await asyncio.sleep(MOVE_S)
        self._add_worker(host, pool)
        await asyncio.sleep(LISTING_DELAY_S)
        self._update_owner(pool)

    def _update_owner(self, pool: str) -> None:
        if pool != SPARE:
            self._pools[pool].update_workers(self._listed[pool])

    async def _call_owner(self, call: PoolCall) -> PoolReply:
        pool = self._pools[call.pool]
        if isinstance(call, DemandCall):
            pool.admission_check.record_hosts(call.arriving_cpu, call.free_cpu)
            return pool.measure_demand(call.must_yield)
        assert isinstance(call, DrainCall)
        return pool.drain_worker(call.worker_id, call.may_stop, call.stops_late)

    async def run(self, samples: list[ScheduledJob]) -> Result:
        """Simulate the day and return its result."""
        async with AsyncExitStack() as stack:
            for pool in POOLS:
                owner = Pool(
                    pool,
                    Term(1, 1, True),
                    FakeStore(),
                    ("keyed.jobs", 0),
                    FakeOrders(self._workers),
                    SETTINGS,
                    self.clock,
                    LogConfirmation(
                        self.clock.monotonic_ms, lambda: False, lambda: True
                    ),
                    lambda _: None,
                )
                self._pools[pool] = await stack.enter_async_context(owner)
                owner.update_config(self.config)
                self._update_owner(pool)
            self._start_background(self._run_mover())
            # As in a deployment, pools have time to shrink before traffic begins.
            await asyncio.sleep(3)
            begin_s = asyncio.get_running_loop().time()
            self._start_background(self._count_hosts(begin_s + DAY_S))
            for sample in samples:
                left_s = begin_s + sample.at_s - asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, left_s))
                self._start_background(self._submit_job(sample))
            await asyncio.sleep(10)
            for task in self._background:
                task.cancel()
        return self.result

    async def _run_mover(self) -> None:
        limits = (1, self._moves_per_round, int(MOVE_S * 1000))
        mover = HostMover(self, self._call_owner, lambda: True, *limits, self.clock)
        while self._has_moves:
            await asyncio.sleep(ROUND_S)
            await mover.run_round(self.config, self._hosts, set())

    async def _count_hosts(self, end_s: float) -> None:
        while asyncio.get_running_loop().time() < end_s:
            paid = sum(info.pool != SPARE for info in self._hosts.values())
            self.result.host_seconds += paid * ROUND_S
            await asyncio.sleep(ROUND_S)

    async def _submit_job(self, sample: ScheduledJob) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        pool = self._pools[sample.pool]
        await pool.submit(sample.spec)
        until_s = sent_s + 3 * sample.objective_ms / 1000
        phase = pool.job_table.get_durable_phase(sample.spec.job_id)
        while phase is not JobPhase.COMPLETED and loop.time() < until_s:
            await asyncio.sleep(0.02)
            phase = pool.job_table.get_durable_phase(sample.spec.job_id)
        took_ms = (loop.time() - sent_s) * 1000
        share = 1.0 if took_ms <= sample.objective_ms else LATE_JOB_WORTH
        earned = share * sample.size if phase is JobPhase.COMPLETED else 0.0
        self.result.earned.append((sample.at_s, earned, sample.size))


def _choose_run_s(order: StartOrder) -> float:
    return int(order.payload.split(",")[order.task.step]) / 1000


def _rank_by_arrival(job: Job, *_: object) -> JobRank:
    return (0, 0, False, job.arrived_ms)


@contextmanager
def override(settings: dict[str, object]) -> Iterator[None]:
    """Replace module constants or functions while the context is open."""
    with ExitStack() as stack:
        for name, value in settings.items():
            module, _, attribute = name.rpartition(".")
            target = importlib.import_module(module)
            stack.enter_context(mock.patch.object(target, attribute, value))
        yield


def simulate_day(
    seed: int, scale: int, moves: bool, settings: dict[str, object]
) -> Result:
    """Simulate one day with a policy."""
    results: list[Result] = []

    async def main() -> None:
        results.append(await DaySimulation(scale, moves).run(draw_day(seed, scale)))

    with override(settings):
        run_virtual(main())
    return results[0]


def run(scale: int, settings: dict[str, object]) -> None:
    """Simulate all policies and print a table of their means."""
    first_come: dict[str, object] = {
        "bergamotgap.pools.run_tracker.rank_job": _rank_by_arrival
    }
    policies: dict[str, tuple[bool, dict[str, object]]] = {
        "static pools": (False, {}),
        "first come, first served": (True, first_come),
        "current": (True, {}),
    }
    if settings:
        policies["current, with settings"] = (True, settings)
    table = Table("policy", "worth", "whole day", "worst windows", "host-s", "moves")
    for name, (moves, values) in policies.items():
        days = [simulate_day(seed, scale, moves, values) for seed in SEEDS]

        def mean(read: Callable[[Result], float], days: list[Result] = days) -> str:
            return f"{statistics.mean(read(day) for day in days):.3f}"

        table.add_row(
            name,
            mean(lambda day: day.worth),
            mean(lambda day: day.whole_day_share),
            mean(lambda day: day.worst_windows_share),
            mean(lambda day: day.host_seconds),
            mean(lambda day: day.moves),
        )
    Console(width=120).print(table)


def main(
    scale: Annotated[
        int, typer.Option(help="factor for 30 hosts and their demand")
    ] = 1,
    set_: Annotated[
        list[str] | None, typer.Option("--set", help="MODULE.CONSTANT=VALUE")
    ] = None,
) -> None:
    """Compare policies under demand that shifts between pools."""
    configure_logs("error")
    settings: dict[str, object] = {}
    for item in set_ or []:
        name, _, value = item.partition("=")
        settings[name] = (
            tuple(map(int, value.split(","))) if "," in value else (float(value))
        )
    run(scale, settings)


if __name__ == "__main__":
    typer.run(main)
