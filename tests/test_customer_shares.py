"""Shares of customers by weight, and what they submit beyond it."""

import asyncio
import dataclasses
from unittest import mock

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotgap.domain import customer_shares
from bergamotgap.domain.amounts import NOTHING
from bergamotgap.domain.customer_shares import (
    EXCESS,
    TOO_LATE,
    CustomerBuckets,
    ShareUse,
    classify_work,
    order_jobs,
    rank_with_shares,
)
from bergamotgap.domain.fleet import JobSpec, Size, StepSpec
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_placement import LATE, ON_TIME, JobRank
from bergamotgap.domain.task_placement import TOO_LATE as RANK_TOO_LATE
from bergamotgap.pools.job_table import Stored
from bergamotgap.pools.pool import Pool
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
WEIGHT = 2.0
CONFIG = build_config(dict.fromkeys(NAMES, WEIGHT))


def _build_job(
    job_id: str, customer: str = "", is_excess: bool = False, **step: bool
) -> Job:
    spec = build_customer_job(job_id, customer)
    steps = (msgspec.structs.replace(spec.steps[0], **step),)
    return Job(msgspec.structs.replace(spec, steps=steps, is_excess=is_excess), 0)


def _rank(lateness: int, time: float = 0.0) -> JobRank:
    return (lateness, 1, True, time)


def test_a_burst_within_a_second_of_the_weight_is_no_excess() -> None:
    """Guards against jobs marked as excess that the weight allows."""
    buckets = CustomerBuckets()
    assert [buckets.take("a", 3.0, 1000) for _ in range(5)] == [True] * 3 + [False] * 2
    assert not buckets.take("a", 3.0, 1300)
    assert buckets.take("a", 3.0, 1334)
    assert [buckets.take("b", 0.2, at_ms) for at_ms in (0, 4000, 5000)] == [
        True,
        False,
        True,
    ]
    assert [buckets.take("c", 0.0, at_ms) for at_ms in (0, 10**6)] == [True, False]
    wide = CustomerBuckets(window_ms=5000)
    assert [wide.take("a", 0.6, 0) for _ in range(4)] == [True] * 3 + [False]


@given(
    st.floats(0.1, 20),
    st.lists(st.integers(0, 3000), min_size=1, max_size=80),
)
def test_in_no_period_are_more_jobs_allowed_than_the_weight(
    weight: float, gaps_ms: list[int]
) -> None:
    """Guards against a bucket from which a customer takes more than its weight."""
    buckets = CustomerBuckets()
    allowed_ms: list[int] = []
    at_ms = 0
    for gap_ms in gaps_ms:
        at_ms += gap_ms
        if buckets.take("a", weight, at_ms):
            allowed_ms.append(at_ms)
    for first, from_ms in enumerate(allowed_ms):
        for last in range(first, len(allowed_ms)):
            period_s = (allowed_ms[last] - from_ms) / 1000
            count = last - first + 1
            assert count <= max(1.0, weight) + weight * period_s + 1e-6


def test_classes_come_in_the_order_of_what_yields() -> None:
    """Guards against excess work that makes late work of others worthless."""
    jobs = [
        (_rank(RANK_TOO_LATE), _build_job("worthless", "a")),
        (_rank(RANK_TOO_LATE, -1.0), _build_job("excess and worthless", "a", True)),
        (_rank(ON_TIME), _build_job("excess", "a", True)),
        (_rank(LATE), _build_job("late", "a")),
        (_rank(ON_TIME, 5.0), _build_job("on time", "a")),
    ]
    use = ShareUse(Size(8000, 8000, 0), {"a": 1.0})
    order = [(job.job_id, can_be_late) for can_be_late, job in order_jobs(jobs, use)]
    assert order == [
        ("on time", False),
        ("late", True),
        ("excess", True),
        ("excess and worthless", True),
        ("worthless", True),
    ]
    assert classify_work(jobs[2][1], jobs[2][0]) == EXCESS
    assert classify_work(jobs[1][1], jobs[1][0]) == TOO_LATE


