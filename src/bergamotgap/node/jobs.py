"""Acceptance of jobs, and a driver task for each job that this node owns."""

import asyncio
import base64
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied, Effect, Rejected, Stamp
from bergamotgap.domain.records import (
    CancelRequested,
    Ended,
    JobAccepted,
    JobTaken,
    Record,
)
from bergamotgap.domain.work_items import Job, build_request_key
from bergamotgap.domain.work_memory import measure_submission
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.claims import WorkProgress
from bergamotgap.node.job_runs import JobRunner, entry_fits_pool
from bergamotgap.node.log_clock import LogClock
from bergamotgap.node.requests import compute_retention_ms
from bergamotgap.node.retrying_appender import RetryingAppender
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.task_runs import TaskRunner
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.node.writer import StreamWriter

APPEND_TIMEOUT_MS = 5000
# Bounds the memory of an entry host. A job takes the size of its body, and twice that
# for a moment.
MAX_OWNED_JOBS = 5000
# Limit for the bodies of all open jobs, since every entry host holds all of them,
# whichever host owns the jobs.
MAX_TOTAL_BODY_BYTES = 64 << 20
# When callers are told to return if there is no memory. Jobs give their bodies back at
# their end.
MEMORY_RETRY_MS = 5000
JOB_ID_BYTES = 18
RESTART_DELAY_MS = 1000

log = get_logger(__name__)


@dataclass(slots=True)
class _Driver:
    """The task that drives one owned job, and its current run of the job."""

    job: Job
    progress: WorkProgress
    task: "asyncio.Task[None]"
    run: "asyncio.Task[Ended] | None" = None


