"""Jobs whose entry host crashes, freezes, restarts or shuts down."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bergamotgap.domain.records import Claimed, Ended, JobAccepted, JobTaken
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node import retrying_appender
from bergamotgap.node.task_runs import RENEW_INTERVAL_MS
from bergamotgap.node.work_errors import RequestRefusedError
from tests.fakes_work import FakeFleet, run_ready_tasks
from tests.job_cases import assert_one_outcome_per_job, wait_for, wait_for_outcome


@pytest.fixture
async def fleet() -> AsyncIterator[FakeFleet]:
    fleet = FakeFleet()
    fleet.start("a")
    fleet.start("b")
    yield fleet
    assert_one_outcome_per_job(fleet)
    for name in list(fleet.nodes):
        await fleet.kill(name)


@pytest.mark.fault("crash", "queue")
@pytest.mark.parametrize("entry", ["tool-run", "rollup-invoice"])
async def test_queued_jobs_of_a_dead_host_are_taken_over(
    fleet: FakeFleet, entry: str
) -> None:
    """Guards against accepted jobs that are lost when their owner crashes."""
    fleet.placers["a"].gate = asyncio.Event()
    job = await fleet.submit("a", entry)
    await run_ready_tasks()
    await fleet.kill("a")
    assert await wait_for_outcome(fleet, job) == "done"
    (taken,) = fleet.log.list_applied(JobTaken)
    assert isinstance(taken, JobTaken)
    assert taken.node.startswith("b/")


async def test_attempts_of_a_dead_host_count_for_its_successor(
    fleet: FakeFleet,
) -> None:
    """Guards against a job that crashes workers being tried anew by each owner.

    An idempotent job may be started on three workers, whoever owns it.
    """
    fleet.workers.failing = {"w1", "w2", "w3"}
    job = await fleet.submit("a", "tool-run")
    await wait_for(fleet, lambda: len(fleet.workers.started_on) == 2)
    await fleet.kill("a")
    assert await wait_for_outcome(fleet, job) == "failed"
    assert len(fleet.workers.started_on) == 3


@pytest.mark.fault("crash", "queue")
async def test_each_job_of_a_dead_host_is_taken_by_one_of_several(
    fleet: FakeFleet,
) -> None:
    """Guards against all live hosts trying to take each job, or one taking all."""
    fleet.start("c")
    fleet.start("d")
    fleet.placers["a"].gate = asyncio.Event()
    jobs = [await fleet.submit("a", "tool-run", request_id=f"r{i}") for i in range(40)]
    await run_ready_tasks()
    await fleet.kill("a")
    assert [await wait_for_outcome(fleet, job) for job in jobs] == ["done"] * 40
    tries = [r for r, _ in fleet.log.effects if isinstance(r, JobTaken)]
    assert len(tries) == 40
    assert {record.node[0] for record in tries} == {"b", "c", "d"}


@pytest.mark.fault("lapsed_lease", "running")
async def test_lease_is_renewed_while_the_job_runs(fleet: FakeFleet) -> None:
    """Guards against a worker that stops a long job whose owner is alive."""
    fleet.workers.gate = asyncio.Event()
    await fleet.submit("a", "rollup-invoice")
    for expected in range(1, 4):
        await fleet.advance_ms(RENEW_INTERVAL_MS + 500)
        assert fleet.workers.renewals >= expected
    fleet.workers.gate.set()


@pytest.mark.fault("platform_down", "outcome_record")
async def test_pending_outcomes_leave_large_results_to_the_worker(
    fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that grows with the results during an outage."""
    monkeypatch.setattr(retrying_appender, "MAX_PENDING_RESULT_BYTES", 100)
    fleet.workers.answer_bytes = b"y" * 90
    fleet.workers.before_order = lambda: setattr(fleet.log, "is_down", True)
    job = await fleet.submit("a", "tool-run")
    await fleet.advance_ms(2000)
    fleet.log.is_down = False
    assert await wait_for_outcome(fleet, job) == "done"
    known = fleet.nodes["b"].jobs.find("nightly", job)
    assert known is not None
    assert known.ended is not None
    assert known.ended.result_inline is None
    async with fleet.nodes["b"].results.open(known.ended) as answer:
        assert b"".join([c async for c in answer.chunks()]) == b"y" * 90


@pytest.mark.fault("crash", "running")
async def test_outstanding_claim_is_resolved_before_anything_else(
    fleet: FakeFleet,
) -> None:
    """Guards against a new owner that runs a claimed job a second time."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "rollup-invoice")
    await run_ready_tasks()
    await fleet.kill("a")
    await fleet.advance_ms(10_000)
    assert fleet.outcome(job) is None
    next(iter(fleet.workers.tasks.values())).state = "done"
    assert await wait_for_outcome(fleet, job) == "done"
    assert fleet.workers.starts[b"x"] == 1
    assert len(fleet.log.list_applied(Claimed)) == 1


@pytest.mark.fault("crash", "running")
async def test_new_owner_stops_a_cancelled_job(fleet: FakeFleet) -> None:
    """Guards against a cancellation that is lost when the owner crashes."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "rollup-invoice")
    await run_ready_tasks()
    await fleet.kill("a")
    known = fleet.nodes["b"].jobs.find("nightly", job)
    assert known is not None
    await fleet.nodes["b"].jobs.cancel(known)
    assert await wait_for_outcome(fleet, job) == "cancelled"


