"""The outcome reported to a caller is true (P4), also after lost answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import web

from bergamotgap.domain import retries
from bergamotgap.domain.outcomes import Expired
from bergamotgap.node.admission import NotAdmittedError
from tests.request_harness import RequestPath, ScriptedWorker, echo, wait_for


def keep_silent(state: str) -> Any:
    """Return a behaviour that accepts the first order and never answers it."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        if len(worker.transports) > 1:
            return await echo(worker, request, task)
        if state != "unknown":
            worker.start(task, state, await request.read())
        await asyncio.sleep(60)

    return behave


def refuse(code: str) -> Any:
    """Return a behaviour that refuses all orders."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        return worker.refuse(task, code)

    return behave


@pytest.mark.fault("silent_connection", "answer")
async def test_result_of_silent_connection_is_fetched_over_new_one() -> None:
    """Guards against a second run, or a lost result, after a silent connection."""
    worker = ScriptedWorker(keep_silent("done"))
    async with RequestPath(worker) as path:
        assert await path.request(b"q1") == (200, "done", b"q1")
        assert len(worker.started) == 1


@pytest.mark.fault("silent_connection", "running")
async def test_running_task_of_silent_connection_is_waited_for() -> None:
    """Guards against abandoning a task that still runs."""
    worker = ScriptedWorker(keep_silent("running"))
    async with RequestPath(worker) as path:
        request = asyncio.create_task(path.request(b"q1"))
        await wait_for(lambda: worker.calls.count("status") >= 2)
        worker.tasks[worker.started[0]] = ("done", b"q1")
        assert await request == (200, "done", b"q1")
        assert len(worker.started) == 1


@pytest.mark.fault("silent_connection", "dispatch")
async def test_idle_connections_are_not_reused_after_silence() -> None:
    """Guards against reuse of other connections that may be silent too."""
    worker = ScriptedWorker()
    async with RequestPath(worker) as path:
        await asyncio.gather(*(path.request() for _ in range(4)))
        open_before = set(worker.transports)
        worker.transports.clear()
        worker.behaviour = keep_silent("done")
        await path.request()
        assert worker.transports[0] in open_before
        for _ in range(5):
            await path.request()
        assert not open_before & set(worker.transports[1:])


@pytest.mark.fault("answer_lost", "dispatch")
async def test_lost_order_is_fenced_before_it_is_placed_again() -> None:
    """Guards against two runs when an order that seemed lost arrives late."""
    worker = ScriptedWorker(keep_silent("unknown"))
    async with RequestPath(worker) as path:
        assert await path.request() == (200, "done", b"q")
        assert [state for state, _ in worker.tasks.values()] == ["refused", "done"]


@pytest.mark.fault("answer_lost", "dispatch")
async def test_not_run_is_reported_only_after_orders_are_fenced() -> None:
    """Guards against "not run" for an order that a worker may still start."""
    tasks = []

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        tasks.append(task)
        await asyncio.sleep(60)

    worker = ScriptedWorker(behave)
    async with RequestPath(worker, progress_ms=50) as path:
        assert (await path.request())[:2] == (503, "not_run")
        assert {task: "refused" for task in tasks} == {
            task: state for task, (state, _) in worker.tasks.items()
        }


@pytest.mark.fault("crash", "running")
async def test_outcome_is_unknown_after_worker_restart() -> None:
    """Guards against "not run" from a worker that lost its tasks in a restart."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        # The task has started, but after the restart the worker knows nothing of it.
        worker.boot_id = "boot-2"
        request.transport.close()

    worker = ScriptedWorker(behave)
    async with RequestPath(worker) as path:
        status, outcome, _ = await path.request()
        assert (status, outcome) == (504, "unknown")


