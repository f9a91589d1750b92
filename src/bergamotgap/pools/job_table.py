"""Jobs of one pool: accepted, ended, restored from the log."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import JobPhase, JobSpec, StepSpec
from bergamotgap.domain.job_state import Job, JobProgress
from bergamotgap.pools.journal import Journal

# Ended jobs are kept a little longer than callers may ask for them.
RETENTION_MARGIN_MS = 10_000
# More than the arrivals that an estimate of their rate reads.
MAX_ARRIVALS = 32

log = get_logger(__name__)


class RecordKind(StrEnum):
    """Second part of a record's key; the first is the pool, the third a name."""

    SPEC = "j"
    PROGRESS = "p"


@dataclass(frozen=True)
class Stored:
    """The job lasts; `is_new` is false for a repeated id."""

    is_new: bool


@dataclass(frozen=True)
class NotStored:
    """The job was not accepted and never runs; come back after `retry_ms`."""

    reason: str
    retry_ms: int


SubmitOutcome = Stored | NotStored


def format_record_key(service: str, kind: str, job_id: str) -> str:
    """Return the key of a job's record in the partition of its pool."""
    return f"{service}/{kind}/{job_id}"


class JobTable:
    """Hold the jobs of a pool and write their changes to the journal."""

    def __init__(
        self, service: str, journal: Journal, clock: Clock, status_ms: int
    ) -> None:
        self._service = service
        self._journal = journal
        self._clock = clock
        self._status_ms = status_ms
        self._jobs: dict[str, Job] = {}
        # Number of the journal's change that makes a job or its end last.
        self._accepted: dict[str, int] = {}
        self._ended: dict[str, int] = {}
        self._beginnings: set[asyncio.Task[None]] = set()
        self.pending: dict[str, Job] = {}
        # Time of our clock and work in 1/1000 core-ms of the last jobs that came.
        self.recent_arrivals: deque[tuple[int, float]] = deque(maxlen=MAX_ARRIVALS)
        self.on_job_accepted: Callable[[], None] = lambda: None
        self.on_job_ended: Callable[[str], None] = lambda job_id: None

    @property
    def jobs(self) -> Mapping[str, Job]:
        """Return all jobs by id, ended ones included."""
        return self._jobs

    def restore(self, values: Mapping[str, bytes]) -> int:
        """Fold the records of the partition; return the number of open jobs."""
        prefix = f"{self._service}/"
        progress: dict[str, JobProgress] = {}
        for key, value in values.items():
            if not key.startswith(prefix):
                continue
            kind, _, name = key[len(prefix) :].partition("/")
            try:
                self._restore_record(kind, name, value, progress)
            except msgspec.MsgspecError as error:
                log.error("record can't be read", key=key, error=str(error))
        for job_id, saved in progress.items():
            job = self._jobs.get(job_id)
            if job is None:
                # An ended job keeps only its end.
                job = Job(JobSpec(job_id, "", "", ()), self._clock.monotonic_ms())
                self._jobs[job_id] = job
            job.restore(saved)
        for job in self._jobs.values():
            if not job.phase.is_final:
                job.open_due_occurrences(self._clock.wall_ms())
                self.pending[job.job_id] = job
        return len(self.pending)

    def _restore_record(
        self, kind: str, name: str, value: bytes, progress: dict[str, JobProgress]
    ) -> None:
        match kind:
            case RecordKind.SPEC:
                spec = msgspec.msgpack.decode(value, type=JobSpec)
                age_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
                self._jobs[name] = Job(spec, self._clock.monotonic_ms() - age_ms)
            case RecordKind.PROGRESS:
                progress[name] = msgspec.msgpack.decode(value, type=JobProgress)

    async def submit(self, spec: JobSpec) -> SubmitOutcome:
        """Accept a job; return when it lasts or is known not to."""
        is_new = spec.job_id not in self._jobs
        if is_new:
            if self._journal.is_failing:
                log.warning(
                    "refused", job=spec.job_id, pool=self._service, reason="log_lost"
                )
                return NotStored("platform_unavailable", retry_ms=1000)
            job = Job(spec, self._clock.monotonic_ms())
            self._jobs[spec.job_id] = job
            self.recent_arrivals.append((job.arrived_ms, spec.estimate_work()))
            change = self._journal.put(
                format_record_key(self._service, RecordKind.SPEC, spec.job_id),
                lambda: msgspec.msgpack.encode(spec),
            )
            self._accepted[spec.job_id] = change
            # The job begins when it lasts, also if its caller is gone by then.
            beginning = asyncio.create_task(self._begin(job, change))
            self._beginnings.add(beginning)
            beginning.add_done_callback(self._beginnings.discard)
        await self._journal.wait_committed(self._accepted.get(spec.job_id, 0))
        return Stored(is_new)

    async def _begin(self, job: Job, change: int) -> None:
        await self._journal.wait_committed(change)
        spec = job.spec
        log.info(
            "accepted",
            job=spec.job_id,
            pool=self._service,
            queue=spec.queue,
            steps=",".join(describe_step(step) for step in spec.steps),
        )
        if not job.phase.is_final:
            job.open_due_occurrences(self._clock.wall_ms())
            self.pending[spec.job_id] = job
        self.on_job_accepted()

    async def close(self) -> None:
        """Stop waiting for the log."""
        await cancel_tasks(list(self._beginnings))

    def get_durable_phase(self, job_id: str) -> JobPhase | None:
        """Return the phase that lasts; None if no such job was accepted."""
        job = self._jobs.get(job_id)
        if job is None or not self._journal.is_committed(self._accepted.get(job_id, 0)):
            return None
        if job.phase.is_final and not self._journal.is_committed(
            self._ended.get(job_id, 0)
        ):
            return JobPhase.RUNNING
        return job.phase

    def count_waiting_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs of which no task has started."""
        return sum(
            1
            for job in self._jobs.values()
            if job.phase is JobPhase.QUEUED and job.spec.queue == queue
        )

    def record_progress(self, job: Job) -> int:
        """Write what must last of an open job; return the number of the change."""
        return self._journal.put(
            format_record_key(self._service, RecordKind.PROGRESS, job.job_id),
            lambda: msgspec.msgpack.encode(job.save()),
        )

    def end_job(self, job: Job, phase: JobPhase, reason: str = "") -> int:
        """End a job; return the number of the change that makes it last."""
        job.end(phase, self._clock.wall_ms(), reason)
        return self.record_end(job)

    def record_end(self, job: Job) -> int:
        """Write a job's end once; return the number of the change."""
        known = self._ended.get(job.job_id)
        if known is not None:
            return known
        if not job.ended_ms:
            job.ended_ms = self._clock.wall_ms()
        self.pending.pop(job.job_id, None)
        self.on_job_ended(job.job_id)
        spec_key = format_record_key(self._service, RecordKind.SPEC, job.job_id)
        if job.spec.steps:
            self._journal.put(spec_key, lambda: None)
        self._ended[job.job_id] = self.record_progress(job)
        log.info(
            "ended",
            job=job.job_id,
            pool=self._service,
            phase=job.phase.value,
            reason=job.failure,
            age_ms=self._clock.monotonic_ms() - job.arrived_ms,
        )
        return self._ended[job.job_id]

    async def wait_for_durable_end(self, job: Job) -> None:
        """Return when the end of a job lasts."""
        await self._journal.wait_committed(self._ended.get(job.job_id, 0))

    def delete_expired_jobs(self) -> None:
        """Drop ended jobs that callers may no longer ask for."""
        limit_ms = self._clock.wall_ms() - self._status_ms - RETENTION_MARGIN_MS
        old = [
            job
            for job in self._jobs.values()
            if job.phase.is_final and job.ended_ms < limit_ms
        ]
        for job in old:
            del self._jobs[job.job_id]
            self._accepted.pop(job.job_id, None)
            self._ended.pop(job.job_id, None)
            key = format_record_key(self._service, RecordKind.PROGRESS, job.job_id)
            self._journal.put(key, lambda: None)

    def count_jobs_by_phase(self) -> dict[str, int]:
        """Return the number of jobs in each phase."""
        return dict(Counter(job.phase.value for job in self._jobs.values()))


def describe_step(step: StepSpec) -> str:
    """Return tasks, 1/1000 cores and estimated ms of a step, and its kind."""
    kind = "f" if step.is_filler else "l" if step.is_long_running else ""
    gang = "g" if step.is_gang else ""
    spread = f"/{step.max_per_host}" if step.max_per_host else ""
    missing = f"-{step.max_unavailable}" if step.max_unavailable else ""
    return f"{step.count}{spread}{missing}x{step.cpu}x{step.estimated_ms}{kind}{gang}"