class Jobs:
    """Accepts jobs and drives those that this node owns until they end."""

    def __init__(
        self,
        node: str,
        work: Stream[WorkState],
        control: Callable[[], ControlState],
        writer: StreamWriter,
        appender: RetryingAppender,
        job_runner: JobRunner,
        task_runner: TaskRunner,
        log_clock: LogClock,
        clock: Clock,
        budget_bytes: int,
    ) -> None:
        self._node = node
        self._work = work
        self._control = control
        self._writer = writer
        self._appender = appender
        self._job_runner = job_runner
        self._task_runner = task_runner
        self._log_clock = log_clock
        self._clock = clock
        self._budget_bytes = budget_bytes
        # What the jobs take that are on their way to the log.
        self._accepting_bytes = 0
        self._drivers: dict[str, _Driver] = {}
        self._stop_calls: set[asyncio.Task[None]] = set()
        self._is_leaving = False
        work.add_observer(self._handle_record)

    @property
    def owned_count(self) -> int:
        """Return the number of open jobs that this node drives."""
        return len(self._drivers)

    @property
    def is_leaving(self) -> bool:
        """Return whether this node is handing its jobs over to other nodes."""
        return self._is_leaving

    async def accept(
        self,
        caller: str,
        request_id: str,
        entry: Entry,
        body: bytes,
        deadline_ms: int,
    ) -> str:
        """Append a job to the log and return its id.

        A repeat under the same request id returns the id of the first job. Raises
        RequestRefusedError.
        """
        key = build_request_key(caller, request_id)
        digest = hashlib.sha256(body).hexdigest()
        known = self._find_repeat(key, entry, digest)
        if known is not None:
            return known
        self._check_acceptable(entry)
        encoded = base64.b64encode(body).decode()
        needed = measure_submission(len(encoded))
        self._check_memory(needed)
        record = JobAccepted(
            job=secrets.token_urlsafe(JOB_ID_BYTES),
            caller=caller,
            request_id=request_id,
            entry=entry.name,
            body=encoded,
            body_sha256=digest,
            deadline_ms=deadline_ms,
            keep_ms=compute_retention_ms(self._control().catalogue, entry),
            node=self._node,
        )
        self._accepting_bytes += needed
        try:
            effect = await self._append(record, "accept_unknown")
        finally:
            self._accepting_bytes -= needed
        if isinstance(effect, Applied):
            return record.job
        known = self._find_repeat(key, entry, digest)
        if known is None:
            raise RequestRefusedError(409, effect.code, "not_run")
        return known

    def _find_repeat(self, key: str, entry: Entry, digest: str) -> str | None:
        known = self._work.state.find_job_by_key(key)
        is_reused = self._work.state.find_claim(key) is not None and known is None
        if known is not None:
            is_reused = (known.entry, known.body_sha256) != (entry.name, digest)
        if is_reused:
            raise RequestRefusedError(409, "request_id_reused", "not_run")
        return known.job if known is not None else None

    def _check_acceptable(self, entry: Entry) -> None:
        if self._is_leaving:
            raise RequestRefusedError(503, "leaving", "not_run")
        if not entry_fits_pool(self._control(), entry):
            detail = f"no host of pool {entry.pool} has the declared size"
            raise RequestRefusedError(422, "does_not_fit", "not_run", detail)
        is_full = self._work.state.body_bytes >= MAX_TOTAL_BODY_BYTES
        if is_full or len(self._drivers) >= MAX_OWNED_JOBS:
            raise RequestRefusedError(503, "too_many_jobs", "not_run")

    def _check_memory(self, needed: int) -> None:
        held = self._work.state.held_bytes + self._accepting_bytes
        if held + needed <= self._budget_bytes:
            return
        log.warning(
            "job refused",
            reason="memory",
            held_kb=held // 1024,
            needed_kb=needed // 1024,
            budget_kb=self._budget_bytes // 1024,
        )
        # An earlier submission under this id may be in the log without having been
        # read yet.
        raise RequestRefusedError(
            503, "no_memory", "unknown", retry_after_ms=MEMORY_RETRY_MS
        )

    async def _append(self, record: Record, unknown_code: str) -> Effect:
        try:
            return await self._writer.append(record, APPEND_TIMEOUT_MS)
        except AppendRefusedError as error:
            # The outcome is unknown rather than "not run": an earlier submission under
            # this id may be in the log without having been read yet.
            code, detail = "platform_unavailable", str(error)
            raise RequestRefusedError(503, code, "unknown", detail) from error
        except AppendUnknownError as error:
            raise RequestRefusedError(
                504, unknown_code, "unknown", str(error)
            ) from error

    def find(self, caller: str, job: str) -> Job | None:
        """Return a job, or None if it is unknown or belongs to another caller."""
        known = self._work.state.find_job(job)
        return known if known is not None and known.caller == caller else None

    async def cancel(self, job: Job) -> Job:
        """Append the cancellation of a job and return the job's state after it."""
        if job.ended is None and not job.is_cancel_requested:
            await self._append(CancelRequested(job.job), "cancel_unknown")
        return self._work.state.find_job(job.job) or job

    def _handle_record(self, stamp: Stamp, record: Record, effect: Effect) -> None:
        self._log_clock.record_stamp(stamp)
        if not isinstance(effect, Applied):
            return
        match record:
            case JobAccepted(job=job, node=node) if node == self._node:
                self._start_driver(job)
            case JobTaken(job=job, node=node):
                self._stop_driver(job)
                if node == self._node:
                    self._start_driver(job)
            case CancelRequested(job=job):
                self._cancel_owned_job(job)
            case Ended(job=str() as job):
                self._stop_driver(job)

    def reconcile(self) -> None:
        """Start and stop drivers so that exactly the owned jobs have one.

        Needed after a snapshot was loaded, since observers don't see the records that
        it covers.
        """
        owned = {job.job for job in self._work.state.list_jobs_of(self._node)}
        for job_id in self._drivers.keys() - owned:
            self._stop_driver(job_id)
        if not self._is_leaving:
            for job_id in owned - self._drivers.keys():
                self._start_driver(job_id)

    def _start_driver(self, job_id: str) -> None:
        job = self._work.state.find_job(job_id)
        if job is None:
            return
        progress = WorkProgress(is_cancelled=job.is_cancel_requested)
        task = asyncio.create_task(self._drive_job(job_id))
        self._drivers[job_id] = _Driver(job, progress, task)

    def _stop_driver(self, job_id: str) -> None:
        # The job has ended or has another owner, so this node must not dispatch it.
        driver = self._drivers.pop(job_id, None)
        if driver is None:
            return
        for task in (driver.run, driver.task):
            if task is not None:
                task.cancel()

    def _cancel_owned_job(self, job_id: str) -> None:
        driver = self._drivers.get(job_id)
        if driver is None:
            return
        driver.progress.is_cancelled = True
        if driver.progress.stage == "queued" and driver.run is not None:
            driver.run.cancel()
        elif driver.progress.stage == "running":
            progress = driver.progress
            call = asyncio.create_task(
                self._task_runner.stop_task(progress.address, progress.task)
            )
            self._stop_calls.add(call)
            call.add_done_callback(self._stop_calls.discard)

    async def _drive_job(self, job_id: str) -> None:
        driver = self._drivers[job_id]
        while True:
            ended = await self._run_once(driver)
            if ended is None:
                continue
            # Waits until the platform accepts the record, however long an outage lasts.
            effect = await self._appender.append(ended)
            if not isinstance(effect, Rejected) or effect.code in (
                "already_ended",
                "stale_ownership",
                "unknown_job",
            ):
                return
            log.warning(
                "outcome rejected, job runs again", job=job_id, code=effect.code
            )

    async def _run_once(self, driver: _Driver) -> Ended | None:
        run = asyncio.create_task(self._job_runner.run(driver.job, driver.progress))
        driver.run = run
        await asyncio.wait({run})
        if not run.cancelled() and run.exception() is None:
            return run.result()
        progress = driver.progress
        if not run.cancelled():
            # An accepted job must not be lost because of a bug, so it is run again.
            log.error("job run failed", job=driver.job.job, error=repr(run.exception()))
            if progress.stage != "queued":
                progress.failures.append(f"{progress.host}: no outcome")
            await self._clock.sleep_ms(RESTART_DELAY_MS)
        progress.stage = "queued"
        return None

    async def hand_over(self, timeout_ms: int) -> None:
        """Release the jobs that are not dispatched and wait for the others to end.

        Jobs that still run after the timeout are released too. Their new owner resolves
        their claims by querying the workers.
        """
        self._is_leaving = True
        drivers = list(self._drivers.values())
        queued = [d for d in drivers if d.progress.stage == "queued"]
        await self._release_jobs(queued)
        running = [d.task for d in self._drivers.values()]
        if running:
            await asyncio.wait(running, timeout=timeout_ms / 1000)
        await self._release_jobs(list(self._drivers.values()))

    async def _release_jobs(self, drivers: list[_Driver]) -> None:
        for driver in drivers:
            self._stop_driver(driver.job.job)
        records = [
            JobTaken(d.job.job, "", d.job.ownership + 1, d.progress.may_have_run)
            for d in drivers
            if not d.task.done()
        ]
        releases = [self._writer.append(r, APPEND_TIMEOUT_MS) for r in records]
        results = await asyncio.gather(*releases, return_exceptions=True)
        failed = sum(isinstance(result, Exception) for result in results)
        if records:
            log.info("jobs released for takeover", jobs=len(records), failed=failed)

    async def stop(self) -> None:
        """Stop all drivers without a record, so that other nodes take the jobs over."""
        tasks = [driver.task for driver in self._drivers.values()]
        for job_id in list(self._drivers):
            self._stop_driver(job_id)
        await asyncio.gather(*tasks, return_exceptions=True)
