"""Construction and shutdown of the components for jobs and non-idempotent requests."""

import asyncio
import secrets
from typing import Self

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.claims import Claims
from bergamotgap.node.job_runs import JobRunner
from bergamotgap.node.jobs import Jobs
from bergamotgap.node.log_clock import LogClock
from bergamotgap.node.placement import Placer
from bergamotgap.node.requests import NonIdempotentRequests, ResultReader
from bergamotgap.node.retrying_appender import RetryingAppender
from bergamotgap.node.streams import Stream
from bergamotgap.node.takeover import Members, Takeover, build_node_name
from bergamotgap.node.task_runs import TaskRunner
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.worker import WorkerClient

INCARNATION_BYTES = 6
# Limit for the appends that are pending at shutdown, which must not be delayed by an
# outage of the platform. Other nodes query the workers for outcomes without a record.
FINAL_APPEND_TIMEOUT_MS = 5000


class WorkComponents:
    """The components that append to the `work` stream, as a context manager."""

    def __init__(
        self,
        members: Members,
        control: Stream[ControlState],
        work: Stream[WorkState],
        writer: StreamWriter,
        placer: Placer,
        client: WorkerClient,
        clock: Clock,
        job_budget_bytes: int,
    ) -> None:
        self._control = control
        self._job_budget_bytes = job_budget_bytes
        # The name is unique for each process: a restarted one must not consider itself
        # the owner of the earlier process's claims and jobs, which it does not know.
        self.node = build_node_name(
            members.node_id, secrets.token_hex(INCARNATION_BYTES)
        )
        self._appender = RetryingAppender(writer, clock)
        task_runner = TaskRunner(client, clock)
        self.claims = Claims(
            self.node,
            work,
            writer,
            self._appender,
            placer,
            task_runner,
            clock,
            self._find_address,
        )
        self.results = ResultReader(client, self._find_address)
        self.requests = NonIdempotentRequests(
            work,
            self.claims,
            self._appender,
            self.results,
            lambda: control.state.catalogue,
            clock,
        )
        self.jobs = self._build_jobs(work, writer, placer, task_runner, clock)
        self.takeover = Takeover(
            self.node,
            members,
            work,
            writer,
            self._appender,
            self.claims,
            clock,
            self.jobs.reconcile,
            lambda: self.jobs.is_leaving,
        )
        self._takeover_task: asyncio.Task[None] | None = None

    def _build_jobs(
        self,
        work: Stream[WorkState],
        writer: StreamWriter,
        placer: Placer,
        task_runner: TaskRunner,
        clock: Clock,
    ) -> Jobs:
        log_clock = LogClock(clock)
        control = self._control
        job_runner = JobRunner(
            work,
            lambda: control.state,
            placer,
            self.claims,
            task_runner,
            log_clock,
            clock,
        )
        return Jobs(
            self.node,
            work,
            lambda: control.state,
            writer,
            self._appender,
            job_runner,
            task_runner,
            log_clock,
            clock,
            self._job_budget_bytes,
        )

    def _find_address(self, host: str) -> str | None:
        known = self._control.state.hosts.get(host)
        return known.facts.address if known is not None else None

    async def __aenter__(self) -> Self:
        """Start the search for work of gone nodes."""
        self._takeover_task = asyncio.create_task(self.takeover.run())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop all work at once, so that other entry hosts take it over."""
        if self._takeover_task is not None:
            self._takeover_task.cancel()
            await asyncio.gather(self._takeover_task, return_exceptions=True)
        await self.takeover.stop()
        await self.requests.stop()
        await self.jobs.stop()
        await self._appender.stop()

    async def hand_over(self, timeout_ms: int) -> None:
        """Hand over the work that is not dispatched and wait for the rest to end."""
        await asyncio.gather(
            self.jobs.hand_over(timeout_ms), self.requests.finish(timeout_ms)
        )
        await self._appender.finish(min(timeout_ms, FINAL_APPEND_TIMEOUT_MS))
