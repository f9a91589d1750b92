"""State of one task of a job: its phase, its latest run, and what crashed under it."""

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.domain.job_records import Exposure, TaskRecord

# Wait of a task whose start a worker refused, doubled with each refusal in a row.
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 1000
# Failed runs that are remembered; only long-running tasks may have more.
MAX_COUNTED_RUNS = 32
# A longer checkpoint is not persisted: a successor that doesn't find the run on its
# worker starts it from the beginning.
MAX_PERSISTED_CHECKPOINT_BYTES = 1024
# Workers of a kind that are persisted for a task.
MAX_PERSISTED_WORKERS = 16


class TaskPhase(IntEnum):
    """Phase of a task; STARTING to UNCERTAIN reserve capacity on a worker."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    # A stop was ordered, or an order got no answer: the run may still be executing.
    UNCERTAIN = 3
    DONE = 4


@dataclass(slots=True, eq=False)
class Task:
    """One task; `run` numbers its latest run, which is on `worker_id` while active.

    `percent` is the reported progress, `progress_changed_ms` when it last changed and
    `pace` the percentage of full speed at which a filler may work. `latency_or_cpu` is
    the worker's latest report: a tail latency in ms or the CPU use in 1/1000 cores.
    `crashed_workers` names the workers that crashed when they may have had a run of the
    task. `confirmed_crashes` counts those known to have begun one, and `blamed_crashes`
    those whose crash only this job can have caused. A task that `runs_alone` shares no
    worker with other tasks that start.
    """

    task_id: TaskId
    step: StepSpec
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    # The highest run so far; that of an adopted run may be lower.
    highest_run: int = 0
    # The highest run whose failure is counted in `failures`, and the latest ones that
    # were counted: a successor may read the end of a run after those of later ones.
    counted_run: int = 0
    counted_runs: tuple[int, ...] = ()
    failures: int = 0
    checkpoint: str = ""
    worker_id: str = ""
    started_ms: int = 0
    percent: int = 0
    progress_changed_ms: int = 0
    latency_or_cpu: int = 0
    pace: int = 100
    failed_on: set[str] = field(default_factory=set)
    # Starts in a row that workers refused, and when the next one may be sent
    # (monotonic, ms).
    refusals: int = 0
    retry_ms: int = 0
    exposures: tuple[Exposure, ...] = ()
    crashed_workers: tuple[str, ...] = ()
    confirmed_crashes: int = 0
    blamed_crashes: int = 0
    runs_alone: bool = False

    @property
    def is_active(self) -> bool:
        """Return whether the task reserves capacity on a worker."""
        return TaskPhase.STARTING <= self.phase <= TaskPhase.UNCERTAIN

    @property
    def is_ready(self) -> bool:
        """Return whether a long-running task has completed its startup."""
        return self.phase is TaskPhase.RUNNING and self.percent >= 100

    def count_failure(self, run: int) -> None:
        """Count the failure of a run."""
        self.failures += 1
        self.counted_run = max(self.counted_run, run)
        self.counted_runs = (*self.counted_runs, run)[-MAX_COUNTED_RUNS:]

    def begin_exposure(self, exposure: Exposure) -> None:
        """Record that a worker may get a run of the task."""
        self.end_exposure(exposure.worker_id)
        self.exposures = (*self.exposures, exposure)

    def get_exposure(self, worker_id: str) -> Exposure | None:
        """Return the exposure of a worker, if any."""
        return next((e for e in self.exposures if e.worker_id == worker_id), None)

    def confirm_start(self, worker_id: str) -> None:
        """Record that a worker has started a run of the task."""
        self.refusals = 0
        exposure = self.get_exposure(worker_id)
        if exposure is not None:
            confirmed = msgspec.structs.replace(
                exposure, is_suspect=True, is_confirmed=True
            )
            self.begin_exposure(confirmed)

    def record_refusal(self, now_ms: int) -> None:
        """Record that a worker refused a start of the task."""
        self.retry_ms = now_ms + min(MAX_RETRY_MS, FIRST_RETRY_MS << self.refusals)
        self.refusals += 1

    def end_exposure(self, worker_id: str) -> None:
        """Record that a worker has no run of the task any more."""
        self.exposures = tuple(
            exposure for exposure in self.exposures if exposure.worker_id != worker_id
        )

    @property
    def has_saved_state(self) -> bool:
        """Return whether there is anything to persist of a task that is not done."""
        return bool(
            self.failures or self.checkpoint or self.exposures or self.crashed_workers
        )

    def save(self) -> TaskRecord:
        """Return the state to persist."""
        checkpoint = self.checkpoint
        if len(checkpoint.encode()) > MAX_PERSISTED_CHECKPOINT_BYTES:
            checkpoint = ""
        return TaskRecord(
            self.task_id.occurrence,
            self.task_id.step,
            self.task_id.number,
            self.counted_run,
            self.failures,
            self.phase is TaskPhase.DONE,
            checkpoint,
            self.exposures[-MAX_PERSISTED_WORKERS:],
            self.crashed_workers[-MAX_PERSISTED_WORKERS:],
            self.blamed_crashes,
            self.runs_alone,
            self.confirmed_crashes,
            self.counted_runs,
        )

    def restore(self, record: TaskRecord) -> None:
        """Restore the state that a former owner saved, but for the phase."""
        self.counted_run, self.failures = record.counted_run, record.failures
        self.counted_runs = record.counted_runs or (record.counted_run,)
        self.checkpoint = record.checkpoint
        self.exposures = record.exposures
        self.crashed_workers = record.crashed_workers
        self.blamed_crashes = record.blamed_crashes
        self.confirmed_crashes = record.confirmed_crashes
        self.runs_alone = record.runs_alone

    def begin_run(
        self, phase: TaskPhase, run: int, worker_id: str, now_ms: int, percent: int = 0
    ) -> None:
        """Record the run that is on a worker, or about to start there."""
        self.phase = phase
        self.run = run
        self.highest_run = max(self.highest_run, run)
        self.worker_id = worker_id
        self.percent = percent
        self.started_ms = self.progress_changed_ms = now_ms

    def requeue(self, checkpoint: str = "") -> None:
        """Return to WAITING after a run that did not succeed."""
        if checkpoint:
            self.checkpoint = checkpoint
        self.phase = TaskPhase.WAITING
        self.worker_id = ""
        self.percent = 0
        self.pace = 100

    def mark_done(self) -> None:
        """Mark the task as done after a successful run; this is final."""
        self.phase = TaskPhase.DONE
        self.worker_id = ""
        self.exposures = ()
        self.runs_alone = False
