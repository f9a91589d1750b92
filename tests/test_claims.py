"""Non-idempotent requests run at most once (P5); "not run" is always true (P4)."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bergamotgap.domain.records import AttemptNotRun, Claimed, Ended
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.claims import CLAIM_WINDOW_MS
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.ports.worker import TaskFateUnknownError, TaskRefusedError
from tests.fakes_work import FakeFleet, run_ready_tasks


@pytest.fixture
async def fleet() -> AsyncIterator[FakeFleet]:
    fleet = FakeFleet()
    fleet.start("a")
    fleet.start("b")
    yield fleet
    for name in list(fleet.nodes):
        await fleet.kill(name)


async def wait_for_answer(
    fleet: FakeFleet, run: "asyncio.Task[bytes]", ms: int = 90_000
) -> bytes:
    """Advance time until a request has its answer, and return it."""
    for _ in range(ms // 500):
        if run.done():
            break
        await fleet.advance_ms(500)
    return await run


async def test_claim_precedes_dispatch_and_outcome_is_recorded(
    fleet: FakeFleet,
) -> None:
    """Guards against a dispatch without a claim or without its fencing values."""
    assert await fleet.request("a") == b"x"
    await run_ready_tasks()
    (claimed,) = fleet.log.list_applied(Claimed)
    assert isinstance(claimed, Claimed)
    ((host, order),) = fleet.workers.orders
    assert (host, order.task, order.boot_id) == ("w1", claimed.task, claimed.boot_id)
    assert order.start_before_ms == claimed.start_before_ms
    assert [type(record) for record, _ in fleet.log.effects] == [Claimed, Ended]


async def test_repeat_through_another_host_gets_the_recorded_answer(
    fleet: FakeFleet,
) -> None:
    """Guards against a second run for a repeated request id."""
    assert await fleet.request("a") == b"x"
    await run_ready_tasks()
    assert await fleet.request("b") == b"x"
    assert fleet.workers.starts[b"x"] == 1
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.request("b", body=b"other")
    assert refused.value.code == "request_id_reused"


async def test_concurrent_repeats_wait_for_the_one_run(fleet: FakeFleet) -> None:
    """Guards against two hosts, or one host twice, running one request."""
    fleet.workers.gate = asyncio.Event()
    names = ["a", "a", "b", "b"]
    runs = [asyncio.create_task(fleet.request(name)) for name in names]
    await run_ready_tasks()
    with pytest.raises(TaskFateUnknownError):
        await fleet.request("b", ms=20)
    fleet.workers.gate.set()
    assert await asyncio.gather(*runs) == [b"x"] * 4
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("silent_connection", "answer")
async def test_lost_answer_is_queried_and_never_dispatched_again(
    fleet: FakeFleet,
) -> None:
    """Guards against a second dispatch after an answer that never came."""
    fleet.workers.loses_answer = True
    assert await wait_for_answer(fleet, asyncio.create_task(fleet.request("a"))) == b"x"
    assert fleet.workers.starts[b"x"] == 1
    assert len(fleet.workers.orders) == 1


@pytest.mark.fault("silent_connection", "dispatch")
async def test_delayed_order_starts_nothing_after_the_next_attempt(
    fleet: FakeFleet,
) -> None:
    """Guards against an order that arrives after its attempt was abandoned."""
    fleet.workers.loses_order = True
    run = asyncio.create_task(fleet.request("a"))
    await run_ready_tasks()
    fleet.workers.loses_order = False
    assert await wait_for_answer(fleet, run) == b"x"
    host, order = fleet.workers.orders[0]
    with pytest.raises(TaskRefusedError):
        fleet.workers.start(host, order)
    assert fleet.workers.started_on == ["w2"]
    assert fleet.workers.starts[b"x"] == 1


async def test_refused_attempts_end_as_not_run(fleet: FakeFleet) -> None:
    """Guards against "not run" for a request that ran, or an endless refusal."""
    fleet.workers.refusals = dict.fromkeys(("w1", "w2", "w3"), "busy")
    with pytest.raises(NotAdmittedError) as refused:
        await wait_for_answer(fleet, asyncio.create_task(fleet.request("a")))
    assert refused.value.outcome.tag == "not_run"
    assert not fleet.workers.starts
    attempts, proofs = (fleet.log.list_applied(k) for k in (Claimed, AttemptNotRun))
    assert len(attempts) == len(proofs) == 4
    fleet.workers.refusals = {}
    assert await fleet.request("b") == b"x"


@pytest.mark.fault("platform_down", "claim")
async def test_without_a_claim_nothing_is_dispatched(fleet: FakeFleet) -> None:
    """Guards against a run that other hosts can't find in the log."""
    fleet.log.is_down = True
    with pytest.raises(NotAdmittedError) as refused:
        await fleet.request("a")
    assert getattr(refused.value.outcome, "code", "") == "platform_unavailable"
    assert not fleet.workers.orders


