"""Accepted jobs end exactly once, whatever fails (P6)."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable

import pytest

from bergamotgap.domain.records import Claimed, Ended, JobAccepted, JobTaken
from bergamotgap.node.work_errors import RequestRefusedError
from tests.fakes_work import FakeFleet, settle


@pytest.fixture
async def fleet() -> AsyncIterator[FakeFleet]:
    fleet = FakeFleet()
    fleet.start("a")
    fleet.start("b")
    yield fleet
    assert_counts(fleet)
    for name in list(fleet.nodes):
        await fleet.kill(name)


def assert_counts(fleet: FakeFleet) -> None:
    """Every accepted job is open or has exactly one outcome, on every node."""
    jobs = Counter(r.job for r in fleet.log.applied(Ended) if isinstance(r, Ended))
    assert not [job for job, count in jobs.items() if count != 1]
    for follower in fleet.log.followers:
        counts = follower.state.counts
        assert counts["accepted"] == counts["ended"] + counts["open"]


async def wait_for(fleet: FakeFleet, is_met: Callable[[], bool]) -> None:
    for _ in range(400):
        if is_met():
            return
        await fleet.pass_ms(500)
    raise AssertionError("the state was not reached")


async def finish(fleet: FakeFleet, job: str) -> str | None:
    await wait_for(fleet, lambda: fleet.outcome(job) is not None)
    return fleet.outcome(job)


@pytest.mark.parametrize("entry", ["tool-run", "rollup-invoice"])
async def test_job_is_done_once_and_a_repeat_is_the_same_job(
    fleet: FakeFleet, entry: str
) -> None:
    """Guards against two jobs, two runs or two outcomes for one request id."""
    job = await fleet.submit("a", entry)
    assert await fleet.submit("b", entry) == job
    assert await finish(fleet, job) == "done"
    assert await fleet.submit("b", entry) == job
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.submit("b", entry, body=b"other")
    assert refused.value.code == "request_id_reused"
    assert sum(fleet.workers.starts.values()) == 1


@pytest.mark.fault("platform_down", "accept")
async def test_job_is_not_accepted_without_the_platform(fleet: FakeFleet) -> None:
    """Guards against an accepted job that is not durable."""
    fleet.log.is_down = True
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.submit("a", "tool-run")
    assert (refused.value.code, refused.value.outcome) == (
        "platform_unavailable",
        "not_run",
    )
    await fleet.pass_ms(2000)
    assert not fleet.workers.starts


@pytest.mark.fault("answer_lost", "accept")
async def test_acceptance_of_unknown_fate_is_found_by_a_repeat(
    fleet: FakeFleet,
) -> None:
    """Guards against a second job after an acceptance whose answer was lost."""
    fleet.log.lost_answers = 1
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.submit("a", "tool-run")
    assert refused.value.outcome == "unknown"
    job = await fleet.submit("b", "tool-run")
    assert await finish(fleet, job) == "done"
    assert len(fleet.log.applied(JobAccepted)) == 1


async def test_failing_job_ends_with_the_reason_and_blames_no_worker(
    fleet: FakeFleet,
) -> None:
    """Guards against endless attempts and against ejecting workers for a bad job."""
    fleet.workers.fails = True
    job = await fleet.submit("a", "tool-run")
    assert await finish(fleet, job) == "failed"
    ended = fleet.log.reader.state.find_job(job)
    assert ended is not None
    assert ended.ended is not None
    assert "w1: failed" in ended.ended.reason
    assert sorted(fleet.workers.started_on) == ["w1", "w2", "w3"]
    assert fleet.placers["a"].failures == []


async def test_job_that_fits_no_host_is_refused_at_once(fleet: FakeFleet) -> None:
    """Guards against accepting a job that can never run."""
    large = fleet.entry("rollup-invoice").model_copy(update={"cpus": 512.0})
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.nodes["a"].jobs.accept("nightly", "r", large, b"", 1000)
    assert refused.value.code == "too_large"
    assert not fleet.log.records


async def test_cancelled_jobs_in_the_queue_are_never_dispatched(
    fleet: FakeFleet,
) -> None:
    """Guards against a dispatch after a wave of cancellations at another host."""
    gate = fleet.placers["a"].gate = asyncio.Event()
    names = ["tool-run", "rollup-invoice"]
    jobs = [
        await fleet.submit("a", names[i % 2], request_id=f"r{i}") for i in range(60)
    ]
    await settle()
    for job in jobs[:-1]:
        known = fleet.nodes["b"].jobs.find("nightly", job)
        assert known is not None
        await fleet.nodes["b"].jobs.cancel(known)
    gate.set()
    outcomes = [await finish(fleet, job) for job in jobs]
    assert outcomes == ["cancelled"] * 59 + ["done"]
    assert len(fleet.workers.orders) == 1


async def test_running_job_is_stopped_by_a_cancellation(fleet: FakeFleet) -> None:
    """Guards against a cancellation that a running job ignores."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "rollup-invoice")
    await settle()
    known = fleet.nodes["b"].jobs.find("nightly", job)
    assert known is not None
    await fleet.nodes["b"].jobs.cancel(known)
    await settle()
    fleet.workers.gate.set()
    assert await finish(fleet, job) == "cancelled"


async def test_job_that_waits_past_its_deadline_expires(fleet: FakeFleet) -> None:
    """Guards against a job that stays open for ever, or runs after its deadline."""
    fleet.workers.refusals = dict.fromkeys(("w1", "w2", "w3"), "busy")
    job = await fleet.submit("a", "tool-run")
    assert await finish(fleet, job) == "expired"
    assert not fleet.workers.starts


