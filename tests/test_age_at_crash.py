"""What is known of a run's age when its worker crashes between two polls."""

import asyncio
import dataclasses

import pytest
from aiohttp import web

from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.platform import workers
from bergamotgap.platform.workers import WorkerOrderClient
from bergamotgap.ports.fleet import Lease, Unanswered
from stand_ins.pools import build_job, build_worker
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene
from tests.test_platform_adapter import abort_connection, serve


async def answer_late(request: web.Request) -> web.Response:
    """Answer after the caller's timeout."""
    await asyncio.sleep(0.5)
    return web.Response()


@pytest.mark.parametrize(
    ("handler", "is_cut_off"), [(abort_connection, True), (answer_late, False)]
)
async def test_only_a_closed_connection_cuts_a_poll_off(
    monkeypatch: pytest.MonkeyPatch, handler: object, is_cut_off: bool
) -> None:
    """Guards against a worker that is silent, taken for one that has just closed."""
    monkeypatch.setattr(workers, "ORDER_TIMEOUT_S", 0.05)
    async with serve(handler) as (session, address):  # type: ignore[arg-type]
        info = dataclasses.replace(build_worker(1), address=address)
        outcome = await WorkerOrderClient(session).poll(info, Lease(7, 9), 0, 100)
    assert outcome == Unanswered(was_sent=True, is_cut_off=is_cut_off)


@pytest.mark.parametrize("is_long_running", [False, True])
@pytest.mark.parametrize("closes_connections", [False, True])
@pytest.mark.parametrize(
    ("delay_s", "is_at_start"),
    [(0.01, True), (0.15, True), (0.25, False), (0.5, False), (0.9, False)],
)
def test_a_crash_is_blamed_on_a_run_that_may_have_been_at_its_start(
    delay_s: float, is_at_start: bool, closes_connections: bool, is_long_running: bool
) -> None:
    """Guards against deadly tasks acquitted by the age of a run that is not known.

    A worker whose machine is gone closes no connection, so a poll that waits for an end
    tells nothing: the crash may have come at the start. Long-running tasks are polled
    more often at their start.
    """

    async def main() -> None:
        scene = CrashScene(
            lambda _: False,
            workers=3,
            run_s=5,
            closes_connections=closes_connections,
        )
        step = StepSpec(
            count=1,
            cpu=1000,
            memory_mb=100,
            estimated_ms=0 if is_long_running else 5000,
            is_long_running=is_long_running,
        )
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(build_job("job", steps=(step,)))
            task_id = TaskId("job", 0, 0, 0)
            while not any(task_id in w.running for w in scene.workers.values()):
                await asyncio.sleep(0.001)
            name = next(n for n, w in scene.workers.items() if task_id in w.running)
            await asyncio.sleep(delay_s)
            scene.crash(name)
            while not pool.crash_watch.crashes:
                await asyncio.sleep(0.01)
            (task,) = pool.job_table.jobs["job"].list_tasks()
            is_known = closes_connections or is_long_running
            assert task.blamed_crashes == int(is_at_start or not is_known)

    run_virtual(main())


@pytest.mark.parametrize("closes_connections", [False, True])
def test_a_reset_on_the_way_before_a_start_says_nothing_of_the_run(
    closes_connections: bool,
) -> None:
    """Guards against a crash at a start, taken for a later one by an older reset."""

    async def main() -> None:
        scene = CrashScene(lambda _: False, workers=1, run_s=5)
        step = StepSpec(count=1, cpu=1000, memory_mb=100, estimated_ms=5000)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("other", steps=(step,)))
            await asyncio.sleep(1.6)
            worker = scene.workers["w1"]
            # The connection of a poll is reset on its way; the worker works on.
            worker.closings += 1
            await asyncio.sleep(1)
            await pool.submit(build_job("job", steps=(step,)))
            task_id = TaskId("job", 0, 0, 0)
            while task_id not in worker.running:
                await asyncio.sleep(0.001)
            worker.closes_connections = closes_connections
            await asyncio.sleep(0.01)
            scene.crash("w1")
            while not pool.crash_watch.crashes:
                await asyncio.sleep(0.01)
            (task,) = pool.job_table.jobs["job"].list_tasks()
            assert task.blamed_crashes == 1

    run_virtual(main())
