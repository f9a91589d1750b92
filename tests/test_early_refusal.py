"""Jobs that are refused at once because they can't be served while they have value."""

import pytest
from aiohttp import web

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.customer_shares import EXCESS
from bergamotgap.domain.early_refusal import (
    Inflow,
    KnownQueue,
    QueuedJob,
    RefusalReason,
    check_job,
    choose_retry_ms,
)
from bergamotgap.domain.fleet import (
    Size,
)
from bergamotgap.domain.room_forecast import MAX_TIME_MS, Room, measure_hosts
from bergamotgap.domain.task_placement import LATE, ON_TIME
from bergamotgap.platform.ingress import Ingress
from bergamotgap.pools.request_outcomes import NotAccepted
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import LoopClock
from tests.test_platform_adapter import JOB_ID, FakeMetrics, serve

HOSTS = measure_hosts(Size(10, 100, 0), Size(), 0, 0, 1000)
assert HOSTS is not None
ROOM = Room(HOSTS, [])


def _queue_job(
    cpu_work: float,
    work_class: int = ON_TIME,
    customer: str = "",
    on_time_ms: float = 1000,
    slack_ms: float = 500,
) -> QueuedJob:
    return QueuedJob(
        customer,
        Amount(cpu_work),
        work_class,
        False,
        (ON_TIME if work_class != LATE else LATE, 1, True, slack_ms),
        (LATE, 0, False, 500.0),
        on_time_ms,
        3 * on_time_ms,
    )


def _check(queue: KnownQueue, job: QueuedJob) -> RefusalReason | None:
    refusal = check_job(queue, "new", job, 100, 0)
    return refusal.reason if refusal else None


def test_room_is_measured_in_the_scarcest_resource_and_with_hosts_to_come() -> None:
    """Guards against refusals for lack of cores that arrive, or of unknown GPUs."""
    hosts = measure_hosts(Size(10, 100, 0), Size(5, 0, 0), 5, 10, 1000)
    assert hosts is not None
    room = Room(hosts, [])
    # 15 cores less 5, and 10 more after a second; GPUs of arriving hosts are unknown.
    assert room.measure_ms(Amount(5000, 0, 10**9)) == pytest.approx(500, abs=10)
    assert room.measure_ms(Amount(20_000)) == pytest.approx(1500, abs=10)
    assert room.measure_ms(Amount(5000, 300_000)) == pytest.approx(1600, abs=10)
    full = measure_hosts(Size(10, 100, 0), Size(10, 0, 0), 0, 0, 1000)
    assert full is not None
    assert Room(full, []).measure_ms(Amount(1)) == MAX_TIME_MS
    assert measure_hosts(Size(), Size(), 0, 0, 1000) is None


def test_long_runs_take_only_the_room_that_they_hold() -> None:
    """Guards against refusals in a pool with free workers because of long runs."""
    room = Room(HOSTS, [(10_000, Size(3, 1, 0)), (500, Size(2, 1, 0))])
    assert room.can_do(Amount(2500), 500)
    assert not room.can_do(Amount(2501), 500)
    assert room.can_do(Amount(2500 + 3500), 1000)
    # Work that goes on to arrive takes the place of runs that end, not more at once.
    busy = room.add_inflow(Amount(5))
    assert busy.can_do(Amount(5000), 1000)
    assert not busy.can_do(Amount(5001), 1000)
    assert KnownQueue(room, Amount(5), []).late_room.can_do(Amount(4990), 1000)
    for until_ms in (1, 100, 499, 501, 5000, 20_000):
        done = 10 * until_ms - 3 * min(until_ms, 10_000) - 2 * min(until_ms, 500)
        assert room.can_do(Amount(done), until_ms)
        assert not room.can_do(Amount(done + 1), until_ms)


def test_jobs_that_end_too_late_anyway_hold_nobody_up() -> None:
    """Guards against refusals because of work that is passed in the order."""
    doomed = [_queue_job(50_000, customer=f"c{n}") for n in range(5)]
    queue = KnownQueue(ROOM, NOTHING, doomed)
    assert _check(queue, _queue_job(2000, slack_ms=900)) is None


