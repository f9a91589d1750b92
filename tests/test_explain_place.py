"""Explanations of where a job would go, compared with what the pool then does."""

import asyncio

import msgspec
import pytest

from bergamotgap.domain.amounts import NOTHING
from bergamotgap.domain.fleet import (
    Size,
)
from bergamotgap.pools.job_table import NotStored, Stored
from bergamotgap.pools.placement_explainer import MAX_EXAMINED, MAX_STEPS
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.pool_peer import (
    MaintenanceCall,
)
from tests.explain_scene import (
    STEP,
    build_config,
    build_spec,
    check_agreement,
    list_reasons,
    play,
    submit_and_count,
)
from tests.pool_scene import ADVISED_CONFIG, FakeAdvice, Scene


def test_a_job_that_starts_at_once_goes_where_the_explanation_says() -> None:
    """Guards against an explanation by other rules than those of placement."""

    async def check(scene: Scene, pool: Pool) -> None:
        explanation = pool.explain(build_spec())
        assert explanation.admission.is_accepted
        assert (explanation.rank.position, explanation.rank.pending) == (1, 0)
        assert explanation.rank.work_class == "on_time"
        assert explanation.customer is None
        assert explanation.blocked_by == ""
        step = await check_agreement(scene, pool, build_spec(count=11))
        assert (step.could_start, step.waits_for) == (11, "")
        assert (step.expected_ms, step.trust) == (500, 0.0)
        known = pool.explain(build_spec())
        assert known.known_phase in ("queued", "running")
        # Five of the sixteen cores are left.
        step = await check_agreement(scene, pool, build_spec("job-2", count=9))
        assert (step.could_start, step.waits_for) == (5, "no_room")
        waiting = pool.explain(build_spec("job-3"))
        assert waiting.rank.position == 2
        assert list_reasons(waiting) == {"no_room cpu": 2}

    play(check, workers=2)


def test_gangs_and_later_steps_are_explained_as_they_are_placed() -> None:
    """Guards against part of a gang, or a later step that takes room of an earlier."""

    async def check(scene: Scene, pool: Pool) -> None:
        later = msgspec.structs.replace(STEP, count=16, after=(0,))
        spec = build_spec()
        spec = msgspec.structs.replace(spec, steps=(*spec.steps, later))
        first, second = pool.explain(spec).steps
        assert (first.is_ready, second.is_ready) == (True, False)
        assert (first.could_start, second.could_start) == (2, 16)
        gang = build_spec("gang", count=17, is_gang=True)
        step = await check_agreement(scene, pool, gang)
        assert (step.could_start, step.waits_for) == (0, "no_room")
        step = await check_agreement(scene, pool, build_spec("g2", is_gang=True))
        assert step.could_start == 2

    play(check)


def test_a_job_of_many_steps_and_tasks_is_explained_in_part() -> None:
    """Guards against an owner that does nothing else for the time of one question."""

    async def check(scene: Scene, pool: Pool) -> None:
        steps = (msgspec.structs.replace(STEP, cpu=0, memory_mb=0, count=10),) * 60
        found = pool.explain(msgspec.structs.replace(build_spec(), steps=steps))
        assert (len(found.steps), found.other_steps) == (MAX_STEPS, 60 - MAX_STEPS)
        for step in ({"count": 90_000}, {"count": 90_000, "is_gang": True}):
            spec = build_spec(cpu=0, memory_mb=0, **step)
            found = pool.explain(msgspec.structs.replace(spec, steps=spec.steps * 2))
            first, second = found.steps
            assert (first.examined, second.examined) == (MAX_EXAMINED, 0)
            assert (first.waits_for, second.waits_for) == ("not_examined",) * 2

    play(check)


