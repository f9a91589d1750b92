"""Test scene: new lives of workers, long runs there, a cut and takeovers inside it."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from contextlib import suppress
from dataclasses import dataclass

from bergamotgap.domain.fleet import JobSpec, StepSpec, WorkerInfo
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import (
    Accepted,
    Lease,
    OrderOutcome,
    PollOutcome,
    PollReply,
    StartOrder,
    Unanswered,
)
from stand_ins.pool_workers import (
    MAX_FIRST_CLOCK_MS,
    MIN_FIRST_CLOCK_MS,
    FakeWorker,
)
from stand_ins.pools import FakeOrders, build_job
from stand_ins.virtual_time import MS_PER_S, START_TIME_S
from tests.pool_scene import Scene
from tests.test_worker_lives import list_simultaneous_runs

# When the workers begin their new lives, by the time of the scene.
CRASH_S = 4.0
# What is left for runs and leases to overlap once the cut is over.
AFTER_CUT_S = 4.0
# Entries of workers that write nothing are removed after this time.
EXPIRY_S = 4.5
# What the clocks of the former lives show when these end.
FORMER_CLOCK_MS = int((START_TIME_S + CRASH_S) * MS_PER_S)
LASTING_RUN_S = 1000.0
LOST = Unanswered(was_sent=True)


@dataclass(frozen=True)
class Recut:
    """The choices of a scene; times in s.

    The first `restarted` of the workers in the order of `w1`, `w2` etc. crash, begin
    another life `dark_s` later, and are cut off `calm_s` after that, for `cut_s`. Each
    owner but the last is killed at one of `kills_s`, counted from the cut's begin, and
    has a successor `gap_s` later. The entry of the new life is listed `listed_s` after
    it began; the cut delays that. Of the new life's answers before the cut, those of
    `lost_answers` don't arrive.
    """

    workers: int = 3
    restarted: int = 1
    dark_s: float = 0.0
    calm_s: float = 0.5
    cut_s: float = 11.0
    kills_s: tuple[float, ...] = ()
    gap_s: float = 1.2
    is_former_owner_stopped: bool = False
    run_s: float = 18.0
    # Where the clocks of the new lives begin.
    clock_ms: int = 0
    listed_s: float = 0.1
    lost_answers: frozenset[str] = frozenset()
    # How long the runs before the new life last: some workers are idle by then.
    former_run_s: float = 18.0
    # When a further job is handed in, counted from the new life's begin.
    submitted_s: tuple[float, ...] = (0.1,)
    # Whether the entries of workers that are cut off are removed meanwhile.
    expires: bool = False
    seed: int = 0


class RecutOrders(FakeOrders):
    """Orders of one owner of a scene, which loses the answers that it names."""

    def __init__(self, scene: RecutScene) -> None:
        super().__init__(scene.workers)
        self._scene = scene
        self.unreachable_workers = scene.cut_workers

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        outcome = await super().start(info, order, lease)
        is_lost = self._scene.is_lost("start", info.worker_id)
        return LOST if is_lost and isinstance(outcome, Accepted) else outcome

    async def poll(
        self, info: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        outcome = await super().poll(info, lease, acked_through, wait_ms)
        is_lost = self._scene.is_lost("poll", info.worker_id)
        return LOST if is_lost and isinstance(outcome, PollReply) else outcome


class RecutScene(Scene):
    """A pool whose workers begin new lives and are cut off, and whose owners end."""

    def __init__(self, choices: Recut) -> None:
        super().__init__(choices.workers, choices.run_s)
        self.choices = choices
        self.cut_workers: set[str] = set()
        self.orders_class = lambda _: RecutOrders(self)  # type: ignore[assignment]
        self._rng = random.Random(choices.seed)
        self._restarted = sorted(self.workers)[: choices.restarted]
        # Workers whose answers are lost.
        self._muted: set[str] = set()
        self._pool: Pool | None = None
        self._run_s = choices.former_run_s
        for worker in self.workers.values():
            worker.choose_run_s = self._choose_run_s

    def _choose_run_s(self, order: StartOrder) -> float:
        return LASTING_RUN_S if order.task.job == "lasting" else self._run_s

    def is_lost(self, kind: str, name: str) -> bool:
        """Return whether an answer of a worker doesn't arrive."""
        return name in self._muted and kind in self.choices.lost_answers

    async def play(self) -> list[object]:
        """Play the scene; return the tasks that had two runs at once."""
        choices = self.choices
        new_life_s = asyncio.get_running_loop().time() + CRASH_S + choices.dark_s
        cut_s = new_life_s + choices.calm_s
        end_s = cut_s + choices.cut_s + AFTER_CUT_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_owners(cut_s, end_s))
            group.create_task(self._disrupt(new_life_s, cut_s))
            for number, at_s in enumerate(choices.submitted_s):
                spec = build_spread_job(f"later-{number}", choices.workers, 1)
                group.create_task(self._submit_at(new_life_s + at_s, spec))
            await asyncio.sleep(0.5)
            await self._submit(build_spread_job("before", choices.workers, 2))
            lasting = StepSpec(count=2, cpu=500, is_long_running=True, max_per_host=1)
            await self._submit(build_job("lasting", steps=(lasting,)))
        return list_simultaneous_runs(self)

    async def _run_owners(self, cut_s: float, end_s: float) -> None:
        kills_s = [cut_s + at_s for at_s in self.choices.kills_s]
        for token, kill_s in enumerate([*kills_s, end_s], 1):
            is_stopped = token == 1 or self.choices.is_former_owner_stopped
            async with self.run_owner(token, token, is_stopped) as (pool, _):
                self._pool = pool
                await _sleep_until(kill_s)
                self._pool = None
            await asyncio.sleep(self.choices.gap_s if kill_s < end_s else 0)

    async def _disrupt(self, new_life_s: float, cut_s: float) -> None:
        choices = self.choices
        await _sleep_until(new_life_s - choices.dark_s)
        lives = {name: self.workers[name] for name in self._restarted}
        for worker in lives.values():
            worker.crash()
            worker.is_silent = True
        await _sleep_until(new_life_s)
        self._run_s = choices.run_s
        for worker in lives.values():
            worker.restart(choices.clock_ms)
            worker.is_silent = False
        self._muted = set(lives)
        asyncio.get_running_loop().call_at(
            new_life_s + choices.listed_s, self._list_lives, lives
        )
        await _sleep_until(cut_s)
        self.cut_workers |= set(lives)
        if choices.expires:
            await asyncio.sleep(EXPIRY_S)
            self.infos = {n: i for n, i in self.infos.items() if n not in lives}
            self._publish()
        await _sleep_until(cut_s + choices.cut_s)
        self._muted.clear()
        self.cut_workers.clear()
        self._list_lives(lives)

    def _list_lives(self, lives: dict[str, FakeWorker]) -> None:
        if not self.cut_workers:
            self.infos |= {name: worker.info for name, worker in lives.items()}
            self._publish()

    def _publish(self) -> None:
        if self._pool is not None:
            self._pool.update_workers(self.list_entries())

    async def _submit_at(self, at_s: float, spec: JobSpec) -> None:
        await _sleep_until(at_s)
        await self._submit(spec)

    async def _submit(self, spec: JobSpec) -> None:
        """Hand a job in, again and again until an owner answers."""
        for _ in range(20):
            if self._pool is not None:
                with suppress(TimeoutError):
                    async with asyncio.timeout(1):
                        await self._pool.submit(spec)
                        return
            await asyncio.sleep(0.1)


