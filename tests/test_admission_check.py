"""Early refusal by the owner of a pool: which jobs are refused, and when none is."""

import asyncio
import dataclasses

import msgspec
import pytest

from bergamotgap.domain.customers import Customer, build_customers
from bergamotgap.domain.early_refusal import RefusalReason
from bergamotgap.domain.fleet import (
    FleetConfig,
    JobPhase,
    JobSpec,
    Size,
    StepSpec,
)
from bergamotgap.pools.job_table import NotStored, Stored
from bergamotgap.pools.pool import Pool
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import run_virtual
from tests.customer_load import (
    Arrival,
    build_config,
    build_customer_job,
    draw_load,
    play_load,
)
from tests.pool_scene import Scene

NAMES = [f"c{number}" for number in range(10)]
WITH_CUSTOMERS = build_config(dict.fromkeys(NAMES, 2.0))
WITHOUT_CUSTOMERS = dataclasses.replace(WITH_CUSTOMERS, customers=None)
# The six workers of the scene serve 20 of the jobs per second.
ROOM_JOBS_PER_S = 20


@pytest.mark.parametrize("config", [WITH_CUSTOMERS, WITHOUT_CUSTOMERS])
def test_a_calm_pool_refuses_nothing(config: FleetConfig) -> None:
    """Guards against jobs lost although there is room for them."""
    load = draw_load(3, NAMES, 1.4, 8)
    outcomes = play_load(load, config, may_refuse=True, after_s=5)
    assert outcomes.refused.total() == 0
    assert outcomes.on_time.total() == len(load)


@pytest.mark.parametrize(
    ("config", "factor"),
    [(WITH_CUSTOMERS, 2), (WITH_CUSTOMERS, 5), (WITHOUT_CUSTOMERS, 2)],
)
def test_under_overload_more_jobs_are_on_time_and_fewer_accepted_in_vain(
    config: FleetConfig, factor: int
) -> None:
    """Guards against jobs that are accepted and never served.

    Without knowledge of the hosts that can arrive, nothing may be refused.
    """
    load = draw_load(1, NAMES, factor * ROOM_JOBS_PER_S / len(NAMES), 8)
    before = play_load(load, config, after_s=12)
    after = play_load(load, config, may_refuse=True, retries=4, after_s=12)
    assert before.refused.total() == 0
    assert before.longest_idle_ms <= 50
    assert after.longest_idle_ms <= 50
    assert after.on_time.total() > 1.1 * before.on_time.total()
    assert after.too_late.total() < 0.7 * before.too_late.total()
    assert after.retried > 0
    returns = [round(retry_ms / 1000) for retry_ms in after.retry_ms]
    assert min(returns) == 1
    assert len(set(returns)) > 1


async def _fill_pool(pool: Pool, config: FleetConfig) -> list[str]:
    """Submit jobs until one is refused; return the ids of the accepted ones."""
    pool.update_config(config)
    await asyncio.sleep(3)
    accepted: list[str] = []
    while True:
        pool.admission_check.record_hosts(0, 0)
        job_id = f"j{len(accepted)}"
        outcome = await pool.submit(build_customer_job(job_id, "c0"))
        if isinstance(outcome, NotStored):
            assert outcome.retry_ms >= 1000
            return accepted
        accepted.append(job_id)


def test_a_refused_job_never_runs_and_a_repeat_of_an_accepted_one_is_accepted() -> None:
    """Guards against refusals that are not true."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            accepted = await _fill_pool(pool, WITHOUT_CUSTOMERS)
            assert len(accepted) > 3
            offered = pool.job_table.offered_load.arrivals
            for name in accepted:
                repeat = await pool.submit(build_customer_job(name, "c0"))
                assert repeat == Stored(is_new=False)
            refused = build_customer_job(f"j{len(accepted)}", "c0")
            assert isinstance(await pool.submit(refused), NotStored)
            # Hosts follow the offered load; a return is not offered again.
            assert pool.job_table.offered_load.arrivals <= offered
            assert pool.admission_check.refused == 2
            assert pool.job_table.get_durable_phase(refused.job_id) is None
            await asyncio.sleep(10)
            started = {task.job for task in scene.count_starts()}  # type: ignore[attr-defined]
            assert started == set(accepted)
            # Once there is room, it is accepted.
            pool.admission_check.record_hosts(0, 0)
            assert await pool.submit(refused) == Stored(is_new=True)

    run_virtual(main())


def test_jobs_whose_end_is_not_known_are_never_refused() -> None:
    """Guards against refusals of services, of timed jobs and of undeclared times."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            await _fill_pool(pool, WITHOUT_CUSTOMERS)
            plain = build_customer_job("x", "")
            step = plain.steps[0]
            service = (msgspec.structs.replace(step, is_long_running=True),)
            undeclared = (step, msgspec.structs.replace(step, estimated_ms=0))
            soon_ms = scene.clock.wall_ms() + 500
            replace = msgspec.structs.replace
            for spec in (
                replace(plain, job_id="service", steps=service),
                replace(plain, job_id="undeclared", steps=undeclared),
                replace(plain, job_id="timed", repetitions=1, start_at_ms=soon_ms),
            ):
                assert await pool.submit(spec) == Stored(is_new=True)
            assert isinstance(await pool.submit(plain), NotStored)
            # Free hosts that can be moved here in time are room.
            pool.admission_check.record_hosts(0, 400_000)
            await asyncio.sleep(0.1)
            assert await pool.submit(plain) == Stored(is_new=True)

    run_virtual(main())


