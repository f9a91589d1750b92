"""Tasks that the owner's bookkeeping could lose: room without runs, runs nowhere."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId, WorkerInfo
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import (
    Lease,
    OrderOutcome,
    OtherInstance,
    PollOutcome,
    StartOrder,
)
from stand_ins.pool_workers import FakeRun
from stand_ins.pools import FakeOrders, build_job
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene
from tests.pool_scene import Scene
from tests.test_worker_lives import LASTING, find_busy, publish_reports

LASTING_TASK = TaskId("lasting", 0, 0, 0)


def check_room(pool: Pool) -> None:
    """Check that the room held on each worker is that of its tracked runs."""
    for link in pool.run_tracker.links.values():
        held, steps = NOTHING, Counter[object]()
        for live in link.runs.values():
            held += Amount(*live.task.step.size)
            steps[live.task.task_id[:3]] += 1
        assert link.capacity.used == held
        assert +link.capacity.tasks_of_step == steps


def check_active_tasks(pool: Pool) -> None:
    """Check that each active task of an open job is a run on the link to its worker."""
    for job in pool.job_table.jobs.values():
        for task in job.list_tasks():
            if task.is_active and not job.phase.is_final:
                live = pool.run_tracker.links[task.worker_id].runs[task.task_id]
                assert live.task is task and live.run == task.run


def get_task(pool: Pool, task_id: TaskId) -> Task:
    """Return a task of an open job."""
    task = pool.job_table.jobs[task_id.job].get_task(task_id)
    assert task is not None
    return task


def test_a_start_beside_a_former_run_of_its_task_leaks_no_room() -> None:
    """Guards against room that is held for a run that is gone, as long as a worker."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        async with scene.run_owner(1) as (pool, orders):
            busy = StepSpec(count=2, cpu=100, max_per_host=1, is_long_running=True)
            await pool.submit(LASTING)
            await asyncio.sleep(1)
            first = find_busy(scene)
            other = next(name for name in scene.workers if name != first)
            await pool.submit(build_job("busy", steps=(busy,)))
            await asyncio.sleep(1)
            # A run of a former owner is on the other worker, and can't be stopped yet.
            stray = StartOrder(LASTING_TASK, 0, "payload", "")
            loop = asyncio.get_running_loop()
            scene.workers[other].running[LASTING_TASK] = FakeRun(
                stray, loop.time() + 1000, loop.time()
            )
            orders.drop_stops = 6
            await asyncio.sleep(1.5)
            scene.workers[first].end_run(LASTING_TASK, "failed")
            await asyncio.sleep(10)
            check_room(pool)
            check_active_tasks(pool)
            await pool.cancel("lasting")
            await pool.cancel("busy")
            await asyncio.sleep(3)
            check_room(pool)
            assert all(link.is_empty for link in pool.run_tracker.links.values())

    run_virtual(main())


