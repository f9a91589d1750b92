"""Jobs of one pool: accepting and ending them, and restoring them from the log."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import JobPhase, JobSpec, StepSpec
from bergamotgap.domain.job_blocks import TaskBlock
from bergamotgap.domain.job_memory import HeldJobs, measure_job
from bergamotgap.domain.job_paths import get_declared_ms
from bergamotgap.domain.job_records import JobProgress
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.offered_load import OfferedLoad
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.job_journal import JobJournal, RecordKind, format_record_key
from bergamotgap.pools.journal import Journal

# Ended jobs are kept this much longer than callers may query them.
RETENTION_MARGIN_MS = 10_000
# Further steps of a job are counted in its log line.
MAX_LOGGED_STEPS = 20
# Reason of a refusal, and of the end of a job, whose record the log can't take.
RECORD_REJECTED = "record_rejected"
REJECTED_RETRY_MS = 5000

log = get_logger(__name__)


@dataclass(frozen=True)
class Stored:
    """The job is durable; `is_new` is false if its id was submitted before."""

    is_new: bool


@dataclass(frozen=True)
class NotStored:
    """The job was not accepted and never runs; submit again after `retry_ms`."""

    reason: str
    retry_ms: int


@dataclass(frozen=True)
class QueueNotHeld:
    """The pool may not accept jobs of the queue, or not yet; nothing is known."""


SubmitOutcome = Stored | NotStored | QueueNotHeld


class JobTable:
    """Hold the jobs of a pool and write their changes to the journal.

    `pending` are the open jobs that may have tasks to place.
    """

    def __init__(
        self, pool: str, journal: Journal, clock: Clock, retention_ms: int
    ) -> None:
        self._pool = pool
        self._journal = journal
        self._records = JobJournal(pool, journal)
        self._clock = clock
        self._retention_ms = retention_ms
        self._jobs: dict[str, Job] = {}
        # Number of the journal change that makes a job, or its end, durable.
        self._accept_changes: dict[str, int] = {}
        self._end_changes: dict[str, int] = {}
        # When the retention of each ended job began (monotonic, ms). It begins anew
        # with each owner, since the clocks of two hosts can't be compared.
        self._retained_since_ms: dict[str, int] = {}
        self._begin_tasks: set[asyncio.Task[None]] = set()
        self.pending: dict[str, Job] = {}
        self.offered_load = OfferedLoad()
        # The memory that the jobs of each customer take, by estimate.
        self._held_bytes: Counter[str] = Counter()
        # Returns the refusal of a new job that there is no memory for.
        self.check_memory: Callable[[JobSpec], NotStored | None] = lambda spec: None
        # Returns the refusal of a new job that is not to be accepted.
        self.check_admission: Callable[[JobSpec], NotStored | None] = lambda spec: None
        # Returns the specification of a new job, marked if it is in excess.
        self.mark_excess: Callable[[JobSpec], JobSpec] = lambda spec: spec
        # Returns the expected work of a job, as an amount in ms.
        self.estimate_work: Callable[[JobSpec], Amount] = lambda spec: (
            spec.estimate_work(get_declared_ms)
        )
        self.on_job_accepted: Callable[[], None] = lambda: None
        self.on_job_ended: Callable[[str], None] = lambda job_id: None
        # Ends an open job whose progress can't be stored.
        self.on_job_rejected: Callable[[Job], None] = lambda job: None

    @property
    def jobs(self) -> Mapping[str, Job]:
        """All jobs by id, including ended ones."""
        return self._jobs

    @property
    def held_bytes(self) -> int:
        """The memory that the jobs take, by estimate."""
        return self._held_bytes.total()

    def measure_held(self, customer: str) -> HeldJobs:
        """Return the memory that all jobs take, and those of a customer."""
        return HeldJobs(self._held_bytes.total(), self._held_bytes[customer])

    def _hold(self, spec: JobSpec, sign: int = 1) -> None:
        held = self._held_bytes[spec.customer] + sign * measure_job(spec)
        if held:
            self._held_bytes[spec.customer] = held
        else:
            del self._held_bytes[spec.customer]

    def restore(self, values: Mapping[str, bytes]) -> int:
        """Restore the jobs from the partition; return the number of open jobs."""
        stored = self._records.read(values)
        for job_id, spec in stored.specs.items():
            age_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
            self._jobs[job_id] = Job(spec, self._clock.monotonic_ms() - age_ms)
        for job_id, saved in stored.progress.items():
            self._restore_progress(job_id, saved)
        for job_id, blocks in stored.blocks.items():
            self._restore_blocks(job_id, blocks)
        for job in self._jobs.values():
            self._hold(job.spec)
            if job.phase.is_final:
                self._retained_since_ms[job.job_id] = self._clock.monotonic_ms()
            else:
                job.begin_due_occurrences(self._clock.wall_ms())
                self.pending[job.job_id] = job
        return len(self.pending)

    def _restore_progress(self, job_id: str, saved: JobProgress) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            # The specification of a job is deleted when it ends.
            spec = saved.spec or JobSpec(job_id, "", "", ())
            job = Job(spec, self._clock.monotonic_ms())
            if saved.spec is not None:
                job.begin_due_occurrences(self._clock.wall_ms())
            self._jobs[job_id] = job
        job.restore(saved)
        is_whole = bool(saved.tasks or saved.done_steps or saved.workers)
        if is_whole and job.numbering.is_in_blocks and not job.phase.is_final:
            self._records.divide_progress(job)

    def _restore_blocks(self, job_id: str, blocks: Iterable[TaskBlock]) -> None:
        job = self._jobs.get(job_id)
        if job is None or job.phase.is_final:
            self._records.mark_obsolete(job_id)
            return
        for block in blocks:
            job.restore_block(block)
        if job.phase.is_final:
            # Its former owner wrote the last block, but not the end.
            self.record_end(job)

    async def submit(self, spec: JobSpec) -> SubmitOutcome:
        """Accept a job; return once it is durable, or at once if the log is lost."""
        is_new = spec.job_id not in self._jobs
        if is_new:
            if self._journal.is_failing:
                log.warning(
                    "job refused",
                    job=spec.job_id,
                    pool=self._pool,
                    reason="log_lost",
                )
                return NotStored("platform_unavailable", retry_ms=1000)
            refusal = self.check_memory(spec) or self.check_admission(spec)
            if refusal is not None:
                return await self._refuse(spec.job_id, refusal)
            spec = self.mark_excess(spec)
            job = Job(spec, self._clock.monotonic_ms())
            self._jobs[spec.job_id] = job
            self._hold(spec)
            work = self.estimate_work(spec)
            self.offered_load.record(job.arrived_ms, work, spec.customer)
            change = self._records.put_spec(spec)
            self._accept_changes[spec.job_id] = change
            # The job begins once it is durable, even if its caller is gone by then.
            begin_task = asyncio.create_task(self._begin_when_durable(job, change))
            self._begin_tasks.add(begin_task)
            begin_task.add_done_callback(self._begin_tasks.discard)
        change = self._accept_changes.get(spec.job_id, 0)
        if not await self._journal.wait_committed(change):
            return NotStored(RECORD_REJECTED, retry_ms=REJECTED_RETRY_MS)
        return Stored(is_new)

    async def _refuse(self, job_id: str, refusal: NotStored) -> SubmitOutcome:
        """Return a refusal once the log shows that no successor can have the job.

        An append that the log takes from this owner shows it, since a successor fences
        former owners before it accepts jobs.
        """
        key = format_record_key(self._pool, RecordKind.REFUSED, "")
        await self._journal.wait_committed(self._journal.put(key, lambda: None))
        if job_id not in self._jobs:
            return refusal
        await self._journal.wait_committed(self._accept_changes.get(job_id, 0))
        return Stored(is_new=False)

    async def _begin_when_durable(self, job: Job, change: int) -> None:
        spec = job.spec
        if not await self._journal.wait_committed(change):
            self._forget_job(spec)
            return
        log.info(
            "accepted",
            job=spec.job_id,
            pool=self._pool,
            queue=spec.queue,
            steps=_describe_steps(spec.steps),
        )
        if not job.phase.is_final:
            job.begin_due_occurrences(self._clock.wall_ms())
            self.pending[spec.job_id] = job
        self.on_job_accepted()

    async def close(self) -> None:
        """Stop waiting for submitted jobs to become durable."""
        await cancel_tasks(list(self._begin_tasks))

    def get_durable_phase(self, job_id: str) -> JobPhase | None:
        """Return a job's phase as the log holds it; None if no such job is durable.

        A job whose end is not durable yet is reported as running.
        """
        job = self._jobs.get(job_id)
        if job is None or not self._journal.is_committed(
            self._accept_changes.get(job_id, 0)
        ):
            return None
        if job.phase.is_final and not self._journal.is_committed(
            self._end_changes.get(job_id, 0)
        ):
            return JobPhase.RUNNING
        return job.phase

    def count_waiting_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs none of whose tasks has started."""
        return sum(
            1
            for job in self._jobs.values()
            if job.phase is JobPhase.QUEUED and job.spec.queue == queue
        )

    def record_progress(self, job: Job, tasks: Iterable[Task] = ()) -> int:
        """Write the progress of some tasks of a job to the journal.

        Returns the number of the last change, or 0 if there is none.
        """
        return self._records.put_tasks(job, tasks)

    def record_assigned_worker(
        self, job: Job, task: Task, worker_id: str, needs_record: bool = False
    ) -> int:
        """Record that a worker may have a run of a task; return the change's number.

        With `needs_record`, the present state is recorded also where the worker was
        recorded before.
        """
        change = job.get_assignment(task, worker_id)
        if change is None or needs_record:
            job.assign_worker(task, worker_id, 0)
            change = self.record_progress(job, [task])
            job.assign_worker(task, worker_id, change)
        return change

    def handle_rejected_record(self, key: str) -> None:
        """End a job whose progress the log can't take; the others go on."""
        job = self._jobs.get(self._records.find_job_of_progress(key) or "")
        if job is not None and not job.phase.is_final:
            self.on_job_rejected(job)

    def end_job(self, job: Job, phase: JobPhase, reason: str = "") -> int:
        """End a job; return the number of the change that makes the end durable."""
        job.end(phase, self._clock.wall_ms(), reason)
        return self.record_end(job)

    def record_end(self, job: Job) -> int:
        """Write a job's end to the journal once; return the number of the change."""
        recorded_change = self._end_changes.get(job.job_id)
        if recorded_change is not None:
            return recorded_change
        if not job.ended_ms:
            job.ended_ms = self._clock.wall_ms()
        self._retained_since_ms[job.job_id] = self._clock.monotonic_ms()
        self.pending.pop(job.job_id, None)
        self.on_job_ended(job.job_id)
        self._end_changes[job.job_id] = self._records.put_end(job)
        log.info(
            "ended",
            job=job.job_id,
            pool=self._pool,
            phase=job.phase.value,
            reason=job.end_reason,
            age_ms=self._clock.monotonic_ms() - job.arrived_ms,
        )
        return self._end_changes[job.job_id]

    async def wait_for_durable_end(self, job: Job) -> None:
        """Return once the end of a job is durable."""
        await self._journal.wait_committed(self._end_changes.get(job.job_id, 0))

    def delete_expired_jobs(self) -> None:
        """Delete ended jobs that callers may no longer query."""
        retention_ms = self._retention_ms + RETENTION_MARGIN_MS
        limit_ms = self._clock.monotonic_ms() - retention_ms
        self._records.delete_obsolete_blocks()
        # The oldest end comes first.
        while self._retained_since_ms:
            job_id, since_ms = next(iter(self._retained_since_ms.items()))
            if since_ms > limit_ms:
                return
            del self._retained_since_ms[job_id]
            self._forget_job(self._jobs[job_id].spec)
            self._records.delete_progress(job_id)

    def _forget_job(self, spec: JobSpec) -> None:
        self._hold(spec, -1)
        self._jobs.pop(spec.job_id, None)
        self._accept_changes.pop(spec.job_id, None)
        self._end_changes.pop(spec.job_id, None)

    def count_jobs_by_phase(self) -> dict[str, int]:
        """Return the number of jobs in each phase."""
        return dict(Counter(job.phase.value for job in self._jobs.values()))


def _describe_steps(steps: Sequence[StepSpec]) -> str:
    described = [describe_step(step) for step in steps[:MAX_LOGGED_STEPS]]
    if len(steps) > MAX_LOGGED_STEPS:
        described.append(f"+{len(steps) - MAX_LOGGED_STEPS}")
    return ",".join(described)


def describe_step(step: StepSpec) -> str:
    """Format a step for a log line: tasks, 1/1000 cores, estimated ms and kind.

    The number of tasks is followed by `/` and the limit per host, and by `-` and the
    limit of unavailable tasks. The kind is `f` for a filler, `l` for a long-running
    step and `g` for a gang.
    """
    kind = "f" if step.is_filler else "l" if step.is_long_running else ""
    gang = "g" if step.is_gang else ""
    per_host = f"/{step.max_per_host}" if step.max_per_host else ""
    unavailable = f"-{step.max_unavailable}" if step.max_unavailable else ""
    return (
        f"{step.count}{per_host}{unavailable}"
        f"x{step.cpu}x{step.estimated_ms}{kind}{gang}"
    )