def test_a_job_that_alone_takes_too_long_is_refused_unless_hosts_can_arrive() -> None:
    """Guards against a wide job that is accepted by a pool that is far too small."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(CONFIG)
            await asyncio.sleep(3)
            pool.admission_check.record_hosts(0, 0)
            wide = StepSpec(count=200, cpu=1000, memory_mb=10, estimated_ms=600)
            spec = JobSpec("wide", "q-previews", "", (wide,))
            assert isinstance(await pool.submit(spec), NotStored)
            pool.admission_check.record_hosts(64_000, 0)
            await asyncio.sleep(0.1)
            assert await pool.submit(spec) == Stored(is_new=True)
            # No room helps a job whose steps take longer than three objectives.
            queue = dataclasses.replace(CONFIG.queues[0], stretch=0.1)
            pool.update_config(dataclasses.replace(CONFIG, queues=(queue,)))
            long = StepSpec(count=1, cpu=100, memory_mb=10, estimated_ms=9000)
            spec = JobSpec("long", "q-previews", "", (long,))
            assert isinstance(await pool.submit(spec), NotStored)
            # A queue without an objective refuses nothing.
            queue = dataclasses.replace(queue, stretch=0, target_latency_ms=0)
            pool.update_config(dataclasses.replace(CONFIG, queues=(queue,)))
            assert await pool.submit(spec) == Stored(is_new=True)

    run_virtual(main())


def test_short_jobs_beside_long_runs_are_accepted() -> None:
    """Guards against a pool with free workers that refuses because of long runs."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(WITH_CUSTOMERS)
            await asyncio.sleep(3)
            step = StepSpec(count=16, cpu=1000, memory_mb=10, estimated_ms=60_000)
            for worker in scene.workers.values():
                worker.run_s = 60
            long = JobSpec("long", "q-previews", "", (step,), customer="c0")
            assert await pool.submit(long) == Stored(is_new=True)
            await asyncio.sleep(1)
            for worker in scene.workers.values():
                worker.run_s = 0.6
            # Two jobs at a time fit beside the long one; all but two are in excess.
            for number in range(20):
                pool.admission_check.record_hosts(0, 0)
                spec = build_customer_job(f"short-{number}", "c1")
                assert await pool.submit(spec) == Stored(is_new=True)
                await asyncio.sleep(0.4)
            assert pool.customer_accounts.excess > 0

    run_virtual(main())


def test_work_beyond_a_cap_refuses_no_job_of_others() -> None:
    """Guards against refusals in a pool whose room a customer's cap leaves idle."""
    capped = Customer("c0", 1000.0, Size(cpu=32_000))
    rows = [(capped, ["key-0"]), (Customer("c1", 1000.0), ["key-1"])]
    config = dataclasses.replace(CONFIG, customers=build_customers(rows))

    async def main() -> None:
        scene = Scene(workers=3, run_s=0.6)
        async with scene.run_owner(1, 2) as (pool, _):
            accepted = await _fill_pool(pool, config)
            await asyncio.sleep(0.2)
            pool.admission_check.record_hosts(0, 0)
            links = pool.run_tracker.links.values()
            assert sum(link.capacity.free_cpu for link in links) >= 16_000
            # The rest of its own work goes before further jobs of the customer.
            for number in range(5):
                spec = build_customer_job(f"own-{number}", "c0")
                if isinstance(await pool.submit(spec), NotStored):
                    break
            else:
                pytest.fail(f"none refused behind {len(accepted)} jobs")
            other = await pool.submit(build_customer_job("other", "c1"))
            assert other == Stored(is_new=True)
            await asyncio.sleep(1)
            assert pool.job_table.get_durable_phase("other") is JobPhase.COMPLETED

    run_virtual(main())