@pytest.mark.fault("answer_lost", "claim")
async def test_unconfirmed_claim_is_never_dispatched(fleet: FakeFleet) -> None:
    """Guards against a dispatch for a claim that may not be in the log."""
    fleet.log.lost_answers = 1
    with pytest.raises(NotAdmittedError):
        await fleet.request("a")
    assert not fleet.workers.orders
    await fleet.advance_ms(1000)
    assert len(fleet.log.list_applied(AttemptNotRun)) == 1
    assert await fleet.request("b") == b"x"
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("platform_slow", "claim")
async def test_claim_expires_before_the_deadline(fleet: FakeFleet) -> None:
    """Guards against `unknown` at the deadline for a request that was not run."""
    deadline_ms = CLAIM_WINDOW_MS // 2
    await fleet.request("a", ms=deadline_ms)
    assert 0 < fleet.log.timeouts_ms[0] < deadline_ms


@pytest.mark.fault("freeze", "claim")
async def test_expired_claim_is_not_dispatched(fleet: FakeFleet) -> None:
    """Guards against a dispatch by a host that was paused until its claim expired."""
    fleet.log.before_append = lambda: _pause_once(fleet)
    assert await wait_for_answer(fleet, asyncio.create_task(fleet.request("a"))) == b"x"
    assert [order.task for _, order in fleet.workers.orders] == [
        record.task for record in fleet.log.list_applied(Claimed)[1:]
    ]


def _pause_once(fleet: FakeFleet) -> None:
    """Pause the host once, for longer than a claim is valid."""
    fleet.log.before_append = fleet.workers.before_order = lambda: None
    fleet.clock.now_ms += CLAIM_WINDOW_MS + 1


@pytest.mark.fault("freeze", "dispatch")
async def test_worker_refuses_an_order_that_comes_too_late(fleet: FakeFleet) -> None:
    """Guards against a pause between the last check of a claim and its dispatch."""
    fleet.workers.before_order = lambda: _pause_once(fleet)
    assert await wait_for_answer(fleet, asyncio.create_task(fleet.request("a"))) == b"x"
    (proof,) = fleet.log.list_applied(AttemptNotRun)
    assert isinstance(proof, AttemptNotRun)
    assert proof.reason == "too_late"
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("crash", "claim")
async def test_claim_of_a_dead_host_is_fenced(fleet: FakeFleet) -> None:
    """Guards against a late start of an attempt that another host has resolved."""
    fleet.workers.loses_order = True
    fleet.workers.before_order = lambda: fleet.workers.unreachable.add("w1")
    run = asyncio.create_task(fleet.request("a"))
    await run_ready_tasks()
    fleet.workers.unreachable.clear()
    host, order = fleet.workers.orders[0]
    await fleet.kill("a")
    await fleet.advance_ms(8000)
    assert len(fleet.log.list_applied(AttemptNotRun)) == 1
    with pytest.raises(TaskRefusedError):
        fleet.workers.start(host, order)
    fleet.workers.loses_order = False
    fleet.workers.before_order = lambda: None
    assert await fleet.request("b") == b"x"
    assert fleet.workers.starts[b"x"] == 1
    await asyncio.gather(run, return_exceptions=True)