@pytest.mark.fault("crash", "running")
async def test_outcome_is_unknown_when_worker_is_gone() -> None:
    """Guards against "not run" when the worker can't be queried."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.started.append(task)
        for site in list(worker.runner.sites):
            await site.stop()
        request.transport.abort()

    async with RequestPath(ScriptedWorker(behave)) as path:
        assert (await path.request())[:2] == (504, "unknown")


async def test_task_past_its_deadline_is_stopped_and_unknown() -> None:
    """Guards against "expired" or "not run" for a task that runs."""
    worker = ScriptedWorker(keep_silent("running"))
    async with RequestPath(worker) as path:
        status, outcome, _ = await path.request(Deadline_Ms="300")
        assert (status, outcome) == (504, "unknown")
        await wait_for(lambda: "stop" in worker.calls)


@pytest.mark.parametrize("code", ["busy", "stale_epoch", "wrong_boot", "draining"])
async def test_refusals_everywhere_are_not_run(
    code: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unbounded placements, and against "unknown" for refusals."""
    # The real limit takes 15 s to reach.
    monkeypatch.setattr(retries, "MAX_REFUSALS", 8)
    workers = [ScriptedWorker(refuse(code)) for _ in range(3)]
    async with RequestPath(*workers) as path:
        async with path.open() as response:
            assert response.status == 503
            assert response.headers["Outcome"] == "not_run"
            assert int(response.headers["Retry-After"]) >= 1
        assert sum(len(worker.transports) for worker in workers) <= 8
        assert not any(worker.started for worker in workers)


async def test_duplicate_is_no_proof_of_not_run() -> None:
    """Guards against "not run" when the worker already knows the task."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "done", b"r")
        return worker.refuse(task, "duplicate")

    async with RequestPath(ScriptedWorker(behave)) as path:
        assert await path.request() == (200, "done", b"r")


@pytest.mark.fault("answer_lost", "dispatch")
async def test_refusal_of_other_task_is_no_proof_of_not_run() -> None:
    """Guards against "not run" because of a late refusal of an earlier task."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "done", b"r")
        return worker.refuse("other", "cancelled")

    async with RequestPath(ScriptedWorker(behave)) as path:
        assert await path.request() == (200, "done", b"r")


@pytest.mark.fault("crash", "dispatch")
async def test_unreachable_worker_is_skipped_without_budget() -> None:
    """Guards against failed requests while a worker's process is not running."""
    gone, well = ScriptedWorker(), ScriptedWorker(data_centre="dc-2")
    async with RequestPath(gone, well) as path:
        await gone.runner.cleanup()
        for _ in range(3):
            assert await path.request() == (200, "done", b"q")
        assert path.views.pool_capacity("reports") == 8


async def test_request_leaves_queue_when_caller_disconnects() -> None:
    """Guards against dispatch of queued requests whose caller disconnected."""
    states: list[str] = []

    @asynccontextmanager
    async def admit(entry: Any, deadline_at_ms: int) -> AsyncIterator[Any]:
        states.append("queued")
        try:
            await asyncio.sleep(60)
            yield
        except asyncio.CancelledError:
            states.append("left")
            raise

    worker = ScriptedWorker()
    async with RequestPath(worker) as path:
        path.admission.admit = admit  # type: ignore[method-assign]
        request = asyncio.create_task(path.request())
        await wait_for(lambda: states == ["queued"])
        request.cancel()
        await wait_for(lambda: states == ["queued", "left"])
        assert not worker.transports


async def test_request_that_expires_in_queue_is_expired() -> None:
    """Guards against another outcome for a request that never left its queue."""

    @asynccontextmanager
    async def admit(entry: Any, deadline_at_ms: int) -> AsyncIterator[Any]:
        raise NotAdmittedError(Expired())
        yield

    async with RequestPath(ScriptedWorker()) as path:
        path.admission.admit = admit  # type: ignore[method-assign]
        assert (await path.request())[:2] == (504, "expired")


async def test_concurrent_callers_get_their_own_answers() -> None:
    """Guards against answers that are mixed up between concurrent callers."""
    async with RequestPath(ScriptedWorker(), ScriptedWorker()) as path:
        bodies = [f"request {number}".encode() for number in range(100)]
        answers = await asyncio.gather(*(path.request(body) for body in bodies))
        assert [answer[2] for answer in answers] == bodies


async def test_disconnected_callers_free_their_slots() -> None:
    """Guards against slots that stay taken when callers disconnect mid-answer."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "done", b"z" * 1_000_000)
        return worker.answer(task)

    async with RequestPath(ScriptedWorker(behave)) as path:
        for _ in range(10):
            async with path.open() as response:
                assert response.status == 200
                response.close()
        await wait_for(lambda: path.admission.pool_demand().get("reports", 0) == 0)
        await wait_for(lambda: path.gate.in_progress == 0)
