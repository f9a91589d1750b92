"""Successors of a pool's owner, and owners that have lost the log."""

import asyncio
import dataclasses

from bergamotgap.domain.fleet import JobPhase, StepSpec
from stand_ins.pools import SETTINGS, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import PARTITION, Scene


def test_a_successor_takes_over_what_runs() -> None:
    """Guards against a second run of a task that is at work at a take-over."""

    async def main() -> None:
        scene = Scene(run_s=3)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
        async with scene.own(2, number=2) as (pool, _):
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_successor_waits_for_a_worker_that_it_cannot_reach() -> None:
    """Guards against a run elsewhere while the former lease may still last."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
        began = scene.clock.monotonic_ms()
        async with scene.own(2, number=2, is_clean=False) as (pool, orders):
            orders.unreachable_workers |= used
            before = sum(scene.count_starts().values())
            await asyncio.sleep(SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) > before
        assert scene.clock.monotonic_ms() > began

    run_virtual(main())


def test_a_release_names_the_workers_that_its_owner_never_saw() -> None:
    """Guards against the release by an owner that did not reach a used worker."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
        async with scene.own(2, number=2) as (pool, orders):
            orders.unreachable_workers |= used
            await asyncio.sleep(0.5)
            pool.stop_placement()
            await pool.journal.wait_committed(pool.journal.last_change)
        before = sum(scene.count_starts().values())
        async with scene.own(3, number=3) as (pool, orders):
            orders.unreachable_workers |= used
            await asyncio.sleep(1.5)
            assert sum(scene.count_starts().values()) == before

    run_virtual(main())


def test_a_release_lets_the_successor_start_at_once() -> None:
    """Guards against a wait for workers that hold nothing of a restored job."""

    async def main() -> None:
        scene = Scene(run_s=1)
        async with scene.own(1) as (pool, _):
            await asyncio.sleep(0.2)
            await pool.submit(build_job())
            pool.stop_placement()
            await pool.journal.wait_committed(pool.journal.last_change)
        scene.workers["w1"].is_silent = True
        async with scene.own(2, number=2) as (pool, _):
            await asyncio.sleep(1)
            assert scene.count_starts()

    run_virtual(main())


def test_a_killed_owners_job_waits_only_for_workers_that_it_was_given() -> None:
    """Guards against jobs held up by a worker that holds nothing of them."""

    async def main() -> None:
        scene = Scene(run_s=30)
        narrow = build_job("narrow", steps=(StepSpec(count=1, cpu=8000),))
        async with scene.own(1) as (pool, _):
            await pool.submit(narrow)
            await asyncio.sleep(0.5)
            used = {name for name, worker in scene.workers.items() if worker.starts}
            await pool.submit(build_job("other", steps=(StepSpec(count=3, cpu=8000),)))
        async with scene.own(2, number=2, is_clean=False) as (pool, orders):
            orders.unreachable_workers |= used
            await asyncio.sleep(2)
            starts = [start for w in scene.workers.values() for start in w.starts]
            jobs = [task.job for task, _ in starts]
            assert jobs.count("other") == 2
            assert jobs.count("narrow") == 1

    run_virtual(main())


def test_a_start_waits_until_its_worker_is_written() -> None:
    """Guards against a run that a successor does not know of."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            await asyncio.sleep(0.3)
            # The job lasts; what is written of its first start does not.
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


def test_without_the_log_for_all_work_starts_without_a_record() -> None:
    """Guards against work that stands still in an outage that nobody can use."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            await asyncio.sleep(0.3)
            submitted = asyncio.create_task(pool.submit(build_job()))
            await asyncio.sleep(0.007)
            scene.store.is_down = scene.is_outage = True
            await submitted
            await asyncio.sleep(2)
            assert scene.count_starts()

    run_virtual(main())


def test_after_an_outage_a_successor_waits_for_all_workers() -> None:
    """Guards against runs that were started without a record while the log was away."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
        scene.store.get(*PARTITION).records[:] = [
            record
            for record in scene.store.get(*PARTITION).records
            if "/p/" not in record.key
        ]
        before = sum(scene.count_starts().values())
        async with scene.own(2, number=2, are_former_starts_recorded=False) as (
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
        async with scene.own(1) as (old, _):
            old._on_superseded = lost.append
            async with scene.own(2, number=2) as (new, _):
                await asyncio.sleep(0.5)
                submitted = asyncio.create_task(old.submit(build_job("late")))
                await asyncio.sleep(1)
                assert not submitted.done()
                assert lost == ["previews"]
                assert not scene.count_starts()
                submitted.cancel()
                assert new.job_table.get_durable_phase("late") is None

    run_virtual(main())


def test_an_owner_without_the_log_and_most_workers_waits() -> None:
    """Guards against an owner behind a cut that repeats what its successor runs."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.own(1) as (pool, orders):
            await pool.submit(build_job())
            await asyncio.sleep(0.5)
            scene.is_confirmed = False
            scene.store.is_down = True
            orders.unreachable_workers |= {"w1", "w2"}
            before = sum(scene.count_starts().values())
            await asyncio.sleep(4 * SETTINGS.run_lease_ms / 1000)
            assert sum(scene.count_starts().values()) == before
            assert not pool.runs.ownership.may_act()
            assert not pool.runs.ownership.may_renew_leases()

    run_virtual(main())


def test_an_owner_without_the_log_gives_no_silent_worker_up() -> None:
    """Guards against a second run of what a successor found beyond a cut."""

    async def main() -> None:
        scene = Scene(run_s=30)
        async with scene.own(1) as (pool, orders):
            await pool.submit(build_job())
            # Past the time for which a former owner's lease may last.
            await asyncio.sleep(2 * SETTINGS.run_lease_ms / 1000)
            used = {name for name, worker in scene.workers.items() if worker.starts}
            assert len(used) == 1
            orders.unreachable_workers |= used
            await asyncio.sleep(2.5)
            scene.lost_ms = scene.clock.monotonic_ms()
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
        async with scene.own(1) as (pool, _):
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


def test_what_ran_on_a_silent_worker_runs_again_after_its_lease() -> None:
    """Guards against a lease that each renewal without an answer moves on."""

    async def main() -> None:
        scene = Scene(run_s=2)
        async with scene.own(1) as (pool, _):
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


def test_a_start_that_waits_for_its_record_is_not_sent_after_it_was_given_up() -> None:
    """Guards against a run that is started although its task runs elsewhere."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=3)
        step = StepSpec(count=1, cpu=8000)
        async with scene.own(1) as (pool, _):
            await asyncio.sleep(0.3)
            submitted = asyncio.create_task(pool.submit(build_job(steps=(step,))))
            await asyncio.sleep(0.007)
            scene.store.is_down = True
            await submitted
            await asyncio.sleep(0.1)
            # The worker of the start that waits begins a new life, while it waits.
            used = next(link for link in pool.runs.links.values() if link.live_runs)
            born = dataclasses.replace(used.info, incarnation_ms=2)
            pool.update_workers({**scene.infos, used.worker_id: born})
            scene.store.is_down = False
            await asyncio.sleep(2)
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())