def build_spread_job(job_id: str, hosts: int, per_host: int) -> JobSpec:
    """Return a job of `per_host` tasks for each host, which may take one more."""
    step = StepSpec(
        count=hosts * per_host,
        cpu=500,
        estimated_ms=18_000,
        max_per_host=per_host + 1,
    )
    return build_job(job_id, steps=(step,))


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))


def draw_choices(seed: int) -> Recut:
    """Return the choices of a random scene, with `seed % 3` takeovers."""
    draw = random.Random(seed)
    workers = draw.randint(3, 6)
    dark_s = draw.choice((0.0, draw.uniform(0, 0.8)))
    calm_s = draw.uniform(0, 2.5)
    takeovers = seed % 3
    # Only where the first of two ends early does the last one begin early.
    gap_s = draw.uniform(1.2, 2.5 if takeovers < 2 else 1.6)
    kill_s = draw.uniform(-1, 1 if takeovers < 2 else 0)
    kills_s = (kill_s, kill_s + gap_s + draw.uniform(0.1, 2))[:takeovers]
    return Recut(
        workers=workers,
        restarted=draw.choice((1, 1, 2, workers // 2)),
        dark_s=dark_s,
        calm_s=calm_s,
        cut_s=draw.uniform(9, 12),
        kills_s=kills_s,
        gap_s=gap_s,
        is_former_owner_stopped=draw.random() < 0.3,
        run_s=draw.uniform(15, 20),
        clock_ms=draw.choice(
            (
                draw.randint(0, MIN_FIRST_CLOCK_MS),
                draw.randint(MIN_FIRST_CLOCK_MS, FORMER_CLOCK_MS),
                draw.randint(FORMER_CLOCK_MS, MAX_FIRST_CLOCK_MS),
            )
        ),
        listed_s=draw.choice((0.02, draw.uniform(0, calm_s), calm_s + 1)),
        lost_answers=frozenset(
            draw.choice(((), (), ("start",), ("poll",), ("start", "poll")))
        ),
        former_run_s=draw.choice((18.0, draw.uniform(0.5, 3.5))),
        submitted_s=(
            *(draw.uniform(-dark_s - 0.1, 0.1) for _ in range(3)),
            draw.uniform(0, calm_s),
        ),
        expires=draw.random() < 0.3,
        seed=seed,
    )


def describe(choices: Recut) -> str:
    """Return the choices as a line."""
    return repr(dataclasses.asdict(choices))