class SlowReplyOrders(FakeOrders):
    """Delay the reply to one poll, after `on_reply` was called."""

    on_reply: Callable[[], None] | None = None
    odd_reply: PollOutcome | None = None

    async def poll(
        self, info: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        reply = await super().poll(info, lease, acked_through, wait_ms)
        if self.on_reply is not None:
            self.on_reply()
            self.on_reply = None
            await asyncio.sleep(0.1)
            return self.odd_reply or reply
        return reply


@pytest.mark.parametrize("odd_reply", [None, OtherInstance()])
@pytest.mark.parametrize("is_busy", [False, True])
def test_a_late_reply_of_a_former_life_keeps_the_new_one_in_use(
    is_busy: bool, odd_reply: PollOutcome | None
) -> None:
    """Guards against a sound worker that gets no work because of a reply before it."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1000)
        scene.orders_class = SlowReplyOrders
        async with scene.run_owner(1) as (pool, orders):
            assert isinstance(orders, SlowReplyOrders)

            def restart() -> None:
                scene.workers["w1"].restart()
                publish_reports(scene, pool)

            await asyncio.sleep(1)
            if is_busy:
                await pool.submit(LASTING)
                await asyncio.sleep(1)
            orders.on_reply, orders.odd_reply = restart, odd_reply
            pool.run_tracker.links["w1"].request_poll()
            await asyncio.sleep(4)
            assert orders.on_reply is None
            await pool.submit(LASTING)
            await asyncio.sleep(3)
            now_ms = scene.clock.monotonic_ms()
            assert not pool.run_tracker.links["w1"].get_obstacle(now_ms)
            assert scene.workers["w1"].running
            check_active_tasks(pool)

    run_virtual(main())


def raise_once(owner: Any, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the next call of a method raise."""
    method = getattr(owner, name)

    def fail(*args: Any, **kwargs: Any) -> Any:
        monkeypatch.setattr(owner, name, method)
        raise RuntimeError(f"{name} failed")

    monkeypatch.setattr(owner, name, fail)


def test_an_end_counts_although_its_run_time_cannot_be_learned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that is done, and active for its owner for good."""

    async def main() -> None:
        scene = Scene(workers=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.2)
            raise_once(pool.run_tracker.estimates, "record_run", monkeypatch)
            await asyncio.sleep(10)
            check_active_tasks(pool)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_task_whose_end_cannot_be_applied_starts_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an end that is never read again after its handling failed."""

    async def main() -> None:
        scene = Scene(workers=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.2)
            raise_once(pool.job_table.jobs["job-1"], "record_done", monkeypatch)
            await asyncio.sleep(10)
            check_active_tasks(pool)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


@pytest.mark.parametrize(
    "step", ["wait_until_start_allowed", "handle_started", "handle_start_unanswered"]
)
def test_a_task_whose_start_order_fails_inside_the_owner_starts_again(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that is about to start for good after an internal error."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        scene.workers["w1"].reports_full_progress = True
        scene.workers["w2"].reports_full_progress = True
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(1)
            raise_once(pool.run_tracker, step, monkeypatch)
            orders.drop_starts = step == "handle_start_unanswered"
            await pool.submit(LASTING)
            await asyncio.sleep(15)
            check_active_tasks(pool)
            check_room(pool)
            assert get_task(pool, LASTING_TASK).is_ready
            assert find_busy(scene) == get_task(pool, LASTING_TASK).worker_id

    run_virtual(main())


class CancelledOrders(FakeOrders):
    """Raise CancelledError from the first start, as a library may."""

    cancelled_starts = 1

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        if self.cancelled_starts:
            self.cancelled_starts -= 1
            raise asyncio.CancelledError
        return await super().start(info, order, lease)


def test_a_call_that_was_cancelled_inside_does_not_end_the_orders() -> None:
    """Guards against a worker that gets no order any more after a cancelled call."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1000)
        scene.orders_class = CancelledOrders
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(LASTING)
            await asyncio.sleep(15)
            check_active_tasks(pool)
            assert scene.workers["w1"].running

    run_virtual(main())


def test_a_worker_listed_again_while_links_are_closed_keeps_its_link() -> None:
    """Guards against a listed worker without a link, and runs on closed links."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=1000)
        whole = StepSpec(count=3, cpu=8000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            # Not at a time of the pool's own housekeeping.
            await asyncio.sleep(1.1)
            pool.update_workers({})
            closing = asyncio.create_task(pool.run_tracker.close_removable_links())
            await asyncio.sleep(0)
            pool.update_workers(scene.infos)
            await closing
            assert set(pool.run_tracker.links) == set(scene.infos)
            await pool.submit(build_job("whole", steps=(whole,)))
            await asyncio.sleep(5)
            assert all(worker.running for worker in scene.workers.values())

    run_virtual(main())


def test_run_numbers_rise_after_a_run_of_a_lower_number_was_adopted() -> None:
    """Guards against two runs of a task with one number, where orders cross."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1000)
        worker = scene.workers["w1"]
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(LASTING)
            for _ in range(3):
                await asyncio.sleep(1)
                worker.end_run(LASTING_TASK, "stopped")
            await asyncio.sleep(0.5)
            task = get_task(pool, LASTING_TASK)
            highest = task.run
            pool.stop_placement()
            worker.end_run(LASTING_TASK, "stopped")
            await asyncio.sleep(1)
            # A start that got no answer is carried out late, in a life without memory.
            worker.barred_runs.clear()
            now_s = asyncio.get_running_loop().time()
            stray = StartOrder(LASTING_TASK, 2, "payload", "")
            worker.running[LASTING_TASK] = FakeRun(stray, now_s + 1000, now_s)
            worker.lease_end_s = now_s + 5
            pool.run_tracker.links["w1"].request_poll()
            await asyncio.sleep(1)
            assert task.phase is TaskPhase.RUNNING
            assert task.run == 2
            assert pool.run_tracker.choose_run_number(task) > highest

    run_virtual(main())


@pytest.mark.parametrize("name", ["record_assigned_worker", "record_progress"])
def test_a_task_whose_placement_fails_inside_the_owner_is_placed_again(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that counts as starting, and whose start is not queued."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            raise_once(pool.job_table, name, monkeypatch)
            await pool.submit(LASTING)
            await asyncio.sleep(5)
            check_active_tasks(pool)
            assert find_busy(scene) == get_task(pool, LASTING_TASK).worker_id

    run_virtual(main())


def test_a_worker_that_a_lasting_job_lost_does_not_hold_up_successors() -> None:
    """Guards against a wait of a lease after each takeover for a worker long gone."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        step = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("lasting", steps=(step,)))
            await asyncio.sleep(1)
            lost = next(name for name, w in scene.workers.items() if w.running)
            other = next(name for name in scene.workers if name != lost)
            scene.workers[lost].crash()
            scene.workers[lost].is_silent = True
            await asyncio.sleep(20)
            scene.infos.pop(lost)
            pool.update_workers(scene.infos)
            await asyncio.sleep(1)
            assert scene.workers[other].running
            assert set(pool.job_table.jobs["lasting"].assigned_workers) == {other}
        async with scene.run_owner(2, term_number=2) as (pool, _):
            scene.workers[other].end_run(TaskId("lasting", 0, 0, 0), "failed")
            await asyncio.sleep(1.5)
            assert scene.workers[other].running

    run_virtual(main())


def test_a_task_starts_nowhere_while_a_run_of_it_is_being_stopped() -> None:
    """Guards against a second run beside one that the owner knows of and stops.

    w1 shows a late run of the task while its run on w2 ends; stops take a while.
    """

    async def main() -> None:
        scene = CrashScene(lambda _: False, workers=3, run_s=30)
        step = StepSpec(count=1, cpu=1000, memory_mb=100, estimated_ms=30_000)
        task = TaskId("job", 0, 0, 0)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(build_job("job", steps=(step,)))
            # Keeps the links polled.
            lasting = StepSpec(count=3, cpu=100, is_long_running=True, max_per_host=1)
            await pool.submit(build_job("other", steps=(lasting,)))
            await asyncio.sleep(2.5)
            holder = next(n for n, w in scene.workers.items() if task in w.running)
            stray = next(n for n in scene.workers if n != holder)
            now_s = asyncio.get_running_loop().time()
            order = StartOrder(task, 0, "payload", "", "")
            scene.workers[stray].running[task] = FakeRun(order, now_s + 30, now_s)
            orders.drop_stops = 3
            while task not in pool.run_tracker.links[stray].runs:
                await asyncio.sleep(0.01)
            scene.workers[holder].fails_all_tasks = True
            scene.workers[holder].end_run(task, "failed")
            for _ in range(500):
                await asyncio.sleep(0.01)
                runs = [n for n, w in scene.workers.items() if task in w.running]
                assert len(runs) <= 1, runs

    run_virtual(main())