@pytest.mark.fault("freeze", "dispatch")
async def test_dispatch_of_a_former_owner_starts_nothing(fleet: FakeFleet) -> None:
    """Guards against a frozen owner whose order arrives after the takeover."""
    fleet.workers.loses_order = True
    fleet.workers.before_order = lambda: fleet.workers.unreachable.add("w1")
    job = await fleet.submit("a", "rollup-invoice")
    await run_ready_tasks()
    fleet.freeze("a")
    fleet.workers.loses_order = False
    fleet.workers.before_order = lambda: None
    fleet.workers.unreachable.clear()
    host, order = fleet.workers.orders[0]
    assert await wait_for_outcome(fleet, job) == "done"
    with pytest.raises(Exception, match="cancelled"):
        fleet.workers.start(host, order)
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("freeze", "running")
async def test_resumed_owner_stops_and_its_outcome_is_ignored(
    fleet: FakeFleet,
) -> None:
    """Guards against two outcomes when a frozen owner resumes."""
    fleet.workers.gate = asyncio.Event()
    job = await fleet.submit("a", "tool-run")
    await run_ready_tasks()
    fleet.freeze("a")
    await wait_for(fleet, lambda: len(fleet.log.list_applied(JobTaken)) == 1)
    assert fleet.nodes["a"].jobs.owned_count == 0
    fleet.workers.gate.set()
    assert await wait_for_outcome(fleet, job) == "done"
    (ended,) = fleet.log.list_applied(Ended)
    assert isinstance(ended, Ended)
    assert ended.ownership == 2


@pytest.mark.fault("freeze", "queue")
async def test_resumed_host_does_not_take_jobs_that_its_peers_own(
    fleet: FakeFleet,
) -> None:
    """Guards against a host that considers its peers gone because it was paused."""
    await fleet.advance_ms(2000)
    fleet.placers["a"].gate = asyncio.Event()
    await fleet.submit("a", "tool-run")
    fleet.live.clear()
    await fleet.clock.advance_ms(60_000)
    fleet.live.add("b")
    await fleet.advance_ms(1000)
    assert fleet.log.list_applied(JobTaken) == []


@pytest.mark.fault("cut_from_platform", "snapshot")
async def test_jobs_are_driven_after_a_snapshot_covered_their_records(
    fleet: FakeFleet,
) -> None:
    """Guards against an owned job without a driver, and a driver of another's job."""
    stream = fleet.streams["a"]
    fleet.placers["a"].gate = asyncio.Event()
    lost = await fleet.submit("a", "tool-run", request_id="lost")
    fleet.log.followers.remove(stream)
    taken = JobTaken(lost, fleet.nodes["b"].node, 2, True)
    accepted = JobAccepted(
        "j", "nightly", "r", "tool-run", "", "d", 30_000, 1000, fleet.nodes["a"].node
    )
    for record in (taken, accepted):
        await fleet.log.append(record, 1000)
    fleet.placers["a"].gate = None
    snapshot = WorkState.decode(fleet.log.reader.state.encode())
    assert stream.load_state(snapshot, len(fleet.log.records))
    fleet.log.followers.append(stream)
    assert await wait_for_outcome(fleet, "j") == "done"
    assert await wait_for_outcome(fleet, lost) == "done"
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("crash", "start")
@pytest.mark.parametrize("name", ["a", "c"])
async def test_open_jobs_finish_after_a_restart_of_everything(
    fleet: FakeFleet, name: str
) -> None:
    """Guards against jobs that are lost when all processes were restarted."""
    fleet.placers["a"].gate = asyncio.Event()
    jobs = [
        await fleet.submit("a", entry, request_id=entry)
        for entry in ("tool-run", "rollup-invoice")
    ]
    for node in ("a", "b"):
        await fleet.kill(node)
    fleet.start(name, snapshot=fleet.log.reader.state.encode())
    assert [await wait_for_outcome(fleet, job) for job in jobs] == ["done", "done"]


@pytest.mark.fault("crash", "shutdown")
async def test_leaving_host_hands_its_queue_over_and_finishes_the_rest(
    fleet: FakeFleet,
) -> None:
    """Guards against jobs that wait until a host that shuts down counts as gone."""
    fleet.workers.gate = asyncio.Event()
    running = await fleet.submit("a", "rollup-invoice", request_id="running")
    await run_ready_tasks()
    fleet.placers["a"].gate = asyncio.Event()
    queued = await fleet.submit("a", "tool-run", request_id="queued")
    await run_ready_tasks()
    leaving = asyncio.create_task(fleet.nodes["a"].hand_over(5_000))
    await run_ready_tasks()
    await fleet.advance_ms(3000)
    takers = [
        r.node[:1] for r in fleet.log.list_applied(JobTaken) if isinstance(r, JobTaken)
    ]
    assert takers == ["", "b"]
    fleet.workers.gate.set()
    await asyncio.wait({leaving})
    assert await wait_for_outcome(fleet, queued) == "done"
    assert await wait_for_outcome(fleet, running) == "done"
    with pytest.raises(RequestRefusedError):
        await fleet.submit("a", "tool-run", request_id="late")
