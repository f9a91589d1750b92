"""Random scene: jobs and owners of a pool under many disruptions, and then calm."""

import asyncio
import dataclasses
import functools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress

import msgspec

from bergamotgap.domain.fleet import JobSpec, StepSpec, TaskId, WorkerInfo
from bergamotgap.domain.task_state import TaskPhase
from bergamotgap.pools.job_table import Stored
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import StoreError
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders, build_job
from tests.pool_scene import Scene
from tests.waiting_checks import (
    check_overlaps,
    check_room,
    list_disagreements,
    list_startable,
    list_unusable,
)
from tests.waiting_disruptions import DISRUPTIONS
from tests.waiting_workers import Gangs, SceneAdvice, SceneOrders, SceneWorker

SUPERVISION_STEP_S = 0.05
CHECK_STEP_S = 0.1
# Stated target (rule LOST): in calm, a task with room starts within 6 s and 3 s.
MAX_WAIT_S = 10.0
# A report of a former life that is listed late is replaced after this time at most.
MAX_FORMER_LISTED_S = 1.0
# Time for polls to show what runs, and for leases to expire.
MAX_DISAGREEMENT_S = 8.0
DISRUPTION_S = 30.0
CALM_S = 40.0
# Calm ends this early if nothing waits.
MIN_CALM_S = 14.0


@dataclasses.dataclass(frozen=True)
class Owner:
    """An owner of the pool, its orders, and what ends it."""

    pool: Pool
    orders: FakeOrders
    stack: AsyncExitStack


