"""Test scene: a day's load on 180 hosts in four pools during a maintenance wave."""

import asyncio
import random
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)

from bergamotgap.domain.fleet import (
    FleetConfig,
    JobSpec,
    Queue,
    StepSpec,
    TaskId,
    Wave,
    WorkerInfo,
    WorkerState,
)
from bergamotgap.pools.host_controller import HostController
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.ports.fleet import (
    StartOrder,
)
from bergamotgap.ports.pool_peer import (
    DemandCall,
    DrainCall,
    MaintenanceCall,
    PoolCall,
    PoolReply,
)
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock
from tests.controller_harness import build_fleet_view, run_host_controller
from tests.pool_scene import find_pool_disagreements
from tests.wave_fakes import (
    BURST_CORES,
    HOSTS,
    HOSTS_PARTITION,
    HOSTS_PER_RACK,
    IDLE_CORES,
    LONG_STEP,
    POOLS,
    SPARE,
    TASK_CORES,
    TURN_S,
    WAVE_HOSTS,
    WORKER_SIZE,
    FakeMachines,
    WaveOrders,
    WaveWorker,
    is_long,
)


class WaveScene:
    """Pools, hosts, workers and load; `violations` lists what broke a rule.

    `drained_core_s` are the core-seconds that drained hosts of the wave left unused.
    A share of `long_share` of the runs takes seven times as long.
    """

    def __init__(
        self, seed: int, cap: int, duration_s: float = 27.0, long_share: float = 0.0
    ) -> None:
        self.random = random.Random(seed)
        self._long_runs = random.Random(seed)
        self._long_share = long_share
        self.clock = LoopClock()
        self.store = FakeStore()
        self.host_names = [f"m{n:03}" for n in range(HOSTS)]
        wave_hosts = self.random.sample(self.host_names, WAVE_HOSTS)
        self.wave = Wave(1, tuple(wave_hosts), int(duration_s * 1000), cap)
        self.workers: dict[str, WaveWorker] = {}
        self.machines = FakeMachines(self)
        for n, host in enumerate(self.host_names):
            info = WorkerInfo(
                f"w-{host}",
                self.machines.pools[host],
                f"10.1.{n // 200}.{n % 200}:8000",
                "dc-1",
                WorkerState.READY,
                WORKER_SIZE,
                frozenset(),
                f"rack-{n // HOSTS_PER_RACK}",
                1,
                host,
            )
            self.workers[info.worker_id] = WaveWorker(info)
            self.workers[info.worker_id].choose_run_s = self._choose_run_s
        self.pools: dict[str, Pool] = {}
        self._owners: dict[str, AsyncExitStack] = {}
        self.reports: list[tuple[float, bool]] = []
        self.violations: list[str] = []
        self.drained_core_s = 0.0
        self.is_confirmed = True
        self.unowned_pools: set[str] = set()
        self._run_times: dict[TaskId, float] = {}
        self.config = FleetConfig(
            1,
            tuple(
                Queue(
                    f"q-{pool}",
                    "x.example",
                    f"/{pool}/",
                    pool,
                    attempts=3,
                    stretch=2.0,
                    target_latency_ms=2000,
                )
                for pool in POOLS
            ),
            (*POOLS, SPARE),
            frozenset({SPARE}),
        )
        self.fleet_view = build_fleet_view(self.clock)
        self.fleet_view.config = self.config

    def _choose_run_s(self, order: StartOrder) -> float:
        return 1e6 if is_long(order.task) else self._run_times[order.task]

    def check_limit(self, task: TaskId, cause: str) -> None:
        """Note a violation if a long-running task goes while too many are away."""
        ready = {
            other
            for worker in self.workers.values()
            if not worker.is_silent
            for other, run in worker.running.items()
            if other.job == task.job and worker.get_percent(run) >= 100
        }
        away = LONG_STEP.count - len(ready - {task}) - 1
        if away >= LONG_STEP.max_unavailable:
            now_s = asyncio.get_running_loop().time()
            self.violations.append(f"{cause} {task} at {now_s:.2f}, {away} others away")

    def check_host(self, host: str, cause: str) -> None:
        """Note a violation for each run that maintenance or a move ends."""
        worker = self.workers[f"w-{host}"]
        worker.end_due_runs()
        for task in worker.running:
            self.violations.append(f"{cause} of {host} ends {task}")
        if cause == "maintenance" and host not in self.wave.hosts:
            self.violations.append(f"maintenance of {host}, which is in no wave")

    async def call_owner(self, call: PoolCall) -> PoolReply | NoReply:
        if call.pool in self.unowned_pools:
            await asyncio.sleep(1)
            return NoReply("no_owner", was_sent=False)
        await asyncio.sleep(0.005)
        pool = self.pools[call.pool]
        if isinstance(call, DrainCall):
            return pool.drain_worker(
                call.worker_id, call.may_stop, call.stops_late, call.absent, call.host
            )
        if isinstance(call, DemandCall):
            return pool.measure_demand(call.must_yield)
        assert isinstance(call, MaintenanceCall)
        return pool.prepare_maintenance(call)

    async def report_wave(self, wave: Wave, is_completed: bool) -> None:
        await self.store._simulate_call()
        self.reports.append((asyncio.get_running_loop().time(), is_completed))
        if not is_completed:
            return
        listed = [h for h in wave.hosts if h not in self.machines.unlisted]
        missing = [host for host in listed if host not in self.machines.begun]
        if missing:
            self.violations.append(f"completed without {missing}")

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run the owners of all pools, their workers' reports and the load."""
        async with AsyncExitStack() as stack:
            self._orders = WaveOrders(self)
            for name in POOLS:
                await self._run_owner(name, 1)
                stack.push_async_callback(self._stop_owner, name)
            tasks = [
                asyncio.create_task(run())
                for run in (self._list_workers, self._submit_load, self._sample)
            ]
            for name in POOLS:
                spec = JobSpec(f"serve-{name}", f"q-{name}", "p", (LONG_STEP,))
                await self.pools[name].submit(spec)
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
                errors = [r for r in results if isinstance(r, Exception)]
                assert not errors, errors

    async def _run_owner(self, name: str, token: int) -> None:
        pool = Pool(
            name,
            Term(token, token, True),
            self.store,
            ("keyed.jobs", POOLS.index(name)),
            self._orders,
            SETTINGS,
            self.clock,
            LogConfirmation(
                self.clock.monotonic_ms, lambda: self.store.is_down, lambda: True
            ),
            lambda _: None,
        )
        self._owners[name] = AsyncExitStack()
        await self._owners[name].enter_async_context(pool)
        pool.update_config(self.config)
        self.pools[name] = pool

    async def _stop_owner(self, name: str) -> None:
        owner = self.pools[name]
        found = find_pool_disagreements(owner)
        await self._owners[name].aclose()
        assert not found, found

    async def replace_owner(self, name: str, token: int, after_s: float) -> None:
        """Stop the owner of a pool and start its successor after a time."""
        self.unowned_pools.add(name)
        await self._stop_owner(name)
        await asyncio.sleep(after_s)
        await self._run_owner(name, token)
        self.unowned_pools.discard(name)

    async def _list_workers(self) -> None:
        while True:
            services: defaultdict[str, dict[str, WorkerInfo]] = defaultdict(dict)
            for worker in self.workers.values():
                services[worker.info.service][worker.info.worker_id] = worker.info
            for name, pool in self.pools.items():
                if name not in self.unowned_pools:
                    pool.update_workers(services[name])
            await asyncio.sleep(0.1)

    async def _submit_load(self) -> None:
        number = 0
        owed = dict.fromkeys(POOLS, 0.0)
        jobs: set[asyncio.Task[object]] = set()
        while True:
            now_s = asyncio.get_running_loop().time()
            turn = POOLS[int(now_s / TURN_S) % len(POOLS)]
            for name in POOLS:
                owed[name] += 0.1 * (BURST_CORES if name == turn else IDLE_CORES)
                while owed[name] > 0 and name not in self.unowned_pools:
                    number += 1
                    seconds = 0.5 * 20 ** (self.random.random() ** 1.5)
                    declared = int(seconds * 1000 * self.random.uniform(0.6, 1.5))
                    step = StepSpec(1, TASK_CORES * 1000, 4000, estimated_ms=declared)
                    spec = JobSpec(f"j{number}", f"q-{name}", "p", (step,))
                    is_overlong = self._long_runs.random() < self._long_share
                    run_s = seconds * 7 if is_overlong else seconds
                    self._run_times[TaskId(spec.job_id, 0, 0, 0)] = run_s
                    job = asyncio.create_task(self.pools[name].submit(spec))
                    jobs.add(job)
                    job.add_done_callback(jobs.discard)
                    owed[name] -= TASK_CORES * seconds
            await asyncio.sleep(0.1)

    async def _sample(self) -> None:
        """Add up the core-seconds that drained hosts of the wave leave unused."""
        while True:
            await asyncio.sleep(0.1)
            for pool in self.pools.values():
                for link in pool.run_tracker.links.values():
                    host = link.info.host
                    if (
                        link.is_leaving
                        and link.is_listed
                        and host in self.wave.hosts
                        and 1 in self.fleet_view.waves
                        and self.machines.states[host] == "up"
                    ):
                        self.drained_core_s += link.capacity.free_cpu / 10_000

    def begin_wave(self) -> None:
        """Let the controller see the wave from now on."""
        self.fleet_view.waves[1] = self.wave
        self.fleet_view.wave_first_seen_ms[1] = self.clock.monotonic_ms()

    def crash_rack(self, number: int, duration_s: float = 8.0) -> None:
        """Take all hosts of a rack down."""
        first = number * HOSTS_PER_RACK
        for host in self.host_names[first : first + HOSTS_PER_RACK]:
            self.machines.crash(host, duration_s)

    def run_controller(self, token: int) -> AbstractAsyncContextManager[HostController]:
        """Run a host controller until the context ends, then kill it."""
        return run_host_controller(self, token, HOSTS_PARTITION)

    def list_unfinished(self) -> list[str]:
        """Return the hosts of the wave that have not begun maintenance."""
        return [host for host in self.wave.hosts if host not in self.machines.begun]
