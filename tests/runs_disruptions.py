"""Disruptions of the random scenes of runs; workers begin other lives under way."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from bergamotgap.domain.fleet import StepSpec
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import MAX_ANSWER_S, build_job
from tests import waiting_disruptions

if TYPE_CHECKING:
    from tests.waiting_scene import WaitingScene

# A worker that started a run this lately counts as being at a start.
FRESH_S = 0.1
MAX_REPORT_LAG_S = 2.0


async def restart_soon(scene: WaitingScene) -> None:
    """Restart a worker at once, sometimes twice; jobs arrive meanwhile."""
    name, worker = scene.choose_worker(FRESH_S)
    count = scene.rng.choice((1, 1, 2))
    scene.note(f"restart {name} at once, {count} times")
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            _begin_life(scene, name, worker, group)
            if scene.rng.random() < 0.7:
                group.create_task(_submit_short(scene))
            await asyncio.sleep(scene.rng.uniform(0, 1))


async def restart_all(scene: WaitingScene) -> None:
    """Restart all workers at once; jobs arrive meanwhile."""
    scene.note("restart all")
    async with asyncio.TaskGroup() as group:
        for name, worker in scene.list_up():
            _begin_life(scene, name, worker, group)
        for _ in range(scene.rng.randint(1, 4)):
            group.create_task(_submit_short(scene))


def _begin_life(
    scene: WaitingScene, name: str, worker: FakeWorker, group: asyncio.TaskGroup
) -> None:
    if worker.is_silent:
        return
    worker.restart()
    group.create_task(_list_late(scene, name, worker))


async def _list_late(scene: WaitingScene, name: str, worker: FakeWorker) -> None:
    lag_s = scene.rng.choice((0.02, 0.2, MAX_REPORT_LAG_S))
    info = worker.info
    await asyncio.sleep(scene.rng.uniform(0, lag_s))
    scene.list_life(name, info)


async def _submit_short(scene: WaitingScene) -> None:
    """Submit a job of one short step a moment later, sometimes a gang."""
    number = len(scene.events)
    await asyncio.sleep(scene.rng.uniform(0, 0.05))
    is_gang = scene.rng.random() < 0.2
    step = StepSpec(
        count=2 if is_gang else scene.rng.randint(1, 3),
        cpu=500,
        estimated_ms=scene.rng.choice((500, 3000)),
        is_gang=is_gang,
    )
    await scene.submit(build_job(f"restart-{number}-{step.count}", steps=(step,)))


async def answer_slowly(scene: WaitingScene) -> None:
    """Delay answers for a while, so that they overtake each other."""
    orders = scene.orders
    if orders is None:
        return
    scene.note("slow answers")
    orders.max_answer_s = scene.rng.choice((0.03, 0.1, 0.4))
    await asyncio.sleep(scene.rng.uniform(1, 4))
    orders.max_answer_s = MAX_ANSWER_S


# Some kinds are drawn more often.
RUNS_DISRUPTIONS: tuple[Callable[[WaitingScene], Awaitable[None]], ...] = (
    *(restart_soon, restart_soon, restart_all, answer_slowly),
    *(waiting_disruptions.restart, waiting_disruptions.crash, waiting_disruptions.cut),
    *(waiting_disruptions.disturb_orders, waiting_disruptions.disturb_orders),
    *(waiting_disruptions.take_over, waiting_disruptions.take_over),
    *(waiting_disruptions.drain, waiting_disruptions.maintain),
    *(waiting_disruptions.fail_tasks, waiting_disruptions.scale_out),
)