def test_the_scarcest_resource_decides_on_a_share() -> None:
    """Guards against a customer that takes all memory because it uses few cores."""
    use = ShareUse(Size(64_000, 256_000, 0), {"a": 1.0, "b": 1.0, "c": 2.0})
    use.record("a", Size(1000, 61_000, 0))
    use.record("b", Size(8000, 1000, 0), 2)
    use.record("c", Size(8000, 1000, 0), 3)
    assert not use.is_over_share("a")
    use.record("a", Size(1000, 61_000, 0))
    assert use.is_over_share("a")
    assert use.is_over_share("b")
    assert not use.is_over_share("c")
    assert not use.is_over_share("unknown")


def test_starts_of_a_pass_count_for_the_jobs_that_follow() -> None:
    """Guards against one pass that gives all room to the customer with least slack."""
    jobs = [(_rank(ON_TIME, n), _build_job(f"a{n}", "a")) for n in range(3)]
    jobs += [(_rank(ON_TIME, 10.0 + n), _build_job(f"b{n}", "b")) for n in range(3)]
    use = ShareUse(Size(8000, 8000, 0), {"a": 1.0, "b": 1.0})
    order = []
    for _, job in order_jobs(jobs, use):
        use.record(job.spec.customer, Size(2000, 100, 0))
        order.append(job.job_id)
    assert order == ["a0", "a1", "b0", "b1", "a2", "b2"]


def test_a_long_running_job_that_has_begun_keeps_its_place() -> None:
    """Guards against an outage of a service whose customer holds much of the pool."""
    service = _build_job("service", "a", True, is_long_running=True)
    other = _build_job("job", "b")
    use = ShareUse(Size(8000, 8000, 0), {"a": 1.0, "b": 1.0})
    use.record("a", Size(7000, 100, 0))
    jobs = [((ON_TIME, 0, False, 0.0), service), (_rank(ON_TIME), other)]
    assert [job for _, job in order_jobs(jobs, use)] == [other, service]
    service.mark_started()
    assert [job for _, job in order_jobs(jobs, use)] == [service, other]


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.booleans(), st.floats(0, 9)),
        max_size=20,
    )
)
def test_without_customers_the_order_is_that_of_the_ranks(ranks: list[JobRank]) -> None:
    """Guards against a change for deployments that have no customers."""
    jobs = [(rank, _build_job(f"j{n}")) for n, rank in enumerate(ranks)]
    expected = [job for _, job in sorted(jobs, key=lambda pair: pair[0])]
    assert [job for _, job in order_jobs(jobs, None)] == expected


def test_a_record_without_the_mark_is_read_as_no_excess() -> None:
    """Guards against jobs lost when nodes of the former version hand over."""
    spec = build_customer_job("a", "c0")
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(spec))
    old = msgspec.msgpack.encode(fields[:-1])
    assert msgspec.msgpack.decode(old, type=JobSpec) == spec


@pytest.mark.parametrize(("seed", "factor"), [(1, 5), (1, 8), (2, 8), (3, 6)])
def test_a_burst_of_one_customer_costs_the_others_next_to_nothing(
    seed: int, factor: int
) -> None:
    """Guards against a burst whose cost the other customers bear.

    Without shares, the others lose 16, 28, 19 and 8 in a hundred of their jobs.
    """
    load = draw_load(seed, NAMES, 1.4, 12)
    burst = draw_load(seed + 100, ["c0"], WEIGHT * factor, 4, 4, "burst-")
    calm, busy = play_load(load, CONFIG), play_load(load + burst, CONFIG)
    before = sum(calm.on_time[name] for name in NAMES[1:])
    after = sum(busy.on_time[name] for name in NAMES[1:])
    assert before > 130
    assert after >= 0.95 * before
    # The customer itself is served as far as there is room.
    assert busy.on_time["c0"] > calm.on_time["c0"]
    assert busy.excess["c0"] > 0.4 * len(burst)