class WaitingScene(Scene):
    """A pool whose workers, owners, log and orders fail at random for a while.

    `problems` lists what broke a rule, and `events` what happened.
    """

    disruptions = DISRUPTIONS
    max_workers, max_disruptions = 12, 40

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        super().__init__(workers=self.rng.randint(3, self.max_workers))
        count = len(self.infos)
        for name in self.rng.sample(sorted(self.infos), max(1, count // 3)):
            info = self.infos[name]
            self.infos[name] = dataclasses.replace(info, labels=info.labels | {"x"})
        self.workers: dict[str, FakeWorker] = {
            name: SceneWorker(info, self) for name, info in self.infos.items()
        }
        self.orders_class = functools.partial(  # type: ignore[assignment]
            SceneOrders, scene=self
        )
        self.advice: SceneAdvice | None = None
        if self.rng.random() < 0.25:
            self.advice = SceneAdvice(self)
        self.has_demand_calls = self.rng.random() < 0.5
        self.cut_workers: set[str] = set()
        self.takeover_lock = asyncio.Lock()
        # When the log has answered for a while.
        self.log_steady_s = 0.0
        self.problems: list[str] = []
        self.events: list[str] = []
        self._owners: list[Owner] = []
        self._specs: dict[str, JobSpec] = {}
        self._cancelled: set[str] = set()
        self._gangs = Gangs(self)
        self._token = 0
        self._is_list_current = True
        self._is_calm = False
        # Since when there is what must not last in calm.
        self._since_s: dict[str, float] = {}

    @property
    def owner(self) -> Owner:
        """The newest owner."""
        return self._owners[-1]

    @property
    def pool(self) -> Pool | None:
        """The newest owner's pool; None between two owners."""
        return self._owners[-1].pool if self._owners else None

    @property
    def orders(self) -> FakeOrders | None:
        """The newest owner's orders; None between two owners."""
        return self._owners[-1].orders if self._owners else None

    def now_s(self) -> float:
        """Return the time of the loop in s."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Remember an event of the scene, with its time."""
        self.events.append(f"{self.now_s():.2f} {text}")

    def report(self, problem: str) -> None:
        """Remember a problem, with its time."""
        self.problems.append(f"{self.now_s():.2f} {problem}")

    def get_step(self, task: TaskId) -> StepSpec:
        """Return the specification of a task's step."""
        return self._specs[task.job].steps[task.step]

    def list_up(self) -> list[tuple[str, FakeWorker]]:
        """Return the listed workers that are up."""
        return [
            (name, worker)
            for name, worker in self.workers.items()
            if not worker.is_silent and name in self.infos
        ]

    def choose_worker(self, fresh_s: float) -> tuple[str, FakeWorker]:
        """Return a worker that is up; mostly one with a run younger than `fresh_s`."""
        up, since_s = self.list_up(), self.now_s() - fresh_s
        fresh = [
            (name, worker)
            for name, worker in up
            if any(run.start_s > since_s for run in worker.running.values())
        ]
        is_fresh = bool(fresh) and self.rng.random() < 0.7
        return self.rng.choice(fresh if is_fresh else up)

    def add_worker(self, info: WorkerInfo) -> str:
        """Add a worker under a new id; return the id."""
        name = f"w{len(self.workers) + 1}"
        self.infos[name] = dataclasses.replace(info, worker_id=name)
        self.workers[name] = SceneWorker(self.infos[name], self)
        self.publish()
        return name

    def publish_entries(self) -> None:
        self.publish()

    def publish(self) -> None:
        """Let the owners read the list of workers once the log answers."""
        self._is_list_current = False

    def list_life(self, name: str, info: WorkerInfo) -> None:
        """List the report of a worker's life, and the present one after a former."""
        if name not in self.infos:
            return
        self.infos[name] = info
        self.publish()
        present = self.workers[name].info
        if info.incarnation_ms != present.incarnation_ms:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0, MAX_FORMER_LISTED_S), self.list_life, name, present
            )

    async def supervise(self) -> None:
        """End runs that are due, and publish the list of workers."""
        while True:
            await asyncio.sleep(SUPERVISION_STEP_S)
            for worker in self.workers.values():
                worker.end_due_runs()
            self._gangs.end_due_runs()
            if not self._is_list_current and not self.store.is_down:
                self._is_list_current = True
                for owner in self._owners:
                    owner.pool.update_workers(self.list_entries())

    async def start_owner(self, is_former_owner_stopped: bool) -> None:
        """Start an owner, as often as the log refuses it."""
        while True:
            self._token += 1
            stack = AsyncExitStack()
            owner = self.run_owner(
                self._token,
                self._token,
                is_former_owner_stopped,
                are_former_starts_recorded=self.now_s() > self.log_steady_s,
            )
            try:
                pool, orders = await stack.enter_async_context(owner)
            except StoreError:
                await asyncio.sleep(0.2)
                continue
            self._owners.append(Owner(pool, orders, stack))
            self.publish()
            return

    async def stop_owner(self, owner: Owner) -> None:
        """Stop an owner at once."""
        self._owners.remove(owner)
        await owner.stack.aclose()

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run an owner, and what supervises workers, until the end."""
        await self.start_owner(is_former_owner_stopped=True)
        loops = [self.supervise(), self._watch()]
        if self.has_demand_calls:
            loops.append(self._ask_for_demand(self.rng.random() < 0.5))
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            yield
        finally:
            for task in tasks:
                if task.done():
                    task.result()
                task.cancel()
            await self.stop_owner(self.owner)

    async def _ask_for_demand(self, has_spare_host: bool) -> None:
        """Ask for the pool's demand, as the host controller does."""
        while True:
            await asyncio.sleep(CHECK_STEP_S)
            if self.pool is not None:
                self.pool.measure_demand(False, has_spare_host)

    async def _call_owner(self, call: Callable[[Pool], Awaitable[object]]) -> object:
        """Repeat a call until an owner answers it."""
        while True:
            if self.pool is not None:
                with suppress(TimeoutError):
                    async with asyncio.timeout(1):
                        return await call(self.pool)
            await asyncio.sleep(0.1)

    async def submit(self, spec: JobSpec) -> None:
        spec = msgspec.structs.replace(spec, accepted_ms=self.clock.wall_ms())
        self._specs[spec.job_id] = spec
        outcome = await self._call_owner(lambda pool: pool.submit(spec))
        self.note(f"{spec.job_id} {isinstance(outcome, Stored)} {spec.steps}")

    async def _cancel(self, job_id: str) -> None:
        self.note(f"cancel {job_id}")
        self._cancelled.add(job_id)
        await self._call_owner(lambda pool: pool.cancel(job_id))

    async def disrupt(self) -> None:
        """Submit jobs and disrupt the pool, until all disruptions are over."""
        draw = self.rng
        kinds = draw.sample(self.disruptions, draw.randint(2, len(self.disruptions)))
        async with asyncio.TaskGroup() as group:
            for spec in draw_jobs(draw, len(self.infos), self.clock.wall_ms()):
                at_s = draw.uniform(0, DISRUPTION_S) if draw.random() < 0.5 else 0.5
                group.create_task(_run_at(at_s, functools.partial(self.submit, spec)))
                if draw.random() < 0.15:
                    at_s = draw.uniform(at_s, DISRUPTION_S + 2)
                    cancel = functools.partial(self._cancel, spec.job_id)
                    group.create_task(_run_at(at_s, cancel))
            for _ in range(draw.randint(5, self.max_disruptions)):
                at_s = draw.uniform(1, DISRUPTION_S)
                disrupt = functools.partial(self._disrupt_once, draw.choice(kinds))
                group.create_task(_run_at(at_s, disrupt))
        orders = self.owner.orders
        orders.lose_starts = orders.drop_starts = orders.drop_stops = 0
        orders.start_delays_s.clear()
        orders.stop_delays_s.clear()
        self.store.lose_answers = 0
        self.note("calm")

    async def _disrupt_once(
        self, disrupt: Callable[["WaitingScene"], Awaitable[None]]
    ) -> None:
        if self.list_up():
            await disrupt(self)

    async def stay_calm(self) -> None:
        """Check that nothing that may start waits, until nothing does or for long."""
        self._is_calm = True
        start_s = self.now_s()
        while self.now_s() < start_s + CALM_S and not self.problems:
            await asyncio.sleep(1)
            if self.now_s() > start_s + MIN_CALM_S and not self._has_open_work():
                break
        self.check_runs()

    def check_runs(self) -> None:
        """Check that no task had two runs at once."""
        for problem in check_overlaps(self.workers, self.now_s()):
            self.report(problem)

    def _has_open_work(self) -> bool:
        jobs = self.owner.pool.job_table.jobs.values()
        return bool(self._since_s) or any(
            task.phase is TaskPhase.WAITING or not task.step.is_long_running
            for job in jobs
            if not job.phase.is_final
            for task in job.list_tasks()
        )

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_STEP_S)
            if self.pool is not None and not self.problems:
                for problem in check_room(self.pool):
                    self.report(problem)
                if self._is_calm:
                    self._check_calm(self.pool)

    def _check_calm(self, pool: Pool) -> None:
        allows = self.advice.allows if self.advice else None
        now_ms = self.clock.monotonic_ms()
        startable = list_startable(pool, now_ms, self._cancelled, allows)
        unusable = list_unusable(pool, now_ms, self.infos, self.workers)
        found = {
            **{f"waits: {task.task_id}": (MAX_WAIT_S, on) for task, on in startable},
            **{f"unusable: {name}": (MAX_WAIT_S, why) for name, why in unusable},
            **{
                f"only known to one of owner and worker: {run} on {name}": (
                    MAX_DISAGREEMENT_S,
                    "",
                )
                for run, name in list_disagreements(pool, self.workers)
            },
        }
        self._since_s = {key: self._since_s.get(key, self.now_s()) for key in found}
        for key, (limit_s, details) in found.items():
            if self.now_s() - self._since_s[key] > limit_s:
                self.report(f"{key}, since {self._since_s[key]:.1f}, {details}")