def test_workers_that_pause_for_a_moment_are_room() -> None:
    """Guards against refusals because some orders got no answer."""

    async def main() -> None:
        scene = Scene(workers=4, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(WITHOUT_CUSTOMERS)
            await asyncio.sleep(3)
            pool.admission_check.record_hosts(0, 0)
            for name in ("w1", "w2", "w3"):
                pool.run_tracker.links[name].quarantine(250)
            specs = [build_customer_job(f"j{n}", "c0") for n in range(16)]
            outcomes = await asyncio.gather(*(pool.submit(spec) for spec in specs))
            assert outcomes == [Stored(is_new=True)] * len(specs)
            # Before they are of no value, 4.7 s after they were submitted.
            await asyncio.sleep(3)
            phases = {pool.job_table.get_durable_phase(spec.job_id) for spec in specs}
            assert phases == {JobPhase.COMPLETED}

    run_virtual(main())


def test_after_a_take_over_nothing_is_refused() -> None:
    """Guards against refusals by an owner that doesn't know what runs yet."""

    async def submit(pool: Pool, prefix: str) -> list[bool]:
        pool.admission_check.record_hosts(0, 0)
        specs = [build_customer_job(f"{prefix}{n}", "c0") for n in range(30)]
        outcomes = await asyncio.gather(*(pool.submit(spec) for spec in specs))
        return [isinstance(outcome, NotStored) for outcome in outcomes]

    async def main() -> None:
        scene = Scene(workers=3, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(WITHOUT_CUSTOMERS)
            await asyncio.sleep(0.5)
            assert not any(await submit(pool, "a"))
            await asyncio.sleep(0.1)
        scene.workers["w1"].is_silent = True
        async with scene.run_owner(2, 2, is_former_owner_stopped=False) as (pool, _):
            pool.update_config(WITHOUT_CUSTOMERS)
            await asyncio.sleep(1.5)
            assert not any(await submit(pool, "b"))
            await asyncio.sleep(1)
            # Jobs may still run on the worker that is silent, until its lease ends.
            assert not pool.run_tracker.ownership.are_jobs_recovered()
            assert not any(await submit(pool, "c"))
            await asyncio.sleep(4)
            assert pool.run_tracker.ownership.are_jobs_recovered()
            assert not all(await submit(pool, "d"))
            assert any(await submit(pool, "e"))

    run_virtual(main())


def test_an_owner_with_a_successor_refuses_nothing() -> None:
    """Guards against a refusal of a job that a successor has accepted."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.6)
        async with scene.run_owner(1) as (former, _):
            accepted = await _fill_pool(former, WITHOUT_CUSTOMERS)
            spec = build_customer_job(f"j{len(accepted)}", "c0")
            async with scene.run_owner(2, 2) as (pool, _):
                pool.update_config(WITHOUT_CUSTOMERS)
                assert await pool.submit(spec) == Stored(is_new=True)
                former.admission_check.record_hosts(0, 0)
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(former.submit(spec), 2)

    run_virtual(main())


def test_a_job_that_is_accepted_while_its_refusal_is_recorded_is_accepted() -> None:
    """Guards against a refusal of a job that runs, by a repeat that came meanwhile."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.run_owner(1) as (pool, _):
            verdicts: list[NotStored | None] = [NotStored("no_capacity", 1000), None]
            pool.job_table.check_admission = lambda spec: verdicts.pop(0)
            spec = build_customer_job("a", "")
            outcomes = await asyncio.gather(pool.submit(spec), pool.submit(spec))
            assert outcomes == [Stored(is_new=False), Stored(is_new=True)]

    run_virtual(main())


def test_without_reports_of_the_host_controller_nothing_is_refused() -> None:
    """Guards against refusals by nodes of two versions, or without a controller."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.6)
        async with scene.run_owner(1) as (pool, _):
            await _fill_pool(pool, WITHOUT_CUSTOMERS)
            await asyncio.sleep(1.1)
            pool.admission_check.record_hosts(None, 0)
            specs = [build_customer_job(f"x{n}", "c0") for n in range(30)]
            outcomes = [await pool.submit(spec) for spec in specs]
            assert outcomes == [Stored(is_new=True)] * 30

    run_virtual(main())


def test_only_excess_is_refused_in_a_burst_and_the_others_stay_on_time() -> None:
    """Guards against a burst because of which other customers' jobs are refused."""
    load = draw_load(5, NAMES[1:], 1.8, 6)
    burst = [Arrival(2 + n / 40, "c0", f"b{n}") for n in range(120)]
    calm = play_load(load, WITH_CUSTOMERS, may_refuse=True, after_s=8)
    busy = play_load(load + burst, WITH_CUSTOMERS, may_refuse=True, retries=4)
    assert busy.reasons.total() > 30
    assert set(busy.reasons) == {RefusalReason.OVER_SHARE}
    on_time = busy.on_time.total() - busy.on_time["c0"]
    assert on_time >= 0.95 * calm.on_time.total()


def test_nothing_is_refused_unless_the_settings_ask_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers of earlier deployments that are refused."""
    settings = dataclasses.replace(SETTINGS, refuses_early=False)
    monkeypatch.setattr("tests.pool_scene.SETTINGS", settings)

    async def main() -> None:
        scene = Scene(run_s=5)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(WITHOUT_CUSTOMERS)
            await asyncio.sleep(3)
            for number in range(200):
                pool.admission_check.record_hosts(0, 0)
                job = build_customer_job(f"j{number}", "c0")
                assert isinstance(await pool.submit(job), Stored)

    run_virtual(main())