def test_a_job_waits_for_the_cap_as_explained() -> None:
    """Guards against an explanation that leaves out a customer's cap."""

    async def check(scene: Scene, pool: Pool) -> None:
        # The only pool has a base share of a quarter: four cores.
        pool.update_config(build_config(cap=Size(cpu=16_000)))
        await asyncio.sleep(6)
        spec = build_spec("job-1", "acme", count=6)
        cap = pool.explain(spec).customer
        assert cap is not None and cap.cap is not None
        assert cap.cap.may_start
        assert (cap.cap.share, cap.cap.granted, cap.cap.used_share) == (0.25, 0, 0)
        step = await check_agreement(scene, pool, spec)
        assert (step.could_start, step.waits_for) == (4, "customer_cap")
        spec = build_spec("job-2", "acme")
        customer = pool.explain(spec).customer
        assert customer is not None and customer.cap is not None
        assert not customer.cap.may_start
        assert customer.cap.used == Size(4000, 400)
        assert customer.cap.next_share == pytest.approx(1 / 16, abs=1e-4)
        step = await check_agreement(scene, pool, spec)
        assert (step.could_start, step.waits_for) == (0, "customer_cap")

    play(check)


def test_early_refusals_and_excess_are_explained_as_they_are_decided() -> None:
    """Guards against an explanation that accepts what the owner refuses."""

    async def check(scene: Scene, pool: Pool) -> None:
        assert pool.explain(build_spec()).admission.reason == "capacity_not_known"
        pool.update_config(build_config(weight=3.0))
        refused = 0
        for number in range(40):
            pool.admission_check.record_hosts(0, 0)
            spec = build_spec(f"j{number}", "acme", count=4)
            explanation = pool.explain(spec)
            outcome = await pool.submit(spec)
            admission, customer = explanation.admission, explanation.customer
            assert customer is not None and admission.figures is not None
            assert admission.is_accepted == isinstance(outcome, Stored)
            if isinstance(outcome, NotStored):
                refused += 1
                assert (admission.reason, admission.retry_ms) == (
                    outcome.reason,
                    outcome.retry_ms,
                )
            else:
                job = pool.job_table.jobs[spec.job_id]
                assert job.spec.is_excess == customer.is_excess
            await asyncio.sleep(0.02)
        assert 0 < refused < 40

    play(check)


def test_workers_are_ruled_out_by_the_rule_that_applies() -> None:
    """Guards against wrong advice, such as more hosts where a label is missing."""

    async def check(scene: Scene, pool: Pool) -> None:
        spec = build_spec(requirement="gpu-kind")
        assert list_reasons(pool.explain(spec)) == {"missing_label gpu-kind": 7}
        step = await check_agreement(scene, pool, spec)
        assert step.could_start == 0
        assert list_reasons(pool.explain(build_spec("m", memory_mb=99_999))) == {
            "too_small memory": 7
        }
        fill = build_spec("fill", count=7, cpu=100, memory_mb=16_000)
        assert (await check_agreement(scene, pool, fill)).could_start == 7
        full = build_spec("full", memory_mb=1000)
        assert list_reasons(pool.explain(full)) == {"no_room memory": 7}
        links = pool.run_tracker.links
        links["w1"].withhold_work(5000)
        links["w2"].quarantine(5000)
        links["w3"].trial_job = "other"
        links["w4"].is_silent = True
        turns = MaintenanceCall("previews", {"m5": 1000, "m6": 1000}, 100)
        pool.prepare_maintenance(turns)
        found = pool.explain(build_spec("x"))
        assert list_reasons(found) == {
            "due_for_maintenance": 2,
            "draining": 1,
            "quarantined": 1,
            "reserved_for_trial": 1,
            "silent": 1,
        }
        groups = {g.reason: g.workers for g in found.steps[0].ruled_out}
        assert groups["due_for_maintenance"] == ("w5", "w6")
        assert set(found.steps[0].workers) == {"w7"}
        assert found.steps[0].eligible == 1

    play(check, workers=7)


def test_hosts_due_for_maintenance_get_only_what_can_end_before() -> None:
    """Guards against an explanation that counts hosts which are about to leave."""

    async def check(scene: Scene, pool: Pool) -> None:
        hosts = {"m1": 1000, "m2": 1000}
        pool.prepare_maintenance(MaintenanceCall("previews", hosts, 100))
        step = await check_agreement(scene, pool, build_spec())
        assert (step.could_start, step.waits_for) == (0, "no_room")
        short = build_spec("short", estimated_ms=80)
        assert (await check_agreement(scene, pool, short)).could_start == 2

    play(check)