@pytest.mark.fault("platform_down", "outcome_record")
async def test_outcome_waits_for_the_platform(fleet: FakeFleet) -> None:
    """Guards against an outcome lost because it could not be recorded at once."""
    fleet.workers.before_order = lambda: setattr(fleet.log, "is_down", True)
    job = await fleet.submit("a", "rollup-invoice")
    await fleet.pass_ms(20_000)
    assert fleet.outcome(job) is None
    fleet.log.is_down = False
    assert await finish(fleet, job) == "done"
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("answer_lost", "outcome_record")
async def test_outcome_appended_twice_counts_once(fleet: FakeFleet) -> None:
    """Guards against two outcomes after an append whose answer was lost."""
    fleet.workers.before_order = lambda: setattr(fleet.log, "lost_answers", 1)
    job = await fleet.submit("a", "tool-run")
    assert await finish(fleet, job) == "done"
    await fleet.pass_ms(2000)
    assert len(fleet.log.applied(Ended)) == 1


@pytest.mark.fault("crash", "queue")
@pytest.mark.parametrize("entry", ["tool-run", "rollup-invoice"])
async def test_queued_jobs_of_a_dead_host_are_taken_over(
    fleet: FakeFleet, entry: str
) -> None:
    """Guards against accepted jobs that die with their owner."""
    fleet.placers["a"].gate = asyncio.Event()
    job = await fleet.submit("a", entry)
    await settle()
    await fleet.kill("a")
    assert await finish(fleet, job) == "done"
    (taken,) = fleet.log.applied(JobTaken)
    assert isinstance(taken, JobTaken)
    assert taken.node.startswith("b/")


@pytest.mark.fault("crash", "running")
async def test_outstanding_claim_is_resolved_before_anything_else(
    fleet: FakeFleet,
) -> None:
    """Guards against a new owner that runs a claimed job a second time."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "rollup-invoice")
    await settle()
    await fleet.kill("a")
    await fleet.pass_ms(10_000)
    assert fleet.outcome(job) is None
    next(iter(fleet.workers.tasks.values())).state = "done"
    assert await finish(fleet, job) == "done"
    assert fleet.workers.starts[b"x"] == 1
    assert len(fleet.log.applied(Claimed)) == 1


@pytest.mark.fault("freeze", "dispatch")
async def test_dispatch_of_a_former_owner_starts_nothing(fleet: FakeFleet) -> None:
    """Guards against a frozen owner whose bytes arrive after the takeover."""
    fleet.workers.loses_order = True
    fleet.workers.before_order = lambda: fleet.workers.unreachable.add("w1")
    job = await fleet.submit("a", "rollup-invoice")
    await settle()
    fleet.freeze("a")
    fleet.workers.loses_order = False
    fleet.workers.before_order = lambda: None
    fleet.workers.unreachable.clear()
    host, order = fleet.workers.orders[0]
    assert await finish(fleet, job) == "done"
    with pytest.raises(Exception, match="cancelled"):
        fleet.workers.start(host, order)
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("freeze", "running")
async def test_thawed_owner_stops_and_its_outcome_does_not_count(
    fleet: FakeFleet,
) -> None:
    """Guards against two outcomes when a frozen owner comes back."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "tool-run")
    await settle()
    fleet.freeze("a")
    await wait_for(fleet, lambda: len(fleet.log.applied(JobTaken)) == 1)
    assert fleet.nodes["a"].jobs.owned == 0
    fleet.workers.gate.set()
    assert await finish(fleet, job) == "done"
    (ended,) = fleet.log.applied(Ended)
    assert isinstance(ended, Ended)
    assert ended.ownership == 2


@pytest.mark.fault("crash", "start")
@pytest.mark.parametrize("name", ["a", "c"])
async def test_open_jobs_finish_after_a_restart_of_everything(
    fleet: FakeFleet, name: str
) -> None:
    """Guards against jobs lost when no process that knew them is left."""
    fleet.placers["a"].gate = asyncio.Event()
    jobs = [
        await fleet.submit("a", entry, request_id=entry)
        for entry in ("tool-run", "rollup-invoice")
    ]
    for node in ("a", "b"):
        await fleet.kill(node)
    fleet.start(name, snapshot=fleet.log.reader.state.encode())
    assert [await finish(fleet, job) for job in jobs] == ["done", "done"]


@pytest.mark.fault("crash", "shutdown")
async def test_leaving_host_hands_its_queue_over_and_finishes_the_rest(
    fleet: FakeFleet,
) -> None:
    """Guards against jobs that wait for the death of a host that shuts down."""
    fleet.workers.gate = asyncio.Event()
    running = await fleet.submit("a", "rollup-invoice", request_id="running")
    await settle()
    fleet.placers["a"].gate = asyncio.Event()
    queued = await fleet.submit("a", "tool-run", request_id="queued")
    await settle()
    leaving = asyncio.create_task(fleet.nodes["a"].leave(5_000))
    await settle()
    await fleet.pass_ms(3000)
    fleet.workers.gate.set()
    await asyncio.wait({leaving})
    assert await finish(fleet, queued) == "done"
    assert await finish(fleet, running) == "done"
    takers = [
        r.node[:1] for r in fleet.log.applied(JobTaken) if isinstance(r, JobTaken)
    ]
    assert takers == ["", "b"]
    with pytest.raises(RequestRefusedError):
        await fleet.submit("a", "tool-run", request_id="late")


async def test_job_of_another_caller_looks_missing(fleet: FakeFleet) -> None:
    """Guards against a caller that learns of another caller's job."""
    job = await fleet.submit("a", "tool-run")
    assert fleet.nodes["b"].jobs.find("finance-staff", job) is None
    assert fleet.nodes["b"].jobs.find("nightly", job) is not None
