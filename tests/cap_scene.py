"""Test scene: several pools, their owners, and the coordinator of customers' caps."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import msgspec

from bergamotgap.domain.customers import Customer, build_customers
from bergamotgap.domain.fleet import FleetConfig, JobSpec, Queue, Size, StepSpec
from bergamotgap.pools.cap_coordinator import CapCoordinator
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.ports.pool_peer import CapCall, CapReply, PoolCall, PoolReply
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import FakeOrders, build_worker
from stand_ins.virtual_time import LoopClock
from tests.pool_scene import find_pool_disagreements

CORE = 1000
CAP_CORES = 16
WATCH_INTERVAL_S = 0.01


def build_config(
    pools: int = 4, version: int = 1, **caps: int | Size | None
) -> FleetConfig:
    """Return a configuration with a customer for each cap, given in cores."""
    customers = []
    for name, cap in caps.items():
        size = Size((cap or 0) * CORE) if not isinstance(cap, Size) else cap
        customers.append((Customer(name, cap=size), [f"key of {name}"]))
    names = tuple(f"p{number}" for number in range(1, pools + 1))
    queues = tuple(
        Queue(
            f"q-{name}",
            f"{name}.example",
            "/",
            name,
            attempts=3,
            stretch=1.6,
            target_latency_ms=600,
        )
        for name in names
    )
    return FleetConfig(
        version,
        queues,
        (*names, "misc"),
        frozenset({"misc"}),
        build_customers(customers) if customers else None,
    )


class CapScene:
    """Pools with workers of 8 cores each, and what runs of each customer."""

    def __init__(
        self, config: FleetConfig | None = None, workers: int = 3, run_s: float = 0.3
    ) -> None:
        self.config = config or build_config(acme=CAP_CORES)
        self.store, self.clock = FakeStore(), LoopClock()
        self.pools = sorted(set(self.config.services) - self.config.spare_services)
        self.workers: dict[str, dict[str, FakeWorker]] = {}
        self.orders: dict[str, FakeOrders] = {}
        for index, pool in enumerate(self.pools):
            numbers = range(100 * index, 100 * index + workers)
            infos = [build_worker(number, pool) for number in numbers]
            fakes = {info.worker_id: FakeWorker(info, run_s) for info in infos}
            self.workers[pool], self.orders[pool] = fakes, FakeOrders(fakes)
        self.owners: dict[str, Pool] = {}
        self._stacks: dict[str, AsyncExitStack] = {}
        self._terms: dict[str, int] = {}
        self._claims: dict[str, int] = {}
        self._token = 0
        self.coordinator_token = 0
        self.jobs: dict[str, JobSpec] = {}
        self.calls: list[CapCall] = []
        # Returns the delay in s of a call and of its reply; None loses it.
        self.choose_delays: Callable[[CapCall], tuple[float | None, float | None]] = (
            lambda call: (0.002, 0.002)
        )
        # Cores in use by customer, one sample for each interval.
        self.samples: list[dict[str, float]] = []
        self._late: set[asyncio.Task[CapReply | None]] = set()

    @asynccontextmanager
    async def run(self, has_coordinator: bool = True) -> AsyncIterator[None]:
        """Run an owner of each pool, the coordinator, and a watch of the use."""
        watch = asyncio.create_task(self._watch())
        for pool in self.pools:
            await self.start_owner(pool)
        try:
            if has_coordinator:
                async with self.run_coordinator():
                    yield
            else:
                yield
        finally:
            watch.cancel()
            for pool in list(self.owners):
                await self.stop_owner(pool)

    async def start_owner(self, pool: str, first_term: int = 2) -> None:
        """Start an owner of a pool, whose term is `first_term` or later."""
        self._token += 1
        term = self._terms.get(pool, first_term - 1) + 1
        self._claims[pool], self._terms[pool] = self._token, term
        # A successor has its own connections to the workers.
        faults = self.orders[pool].unreachable_workers
        self.orders[pool] = FakeOrders(self.workers[pool])
        self.orders[pool].unreachable_workers = faults
        owner = Pool(
            pool,
            Term(self._token, term, is_former_owner_stopped=True),
            self.store,
            ("keyed.jobs", 0),
            self.orders[pool],
            SETTINGS,
            self.clock,
            LogConfirmation(self.clock.monotonic_ms, lambda: False, lambda: True),
            lambda _: None,
        )
        self._stacks[pool] = AsyncExitStack()
        await self._stacks[pool].enter_async_context(owner)
        owner.customer_usage.require_coordinator(self.coordinator_token)
        owner.update_config(self.config)
        owner.update_workers({w: f.info for w, f in self.workers[pool].items()})
        self.owners[pool] = owner

    async def stop_owner(self, pool: str) -> None:
        """Stop an owner; its tasks go on, and agree with its workers' runs."""
        owner = self.owners.pop(pool)
        found = find_pool_disagreements(owner)
        await self._stacks.pop(pool).aclose()
        assert not found, found

    def set_config(self, config: FleetConfig) -> None:
        """Let all owners and the coordinator apply a new configuration."""
        self.config = config
        for owner in self.owners.values():
            owner.update_config(config)

    @asynccontextmanager
    async def run_coordinator(self) -> AsyncIterator[CapCoordinator]:
        """Run the next coordinator until the context ends."""
        self._token += 1
        self.coordinator_token = self._token
        for owner in self.owners.values():
            owner.customer_usage.require_coordinator(self._token)
        coordinator = CapCoordinator(
            self._token,
            lambda: self._claims,
            lambda: self.config,
            self._call_owner,
            lambda: True,
            self.clock,
        )
        task = asyncio.create_task(coordinator.run())
        try:
            yield coordinator
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _call_owner(self, call: PoolCall) -> PoolReply | NoReply:
        call = msgspec.msgpack.decode(msgspec.msgpack.encode(call), type=PoolCall)
        assert isinstance(call, CapCall)
        self.calls.append(call)
        call_s, reply_s = self.choose_delays(call)
        # A call that its sender gives up may still arrive.
        task = asyncio.create_task(self._deliver(call, call_s))
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        try:
            async with asyncio.timeout(0.6):
                reply = await asyncio.shield(task)
                if reply is not None and reply_s is not None:
                    await asyncio.sleep(reply_s)
                    encoded = msgspec.msgpack.encode(reply)
                    return msgspec.msgpack.decode(encoded, type=PoolReply)
                await asyncio.sleep(1)
        except TimeoutError:
            pass
        return NoReply("lost", was_sent=True)

    async def _deliver(self, call: CapCall, delay_s: float | None) -> CapReply | None:
        if delay_s is None:
            return None
        await asyncio.sleep(delay_s)
        owner = self.owners.get(call.pool)
        return owner.customer_usage.answer(call) if owner else None

    async def submit(
        self,
        pool: str,
        job_id: str,
        tasks: int = 1,
        cores: float = 1,
        customer: str = "acme",
        **step: object,
    ) -> None:
        """Submit a job with one step to the owner of a pool."""
        fields = {"memory_mb": 1, "estimated_ms": 300, **step}
        spec = StepSpec(count=tasks, cpu=int(cores * CORE), **fields)  # type: ignore[arg-type]
        job = JobSpec(job_id, f"q-{pool}", "", (spec,), customer=customer)
        self.jobs[job_id] = job
        await self.owners[pool].submit(job)

    def count_cores(self, customer: str = "acme", pool: str = "") -> float:
        """Return the cores on which tasks of a customer run, in one pool or all."""
        now_s = asyncio.get_running_loop().time()
        return sum(
            self.jobs[task.job].steps[task.step].cpu / CORE
            for name, workers in self.workers.items()
            if not pool or name == pool
            for worker in workers.values()
            for task, run in worker.running.items()
            if self.jobs[task.job].customer == customer
            and (now_s < run.end_s or worker.is_stalled)
        )

    async def _watch(self) -> None:
        while True:
            names = {job.customer for job in self.jobs.values()}
            self.samples.append({name: self.count_cores(name) for name in names})
            await asyncio.sleep(WATCH_INTERVAL_S)

    def measure_peak(self, customer: str = "acme") -> float:
        """Return the most cores that a customer had in use."""
        return max(sample.get(customer, 0.0) for sample in self.samples)

    def measure_mean(self, from_s: float, to_s: float) -> float:
        """Return the mean use in cores between two times since the start."""
        start, end = int(from_s / WATCH_INTERVAL_S), int(to_s / WATCH_INTERVAL_S)
        samples = self.samples[start:end]
        return sum(sample.get("acme", 0.0) for sample in samples) / len(samples)


def change_cap(config: FleetConfig, cores: int) -> FleetConfig:
    """Return the next version of a configuration with another cap for `acme`."""
    changed = build_config(acme=cores)
    return dataclasses.replace(
        config, version=config.version + 1, customers=changed.customers
    )


async def submit_stream(
    scene: CapScene, pool: str, duration_s: float, jobs_per_s: int = 100
) -> None:
    """Submit jobs of one task of one core, which takes 0.3 s, for a time."""
    waits = []
    for number in range(int(duration_s * jobs_per_s)):
        job_id = f"{pool}-{len(scene.jobs)}-{number}"
        waits.append(asyncio.create_task(scene.submit(pool, job_id)))
        await asyncio.sleep(1 / jobs_per_s)
    await asyncio.gather(*waits)