def test_a_job_starts_in_the_turn_that_its_rank_tells() -> None:
    """Guards against a position in another order than that of placement."""

    async def check(scene: Scene, pool: Pool) -> None:
        scene.workers["w1"].run_s = 0.3
        whole = {"count": 8, "memory_mb": 1}
        assert isinstance(await pool.submit(build_spec("fill", **whole)), Stored)
        await asyncio.sleep(0.05)
        for number, run_ms in enumerate((5000, 3000, 4000)):
            spec = build_spec(f"j{number}", estimated_ms=run_ms, **whole)
            assert isinstance(await pool.submit(spec), Stored)
        await asyncio.sleep(0.02)
        new = build_spec("new", estimated_ms=3500, **whole)
        rank = pool.explain(new).rank
        assert (rank.position, rank.pending) == (2, 3)
        assert rank.ahead_by_class == {"on_time": 1}
        assert isinstance(await pool.submit(new), Stored)
        await asyncio.sleep(3)
        started = [task.job for task, _ in scene.workers["w1"].starts]
        turns = list(dict.fromkeys(started))
        assert turns.index("new") == rank.position
        assert len(turns) == 5

    play(check, workers=1)


def test_jobs_beside_the_reserved_one_are_held_back_as_explained() -> None:
    """Guards against a promised start while the cap is kept for an older job.

    The reservation holds for all other jobs of the customer, whatever their rank.
    """

    async def check(scene: Scene, pool: Pool) -> None:
        pool.update_config(build_config(weight=50.0, cap=Size(cpu=16_000)))
        await asyncio.sleep(6)
        first = build_spec("first", "acme", count=1, cpu=2000)
        assert await submit_and_count(scene, pool, first)
        large = build_spec("large", "acme", count=1, cpu=3000, estimated_ms=9000)
        assert not await submit_and_count(scene, pool, large)
        await asyncio.sleep(2.2)
        assert pool.customer_usage._get_reserved_job("acme") == "large"
        behind = build_spec("behind", "acme", count=1, estimated_ms=90_000)
        step = await check_agreement(scene, pool, behind)
        assert (step.could_start, step.waits_for) == (0, "customer_cap")
        before = build_spec("before", "acme", count=1, estimated_ms=100)
        step = await check_agreement(scene, pool, before)
        assert (step.could_start, step.waits_for) == (0, "customer_cap")

    play(check)


def test_jobs_on_probation_get_one_empty_worker() -> None:
    """Guards against promised starts beside others for jobs that are to be tried."""

    async def check(scene: Scene, pool: Pool) -> None:
        assert await submit_and_count(scene, pool, build_spec("a", count=1))
        pool.crash_watch.is_queue_on_probation = lambda queue: True  # type: ignore[method-assign]
        step = await check_agreement(scene, pool, build_spec("b", count=11))
        assert (step.could_start, step.waits_for) == (8, "needs_empty_worker")

    play(check, workers=3)


def test_lasting_tasks_leave_room_to_short_work_as_explained() -> None:
    """Guards against promised starts on workers that are kept for short work."""

    async def check(scene: Scene, pool: Pool) -> None:
        assert await submit_and_count(scene, pool, build_spec("a", count=1))
        room = pool._task_placer.lasting_room
        room._room, room._until_ms = NOTHING, scene.clock.monotonic_ms() + 5000
        service = build_spec("b", count=11, is_long_running=True)
        step = await check_agreement(scene, pool, service)
        assert (step.could_start, step.waits_for) == (8, "own_host")
        assert [(g.reason, g.count) for g in step.ruled_out] == [("own_host", 1)]

    play(check)


def test_tickets_are_not_requested_for_an_explanation() -> None:
    """Guards against calls of the advice service for jobs that nobody submitted."""
    advice = FakeAdvice()

    async def check(scene: Scene, pool: Pool) -> None:
        pool.update_config(ADVISED_CONFIG)
        assert list_reasons(pool.explain(build_spec())) == {"needs_ticket": 2}
        await asyncio.sleep(1)
        assert advice.calls == 0

    def prepare(scene: Scene) -> None:
        scene.advice = advice

    play(check, prepare=prepare)
