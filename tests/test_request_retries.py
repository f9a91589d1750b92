"""Retries stay within their budget and are made only where a repeat is safe."""

import random
from typing import Any

import pytest
from aiohttp import web

from bergamotgap.domain.catalogue import parse_catalogue
from bergamotgap.domain.clock import SystemClock
from bergamotgap.domain.retries import MAX_REFUSALS, RetryBudget, RetryPlan
from bergamotgap.node.dispatch import Answer
from bergamotgap.ports.worker import TaskFateUnknownError
from tests.request_harness import DOCUMENT, RequestPath, ScriptedWorker
from tests.test_request_answers import cut_after


async def fail(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
    """Start the task and fail it at once."""
    worker.start(task, "failed", b"disk full")
    return worker.answer(task, status=500)


def build_plan(entry: str, requests: int) -> RetryPlan:
    """Return the plan of a request whose entry had a number of requests."""
    found = parse_catalogue(DOCUMENT).find_entry(entry)
    assert found is not None
    budget = RetryBudget()
    for _ in range(requests):
        budget.record_request(entry)
    return RetryPlan(found, 10_000, budget, random.Random(1))


async def test_failed_task_is_run_again_on_another_host() -> None:
    """Guards against callers that see the failure of one bad worker."""
    bad, good = ScriptedWorker(fail), ScriptedWorker(data_centre="dc-2")
    async with RequestPath(bad, good) as path:
        path.fill_budget()
        assert await path.request() == (200, "done", b"q")
        assert (len(bad.started), len(good.started)) == (1, 1)


@pytest.mark.fault("worker_fails_everything", "running")
async def test_retries_add_at_most_a_tenth_of_load() -> None:
    """Guards against retries that multiply the load of an entry that fails."""
    workers = [ScriptedWorker(fail) for _ in range(3)]
    async with RequestPath(*workers) as path:
        for _ in range(100):
            assert (await path.request())[1] == "failed"
        assert sum(len(worker.started) for worker in workers) == 110


async def test_nothing_is_run_again_after_the_first_byte() -> None:
    """Guards against parts of two answers in one."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        cut = cut_after(200_000, 300_000)
        response = await cut(worker, request, task)
        worker.tasks[task] = ("failed", b"")
        return response

    sent = []

    async def send(answer: Answer) -> None:
        sent.append(answer)
        assert answer.rest is not None
        async for _ in answer.rest:
            pass

    entry = parse_catalogue(DOCUMENT).find_entry("report")
    assert entry is not None
    async with RequestPath(ScriptedWorker(behave), ScriptedWorker(behave)) as path:
        path.fill_budget()
        deadline_at_ms = SystemClock().monotonic_ms() + 10_000
        with pytest.raises(TaskFateUnknownError):
            await path.dispatcher.run(entry, b"q", deadline_at_ms, send)
        assert len(sent) == 1


def test_non_idempotent_work_is_never_retried() -> None:
    """Guards against a second run of work that must run at most once."""
    assert build_plan("report", 100).next_wait_after_failure(0) is not None
    assert build_plan("bill", 100).next_wait_after_failure(0) is None


def test_retries_end_by_budget_count_and_deadline() -> None:
    """Guards against a request that is retried without end."""
    assert build_plan("report", 9).next_wait_after_failure(0) is None
    plan = build_plan("report", 100)
    waits = [plan.next_wait_after_failure(0) for _ in range(3)]
    assert waits[2] is None
    assert len(set(waits)) == 3
    assert build_plan("report", 100).next_wait_after_failure(10_000) is None


def test_refused_placements_are_bounded_without_budget() -> None:
    """Guards against a request that is placed again forever while workers are busy."""
    plan = build_plan("bill", 0)
    waits = [plan.next_wait_after_refusal(0) for _ in range(MAX_REFUSALS)]
    assert None not in waits[:-1]
    assert waits[-1] is None
    assert build_plan("bill", 0).next_wait_after_refusal(10_000) is None
