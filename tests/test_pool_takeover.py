"""Takeovers of a pool by a new owner, and owners that have lost the log."""

import asyncio
import dataclasses

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from bergamotgap.ports.fleet import StartOrder
from bergamotgap.ports.pool_peer import MaintenanceCall
from stand_ins.pool_workers import SETTINGS, FakeRun
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import PARTITION, Scene


def test_a_successor_adopts_running_tasks() -> None:
    """Guards against a second run of a task that runs during a takeover."""

    async def main() -> None:
        scene = Scene(run_s=3)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
        async with scene.run_owner(2, term_number=2) as (pool, _):
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_successor_waits_for_a_worker_that_it_cannot_reach() -> None:
    """Guards against a run elsewhere before the former owner's lease has expired."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
        began = scene.clock.monotonic_ms()
        async with scene.run_owner(2, term_number=2, is_former_owner_stopped=False) as (
            pool,
            orders,
        ):
            orders.unreachable_workers |= used
            before = sum(scene.count_starts().values())
            await asyncio.sleep(SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) > before
        assert scene.clock.monotonic_ms() > began

    run_virtual(main())


def test_a_released_pool_keeps_the_record_of_workers_never_polled() -> None:
    """Guards against a second run after an owner released the pool.

    That owner had not reached a worker with runs of the owner before it, so its record
    must name the worker.
    """

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
        async with scene.run_owner(2, term_number=2) as (pool, orders):
            orders.unreachable_workers |= used
            await asyncio.sleep(0.5)
            pool.stop_placement()
            await pool.journal.wait_committed(pool.journal.last_change)
        before = sum(scene.count_starts().values())
        async with scene.run_owner(3, term_number=3) as (pool, orders):
            orders.unreachable_workers |= used
            await asyncio.sleep(1.5)
            assert sum(scene.count_starts().values()) == before

    run_virtual(main())


def test_a_release_lets_the_successor_start_at_once() -> None:
    """Guards against a wait for workers that have no runs of a restored job."""

    async def main() -> None:
        scene = Scene(run_s=1)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await pool.submit(build_job())
            pool.stop_placement()
            await pool.journal.wait_committed(pool.journal.last_change)
        scene.workers["w1"].is_silent = True
        async with scene.run_owner(2, term_number=2) as (pool, _):
            await asyncio.sleep(1)
            assert scene.count_starts()

    run_virtual(main())


def test_a_restored_job_waits_only_for_its_recorded_workers() -> None:
    """Guards against jobs held up by an unreachable worker that has no runs of them."""

    async def main() -> None:
        scene = Scene(run_s=30)
        narrow = build_job("narrow", steps=(StepSpec(count=1, cpu=8000),))
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(narrow)
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
            await pool.submit(build_job("other", steps=(StepSpec(count=3, cpu=8000),)))
        async with scene.run_owner(2, term_number=2, is_former_owner_stopped=False) as (
            pool,
            orders,
        ):
            orders.unreachable_workers |= used
            await asyncio.sleep(2)
            starts = [start for w in scene.workers.values() for start in w.starts]
            jobs = [task.job for task, _ in starts]
            assert jobs.count("other") == 2
            assert jobs.count("narrow") == 1

    run_virtual(main())


def test_a_start_waits_until_its_worker_is_recorded() -> None:
    """Guards against a run on a worker that no record in the log names."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            # The job is durable; the record of its first start is not.
            submitted = asyncio.create_task(pool.submit(build_job()))
            await asyncio.sleep(0.007)
            scene.store.is_down = True
            await submitted
            await asyncio.sleep(2)
            assert not scene.count_starts()
            scene.store.is_down = False
            await asyncio.sleep(2)
            assert scene.count_starts()

    run_virtual(main())


