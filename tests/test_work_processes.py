"""Tests of jobs and non-idempotent requests while real processes fail."""

import asyncio
import base64
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest

from bergamotgap.domain.folding import Applied, Stamp
from bergamotgap.domain.records import (
    Record,
    decode_batch,
    unwrap_record,
)
from bergamotgap.domain.work_state import WorkState
from tools.fleet import Fleet

NIGHTLY = {"Authorization": "Bearer nightly-key"}
WAIT_TIMEOUT_S = 60
RUN_MS = 1500


@dataclass
class WorkHarness:
    """Client of a running fleet and reader of its `work` stream."""

    fleet: Fleet
    session: aiohttp.ClientSession

    async def request(self, node: int, request_id: str) -> tuple[int, bytes]:
        """Send a non-idempotent request; if the connection breaks, return status 0."""
        url = f"http://{self.fleet.nodes[node].caller}/v1/requests/rollup-invoice"
        headers = {**NIGHTLY, "Request-Id": request_id, "Deadline-Ms": "30000"}
        try:
            async with self.session.post(
                url, data=request_id, headers=headers
            ) as response:
                return response.status, await response.read()
        except aiohttp.ClientError:
            return 0, b""

    async def submit(self, node: int, request_id: str) -> tuple[int, dict[str, Any]]:
        """Submit a non-idempotent job."""
        url = f"http://{self.fleet.nodes[node].caller}/v1/jobs"
        body = base64.b64encode(request_id.encode()).decode()
        order = {
            "entry": "rollup-invoice",
            "request_id": request_id,
            "body_base64": body,
        }
        async with self.session.post(url, json=order, headers=NIGHTLY) as response:
            return response.status, await response.json(content_type=None)

    async def fold_work(self) -> tuple[WorkState, list[Record]]:
        """Return the folded stream and the records that took effect."""
        url = f"http://{self.fleet.platform_address}/streams/work/records?from=0"
        async with self.session.get(url) as response:
            pages = (await response.json())["records"]
        state, applied = WorkState(), []
        for page in pages:
            for envelope in decode_batch(page["body"]):
                record = unwrap_record(envelope)
                stamp = Stamp(page["offset"], page["appended_ms"])
                if isinstance(state.apply(stamp, record), Applied):
                    applied.append(record)
        return state, applied

    async def wait_for_ends(self, jobs: int) -> None:
        """Wait until at least `jobs` jobs have an outcome."""
        await wait_until(lambda: self._has_ends(jobs))

    async def _has_ends(self, jobs: int) -> bool:
        return (await self.fold_work())[0].ended_count >= jobs

    async def wait_for_start(self, body: str) -> None:
        """Wait until a worker has started a task with this body."""
        await wait_until(lambda: self._is_started(body))

    async def _is_started(self, body: str) -> bool:
        return self.count_starts(body) > 0

    async def is_served(self, node: int) -> bool:
        """Return whether an entry host serves non-idempotent requests."""
        return (await self.request(node, f"warm-{node}"))[0] == 200

    async def is_accepted(self, node: int, request_id: str) -> bool:
        """Submit a job and return whether it was accepted."""
        return (await self.submit(node, request_id))[0] == 202

    def count_starts(self, body: str) -> int:
        """Return how often the workers started a task with this body."""
        return sum(start["body"] == body for start in self.fleet.read_starts())


async def wait_until(is_met: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if await is_met():
                return
            await asyncio.sleep(0.1)


@asynccontextmanager
async def run_fleet() -> AsyncIterator[WorkHarness]:
    fleet = Fleet(
        workers_per_pool=2, node_count=2, pools=("reconciliation",), run_ms=RUN_MS
    )
    async with fleet, aiohttp.ClientSession() as session:
        assert await fleet.publish() == 200
        await fleet.wait_until_ready()
        scene = WorkHarness(fleet, session)
        # Workers are usable once each entry host has polled their status.
        await wait_until(lambda: scene.is_served(0))
        await wait_until(lambda: scene.is_served(1))
        yield scene


@pytest.mark.processes
@pytest.mark.fault("crash", "running")
async def test_killed_host_loses_neither_request_nor_job() -> None:
    """Guards against a second run or a lost outcome after an entry host crash."""
    async with run_fleet() as scene:
        first = asyncio.create_task(scene.request(0, "r"))
        status, job = await scene.submit(0, "j")
        assert status == 202
        await scene.wait_for_start("r")
        await scene.wait_for_start("j")
        scene.fleet.kill("entry-1")
        assert (await first)[0] == 0
        assert await scene.request(1, "r") == (200, b"r")
        await scene.wait_for_ends(1)
        state, _ = await scene.fold_work()
        known = state.find_job(job["job"])
        assert known is not None
        assert known.ended is not None
        assert known.ended.outcome == "done"
        assert (scene.count_starts("r"), scene.count_starts("j")) == (1, 1)


@pytest.mark.processes
@pytest.mark.fault("freeze", "running")
async def test_unfrozen_host_does_not_repeat_a_job_it_lost() -> None:
    """Guards against a second run or outcome by an owner that was paused."""
    async with run_fleet() as scene:
        status, job = await scene.submit(0, "j")
        assert status == 202
        scene.fleet.freeze("entry-1")
        await scene.wait_for_ends(1)
        scene.fleet.unfreeze("entry-1")
        # The resumed host serves this after it has caught up with the stream.
        assert await scene.request(0, "later") == (200, b"later")
        state, _ = await scene.fold_work()
        known = state.find_job(job["job"])
        assert known is not None
        assert known.ended is not None
        assert known.ended.outcome == "done"
        assert (state.accepted_count, state.ended_count) == (1, 1)
        assert scene.count_starts("j") == 1


@pytest.mark.processes
@pytest.mark.fault("platform_slow", "accept")
async def test_repeat_finds_a_job_whose_acceptance_had_no_answer() -> None:
    """Guards against a second job when the platform answers too late."""
    async with run_fleet() as scene:
        scene.fleet.freeze("platform")
        status, problem = await scene.submit(0, "j")
        assert (status, problem["code"]) == (504, "accept_unknown")
        scene.fleet.unfreeze("platform")
        await wait_until(lambda: scene.is_accepted(1, "j"))
        await scene.wait_for_ends(1)
        state, _ = await scene.fold_work()
        assert (state.accepted_count, state.ended_count) == (1, 1)
        assert scene.count_starts("j") == 1


@pytest.mark.processes
@pytest.mark.fault("answer_lost", "outcome_record")
async def test_lost_answers_of_the_platform_cause_no_second_run() -> None:
    """Guards against a repeated append that creates a second claim or outcome."""
    async with run_fleet() as scene:
        await scene.fleet.set_platform_faults(
            lose_answers=True, paths=["POST /streams"]
        )
        await wait_until(lambda: scene.is_accepted(0, "j"))
        await scene.wait_for_ends(1)
        await scene.fleet.set_platform_faults()
        state, _ = await scene.fold_work()
        assert (state.accepted_count, state.ended_count) == (1, 1)
        assert scene.count_starts("j") == 1