def test_no_customer_starves_and_no_room_is_idle_under_overload() -> None:
    """Guards against room left empty for fairness, and a customer never served."""
    weights = {"light": 0.5, "middle": 1.0, "heavy": 4.0}
    load = [
        arrival
        for number, (name, weight) in enumerate(weights.items())
        for arrival in draw_load(number, [name], 3 * weight, 12)
    ]
    outcomes = play_load(load, build_config(weights), workers=3, after_s=30)
    # A pass follows an end within some 10 ms.
    assert outcomes.longest_idle_ms <= 50
    for name, weight in weights.items():
        served = outcomes.on_time[name] + outcomes.late[name]
        assert served >= 0.5 * weight * 12
    assert outcomes.on_time["heavy"] > outcomes.on_time["light"]


def test_everything_starts_while_there_is_room() -> None:
    """Guards against jobs in excess that wait although nothing else needs the room."""
    load = [Arrival(0.1, "c0", f"j{number}") for number in range(10)]
    outcomes = play_load(load, CONFIG)
    assert outcomes.excess["c0"] == 8
    assert outcomes.on_time["c0"] == 10
    assert outcomes.longest_idle_ms <= 50


def test_a_successor_knows_the_marks_and_the_buckets() -> None:
    """Guards against a burst that gets a new bucket, or no marks, by a take-over."""

    async def main() -> None:
        scene = Scene(run_s=5)

        async def submit(pool: Pool, first: int, count: int) -> None:
            for number in range(first, first + count):
                spec = build_customer_job(f"j{number}", "c0")
                at_ms = scene.clock.wall_ms()
                spec = msgspec.structs.replace(spec, accepted_ms=at_ms)
                assert await pool.submit(spec) == Stored(True)

        async with scene.run_owner(1) as (pool, _):
            pool.update_config(CONFIG)
            await submit(pool, 0, 4)
        async with scene.run_owner(2, 2) as (pool, _):
            pool.update_config(CONFIG)
            jobs = pool.job_table.jobs
            assert [jobs[f"j{n}"].spec.is_excess for n in range(4)] == [
                False,
                False,
                True,
                True,
            ]
            # Two tokens were taken, and far less than a second has passed.
            await submit(pool, 4, 1)
            assert jobs["j4"].spec.is_excess
            await asyncio.sleep(1)
            await submit(pool, 5, 3)
            assert [jobs[f"j{n}"].spec.is_excess for n in (5, 6, 7)] == [
                False,
                False,
                True,
            ]
            # A repeat takes no token and changes no mark.
            assert await pool.submit(build_customer_job("j5", "c0")) == Stored(False)
            assert pool.customer_accounts.excess == 2

    run_virtual(main())


def test_jobs_without_a_customer_are_never_in_excess() -> None:
    """Guards against public queues or deployments that are limited to a weight."""
    load = [Arrival(0.1, "", f"j{number}") for number in range(9)]
    for config in (CONFIG, dataclasses.replace(CONFIG, customers=None)):
        outcomes = play_load(load, config)
        assert outcomes.excess[""] == 0
        assert outcomes.on_time[""] == 9


def test_excess_work_yields_hosts_to_on_time_work_of_other_pools() -> None:
    """Guards against a burst that takes hosts which other pools need."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=5)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(CONFIG)
            await asyncio.sleep(1)
            for number in range(6):
                await pool.submit(build_customer_job(f"j{number}", "c0"))
            await asyncio.sleep(0.5)
            reply = pool.measure_demand(must_yield=False)
            assert reply.waiting_work == NOTHING
            assert reply.late_work.cpu > 0
            assert reply.late_used == NOTHING

    run_virtual(main())


def test_a_pass_over_many_jobs_of_customers_is_short() -> None:
    """Guards against an order whose cost grows with the square of the backlog."""
    use = ShareUse(Size(10**6, 10**6, 0), dict.fromkeys(NAMES, 1.0))
    jobs = [
        (_rank(ON_TIME, n % 97), _build_job(f"j{n}", NAMES[n % 10]))
        for n in range(3000)
    ]
    with mock.patch.object(
        customer_shares, "rank_with_shares", wraps=rank_with_shares
    ) as ranking:
        for _, job in order_jobs(jobs, use):
            use.record(job.spec.customer, StepSpec(count=1, cpu=1000).size)
    assert ranking.call_count <= 4 * len(jobs)