def test_in_an_outage_for_all_tasks_start_without_a_record() -> None:
    """Guards against work that waits in an outage during which nobody can succeed."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            submitted = asyncio.create_task(pool.submit(build_job()))
            await asyncio.sleep(0.007)
            scene.store.is_down = scene.is_log_down_for_all = True
            await submitted
            await asyncio.sleep(2)
            assert scene.count_starts()

    run_virtual(main())


def test_after_an_outage_a_successor_waits_for_all_workers() -> None:
    """Guards against second runs of tasks that started without a record in an outage.

    The successor knows no workers of the job, so it must wait for all of them.
    """

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
        scene.store.get(*PARTITION).records[:] = [
            record
            for record in scene.store.get(*PARTITION).records
            if "/p/" not in record.key
        ]
        before = sum(scene.count_starts().values())
        async with scene.run_owner(
            2, term_number=2, are_former_starts_recorded=False
        ) as (
            pool,
            orders,
        ):
            orders.unreachable_workers.add(
                next(n for n, w in scene.workers.items() if w.starts)
            )
            await asyncio.sleep(SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before

    run_virtual(main())


def test_a_superseded_owner_starts_nothing() -> None:
    """Guards against two owners that both place tasks."""

    async def main() -> None:
        scene = Scene()
        lost: list[str] = []
        async with scene.run_owner(1) as (old, _):
            old._on_superseded = lost.append
            async with scene.run_owner(2, term_number=2) as (new, _):
                await asyncio.sleep(0.5)
                submitted = asyncio.create_task(old.submit(build_job("late")))
                await asyncio.sleep(1)
                assert not submitted.done()
                assert lost == ["previews"]
                assert not scene.count_starts()
                submitted.cancel()
                assert new.job_table.get_durable_phase("late") is None

    run_virtual(main())


def test_an_owner_without_the_log_and_most_workers_does_not_act() -> None:
    """Guards against a partitioned owner that repeats what its successor runs."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            scene.is_confirmed = False
            scene.store.is_down = True
            orders.unreachable_workers |= {"w1", "w2"}
            before = sum(scene.count_starts().values())
            await asyncio.sleep(4 * SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before
            assert not pool.run_tracker.ownership.may_act()
            assert not pool.run_tracker.ownership.may_renew_leases()

    run_virtual(main())


def test_an_owner_without_the_log_abandons_no_silent_worker() -> None:
    """Guards against a second run of a task that a successor has adopted.

    The owner lost the log and the worker; a successor may reach both.
    """

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(build_job())
            # By then any lease given by a former owner has expired.
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            used = {name for name, worker in scene.workers.items() if worker.starts}
            assert len(used) == 1
            orders.unreachable_workers |= used
            await asyncio.sleep(2.5)
            scene.confirmation_lost_ms = scene.clock.monotonic_ms()
            scene.is_confirmed = False
            scene.store.is_down = True
            before = sum(scene.count_starts().values())
            await asyncio.sleep(3 * SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before

    run_virtual(main())


def test_an_owner_without_the_log_goes_on_with_its_workers() -> None:
    """Guards against an outage of the log that stops accepted work."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.1)
            scene.is_confirmed = False
            scene.store.is_down = True
            await asyncio.sleep(2)
            steps = {task.step for task in scene.count_starts()}  # type: ignore[attr-defined]
            assert steps == {0, 1}
            scene.store.is_down = False
            await asyncio.sleep(2)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_runs_on_a_silent_worker_are_repeated_after_its_lease() -> None:
    """Guards against a lease that renewals without an answer extend forever."""

    async def main() -> None:
        scene = Scene(run_s=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            used = [name for name, worker in scene.workers.items() if worker.starts]
            for name in used:
                scene.workers[name].is_silent = True
            await asyncio.sleep(SETTINGS.run_lease_ms / 1000 - 1.5)
            assert set(scene.count_starts().values()) == {1}
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_an_unknown_run_on_a_silent_worker_ends_with_its_lease() -> None:
    """Guards against a host that can never be drained, as its worker is cut off."""

    async def main() -> None:
        scene = Scene(workers=1)
        [(name, worker)] = scene.workers.items()
        order = StartOrder(TaskId("gone", 0, 0, 0), 1, "", "")
        worker.running[order.task] = FakeRun(order, 1e9)
        worker.lease_end_s = 1e9
        async with scene.run_owner(1) as (pool, _):
            link = pool.run_tracker.links[name]
            # The run is known and its stop is under way.
            for _ in range(100):
                await asyncio.sleep(0.001)
                if not link.is_empty:
                    break
            worker.is_silent = True
            assert not pool.drain_worker(name, True).is_empty
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            assert pool.drain_worker(name, True).is_empty

    run_virtual(main())


def test_a_host_with_a_new_worker_is_not_empty_for_the_old_one() -> None:
    """Guards against maintenance that ends runs, as the host's worker has a new id."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=30)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            assert not pool.drain_worker("w0", True, host="m1").is_empty
            assert pool.drain_worker("w0", True, host="m2").is_empty
            former = dataclasses.replace(scene.infos["w1"], worker_id="w0")
            pool.update_workers({"w0": former, **scene.infos})
            call = MaintenanceCall("previews", {"m1": 1000}, 0, (), ())
            loads = pool.prepare_maintenance(call).loads
            assert {load.worker_id for load in loads} == {"w0", "w1"}

    run_virtual(main())


def test_an_abandoned_start_is_not_sent_when_its_record_is_committed() -> None:
    """Guards against a start that is sent although the task runs elsewhere by then."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=3)
        step = StepSpec(count=1, cpu=8000)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            submitted = asyncio.create_task(pool.submit(build_job(steps=(step,))))
            await asyncio.sleep(0.007)
            scene.store.is_down = True
            await submitted
            await asyncio.sleep(0.1)
            # The worker restarts while the start waits for its record.
            used = next(link for link in pool.run_tracker.links.values() if link.runs)
            restarted = dataclasses.replace(used.info, incarnation_ms=2)
            pool.update_workers({**scene.infos, used.worker_id: restarted})
            scene.store.is_down = False
            await asyncio.sleep(2)
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


@pytest.mark.parametrize("phantoms", [1, 3])
@pytest.mark.parametrize("is_former_owner_stopped", [True, False])
def test_listed_workers_that_never_answer_hold_up_no_restored_job(
    phantoms: int, is_former_owner_stopped: bool
) -> None:
    """Guards against restored jobs that wait for workers which nobody can reach."""

    async def main() -> None:
        scene = Scene(workers=1 + phantoms, run_s=3)
        for number in range(phantoms):
            scene.workers[f"w{number + 2}"].is_silent = True
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(1)
        async with scene.run_owner(
            2, term_number=2, is_former_owner_stopped=is_former_owner_stopped
        ) as (pool, _):
            # The first step ends after 2 s; the second may wait for the leases.
            await asyncio.sleep(SETTINGS.former_lease_ms / 1000 + 4)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())