def test_a_job_is_refused_if_what_is_ahead_takes_all_of_its_time() -> None:
    """Guards against jobs that are accepted although nobody can serve them."""
    ahead = [_queue_job(1000, slack_ms=100 + n, on_time_ms=4000) for n in range(35)]
    queue = KnownQueue(Room(HOSTS, [(1000, Size(1, 1, 0))]), NOTHING, ahead)
    assert _check(queue, _queue_job(1000)) is RefusalReason.NO_CAPACITY
    # One of less slack goes before them, and one with more time can end late.
    assert _check(queue, _queue_job(1000, slack_ms=50)) is None
    assert _check(queue, _queue_job(1000, on_time_ms=1500)) is None
    # What was accepted since then counts too.
    for _ in range(10):
        queue.add(_queue_job(1000))
    late = _queue_job(1000, on_time_ms=1500, slack_ms=900)
    assert _check(queue, late) is RefusalReason.NO_CAPACITY


def test_late_work_gets_what_on_time_work_leaves_if_it_goes_on_to_arrive() -> None:
    """Guards against jobs accepted behind a stream of jobs that all go before them."""
    ahead = [_queue_job(1000, slack_ms=100 + n) for n in range(10)]
    new = _queue_job(1000, slack_ms=900)
    assert _check(KnownQueue(ROOM, NOTHING, ahead), new) is None
    busy = KnownQueue(ROOM, Amount(9), ahead)
    assert _check(busy, new) is RefusalReason.NO_CAPACITY
    inflow = Inflow()
    for number in range(5):
        inflow.record(number, Amount(10**9))
    # A few large jobs are no stream.
    assert inflow.measure(100) == NOTHING
    for number in range(20):
        inflow.record(100 + number, Amount(1500))
    assert inflow.measure(1599).cpu == pytest.approx(20 * (1 - 0.5 / 20**0.5), rel=0.1)


def test_excess_is_refused_while_others_have_more_work_than_room() -> None:
    """Guards against excess that is let in, or kept out by its own customer's jobs."""
    new = _queue_job(1000, EXCESS, "a")
    of_others = [_queue_job(1000, customer="b", on_time_ms=4000) for _ in range(15)]
    of_itself = [_queue_job(1000, customer="a", on_time_ms=4000) for _ in range(15)]
    kept_out = KnownQueue(ROOM, NOTHING, of_others)
    assert _check(kept_out, new) is RefusalReason.OVER_SHARE
    assert _check(KnownQueue(ROOM, NOTHING, of_itself), new) is None
    calm = KnownQueue(Room(HOSTS, [(700, Size(10, 1, 0))]), NOTHING, of_others[:1])
    assert _check(calm, new) is None


def test_returns_are_spread_and_those_served_least_return_first() -> None:
    """Guards against callers that all return in the same second."""
    ids = [f"job-{number}" for number in range(400)]
    below = [choose_retry_ms(name, 200, False) for name in ids]
    above = [choose_retry_ms(name, 200, True) for name in ids]
    assert min(below) >= 1000
    assert max(below) < 2000
    seconds = [round(retry_ms / 1000) for retry_ms in below]
    assert 120 < seconds.count(1) < 280
    assert sum(above) > sum(below)
    assert choose_retry_ms("a", 2200, False) >= 2200
    assert choose_retry_ms("a", float("inf"), False) <= MAX_TIME_MS + 1000


@pytest.mark.parametrize(
    ("reason", "status"),
    [(RefusalReason.OVER_SHARE, 429), (RefusalReason.NO_CAPACITY, 503)],
)
async def test_callers_get_the_status_and_the_time_to_return(
    reason: RefusalReason, status: int
) -> None:
    """Guards against callers that don't learn why and for how long to wait."""

    class Requests:
        async def submit(self, *call: object) -> NotAccepted:
            return NotAccepted(reason, 1700)

    ingress = Ingress(
        Requests(),  # type: ignore[arg-type]
        lambda: CONFIG,
        lambda: True,
        lambda: True,
        ("", "", ""),
        FakeMetrics(),  # type: ignore[arg-type]
        LoopClock(),
    )

    async def handle(request: web.Request) -> web.StreamResponse:
        return await ingress._handle_request(request)

    body = {"specification": "x", "steps": [{"count": 1}]}
    headers = {"Host": "previews.example"}
    async with serve(handle) as (session, address):
        url = f"http://{address}/previews/{JOB_ID}"
        async with session.post(url, json=body, headers=headers) as reply:
            assert reply.status == status
            assert reply.headers["Retry-After"] == "2"
            assert await reply.json() == {"reason": reason.value}