async def _run_at(at_s: float, action: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(at_s)
    await action()


async def play(scene: WaitingScene) -> None:
    """Play a scene: disruptions, then calm."""
    async with scene.run():
        await scene.disrupt()
        await scene.stay_calm()


def draw_jobs(draw: random.Random, workers: int, wall_ms: int) -> list[JobSpec]:
    """Return the jobs of a scene: long-running and short ones, some of them timed."""
    jobs = [
        build_job(f"lasting-{number}", steps=(_draw_lasting(draw, workers),))
        for number in range(draw.randint(1, 6))
    ]
    for number in range(draw.randint(0, 30)):
        steps = [_draw_short(draw)]
        if draw.random() < 0.3:
            steps.append(msgspec.structs.replace(_draw_short(draw), after=(0,)))
        times: dict[str, int] = {}
        if draw.random() < 0.1:
            start_ms = wall_ms + draw.randint(0, 20_000)
            times = {"repetitions": 3, "start_at_ms": start_ms, "interval_ms": 3000}
        jobs.append(build_job(f"short-{number}", steps=tuple(steps), **times))
    return jobs


def _draw_lasting(draw: random.Random, workers: int) -> StepSpec:
    kind = draw.choice(("plain", "plain", "serving", "filler"))
    return StepSpec(
        count=draw.randint(1, workers),
        cpu=draw.choice((250, 500, 1000, 2000, 3500)),
        memory_mb=draw.choice((0, 100, 1000, 4000)),
        requirement=draw.choice(("", "", "", "x", "r0")),
        max_per_host=draw.choice((0, 0, 1, 1, 2)),
        is_long_running=True,
        target_ms=100 if kind == "serving" else 0,
        is_filler=kind == "filler",
        max_unavailable=draw.choice((0, 0, 1, 3)),
    )


def _draw_short(draw: random.Random) -> StepSpec:
    is_gang = draw.random() < 0.2
    return StepSpec(
        count=draw.randint(2, 4) if is_gang else draw.randint(1, 6),
        cpu=draw.choice((500, 1000, 2000, 4000)),
        memory_mb=draw.choice((0, 100, 1000)),
        estimated_ms=int(1000 * draw.choice((0.2, 0.5, 1, 3, 8))),
        requirement=draw.choice(("", "", "", "x", "r1")),
        max_per_host=draw.choice((0, 0, 0, 1, 2)),
        is_gang=is_gang,
        is_single_rack=is_gang and draw.random() < 0.3,
        is_checkpointing=draw.random() < 0.3,
    )