@pytest.mark.fault("crash", "running")
async def test_outcome_of_a_dead_host_is_found_at_the_worker(
    fleet: FakeFleet,
) -> None:
    """Guards against a run whose outcome is recorded by no host."""
    fleet.workers.gate = asyncio.Event()
    run = asyncio.create_task(fleet.request("a"))
    await run_ready_tasks()
    await fleet.kill("a")
    next(iter(fleet.workers.tasks.values())).state = "done"
    repeat = asyncio.create_task(fleet.request("b"))
    assert await wait_for_answer(fleet, repeat) == b"x"
    assert fleet.workers.starts[b"x"] == 1
    with pytest.raises(TaskFateUnknownError):
        await run


@pytest.mark.fault("crash", "reboot")
async def test_restarted_worker_makes_the_outcome_unknown(fleet: FakeFleet) -> None:
    """Guards against "not run" or a second run when the worker forgot the task."""
    fleet.workers.gate = asyncio.Event()
    fleet.workers.loses_answer = True
    run = asyncio.create_task(fleet.request("a"))
    await run_ready_tasks()
    fleet.workers.reboot("w1")
    fleet.workers.gate.set()
    with pytest.raises(TaskFateUnknownError):
        await wait_for_answer(fleet, run)
    fleet.workers.loses_answer = False
    with pytest.raises(TaskFateUnknownError):
        await fleet.request("b")
    assert fleet.workers.starts[b"x"] == 1


@pytest.mark.fault("platform_down", "outcome_record")
async def test_outcome_is_recorded_when_the_platform_is_back(
    fleet: FakeFleet,
) -> None:
    """Guards against an answer whose outcome other hosts don't know."""
    fleet.workers.before_order = lambda: setattr(fleet.log, "is_down", True)
    assert await fleet.request("a") == b"x"
    await fleet.advance_ms(5000)
    fleet.log.is_down = False
    await fleet.advance_ms(1000)
    assert await fleet.request("b") == b"x"
    assert len(fleet.log.list_applied(Ended)) == fleet.workers.starts[b"x"] == 1


async def test_large_result_comes_from_the_worker_or_is_gone(
    fleet: FakeFleet,
) -> None:
    """Guards against an empty or truncated answer in place of a lost large result."""
    fleet.workers.answer_bytes = b"y" * 20_000
    assert await fleet.request("a") == fleet.workers.answer_bytes
    await run_ready_tasks()
    assert await fleet.request("b") == fleet.workers.answer_bytes
    fleet.workers.reboot("w1")
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.request("b")
    assert (refused.value.code, refused.value.outcome) == ("result_gone", "done")
    assert sum(fleet.workers.starts.values()) == 1


@pytest.mark.fault("answer_lost", "answer")
async def test_lost_answer_of_a_result_does_not_mean_that_it_is_gone(
    fleet: FakeFleet,
) -> None:
    """Guards against a permanent refusal while the worker still has the result."""
    fleet.workers.answer_bytes = b"y" * 20_000
    assert await fleet.request("a") == fleet.workers.answer_bytes
    await run_ready_tasks()
    fleet.workers.lost_results = 2
    assert await fleet.request("b") == fleet.workers.answer_bytes
    fleet.workers.lost_results = 3
    with pytest.raises(RequestRefusedError) as refused:
        await fleet.request("b")
    assert (refused.value.code, refused.value.outcome) == ("result_unreachable", "done")
    assert await fleet.request("b") == fleet.workers.answer_bytes


async def test_caller_that_disconnects_in_the_queue_leaves_no_claim(
    fleet: FakeFleet,
) -> None:
    """Guards against a run for a caller that disconnected before the dispatch."""
    gate = fleet.placers["a"].gate = asyncio.Event()
    run = asyncio.create_task(fleet.request("a"))
    await run_ready_tasks()
    run.cancel()
    await run_ready_tasks()
    gate.set()
    await run_ready_tasks()
    assert not fleet.log.records
    assert not fleet.workers.orders
