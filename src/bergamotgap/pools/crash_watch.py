"""Tells crashes of a pool's workers from other losses, and counts them for tasks."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.crash_suspicion import (
    PROBATION_SHARE,
    START_MS,
    LostRun,
    StartOutcomes,
    is_given_up,
    record_crash,
    record_loss,
)
from bergamotgap.domain.fleet import WorkerInfo, WorkerState
from bergamotgap.domain.job_records import Exposure
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.link_interface import LiveRun

# A loss without evidence is forgotten after this time.
WATCH_MS = 30_000

log = get_logger(__name__)


@dataclass(frozen=True)
class LostWorker:
    """One life of a worker whose runs were lost at `lost_ms` (monotonic).

    `is_inherited`: a former owner had started the runs, and it is not known whether
    they are lost.
    """

    worker_id: str
    incarnation_ms: int
    host: str
    tasks: list[Task]
    lost_ms: int
    is_inherited: bool = False


class CrashWatch:
    """Watch workers that were lost with their runs until it is known why.

    A crash is proven by a later life of the same host, and disproven by an answer of
    the life that was lost. `crashes` counts the proven ones, `suspects` the tasks that
    had to be tried alone, and `given_up` the jobs given up.
    """

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        clock: Clock,
        give_up: Callable[[Job], None],
    ) -> None:
        self._pool = pool
        self._job_table = job_table
        self._clock = clock
        self._give_up = give_up
        self._lost: dict[tuple[str, int], LostWorker] = {}
        # When the newest listed life of each host began (Unix ms).
        self._born_ms: dict[str, int] = {}
        self._outcomes = StartOutcomes(clock)
        self.crashes = self.suspects = self.given_up = 0

    def watch_inherited_runs(self) -> None:
        """Watch the workers that the restored jobs were on."""
        now_ms = self._clock.monotonic_ms()
        for job in self._job_table.pending.values():
            for task in job.list_tasks():
                for exposure in task.exposures:
                    key = (exposure.worker_id, exposure.incarnation_ms)
                    lost = LostWorker(*key, exposure.host, [], now_ms, True)
                    self._lost.setdefault(key, lost).tasks.append(task)

    def record_start(self, task: Task, worker: WorkerInfo, incarnation_ms: int) -> None:
        """Record that a worker is about to get a run of a task."""
        # Nothing else is likely to crash a worker that is reserved for a trial.
        is_trial = task.runs_alone
        task.begin_exposure(
            Exposure(worker.worker_id, incarnation_ms, worker.host, is_trial, is_trial)
        )

    def record_loss(
        self,
        worker: WorkerInfo,
        runs: Sequence[LiveRun],
        reason: str,
        cut_off_ms: int = 0,
    ) -> None:
        """Watch a worker whose runs were lost, and mark the suspects among them.

        At `cut_off_ms` the worker closed the connection of the last poll.
        """
        if worker.state is WorkerState.DRAINING:
            for live in runs:
                live.task.end_exposure(worker.worker_id)
            return
        # Runs of jobs that have ended may be at fault as well.
        started = [
            LostRun(live.task, _has_survived_start(live, cut_off_ms))
            for live in runs
            if live.is_start_sent
        ]
        tasks = [run.task for run in started if self._find_job(run.task) is not None]
        before = sum(task.runs_alone for task in tasks)
        record_loss(started, worker.worker_id)
        suspects = sum(task.runs_alone for task in tasks)
        self.suspects += suspects - before
        log.warning(
            "worker lost",
            pool=self._pool,
            worker=worker.worker_id,
            host=worker.host,
            reason=reason,
            runs=len(started),
            starting=sum(not run.has_survived_start for run in started),
            suspects=suspects,
        )
        if tasks:
            key = (worker.worker_id, worker.incarnation_ms)
            now_ms = self._clock.monotonic_ms()
            # Some runs of a life are found to be lost later than others.
            former = self._lost.get(key)
            others = former.tasks if former is not None else []
            self._lost[key] = LostWorker(*key, worker.host, others + tasks, now_ms)
            self._record_progress(tasks)
            # A later life may be listed already, and the tasks are about to wait again.
            self.resolve_losses()

    def record_survival(self, task: Task) -> None:
        """Record that a worker survived the start of a task."""
        job = self._find_job(task)
        if job is not None:
            self._outcomes.record_survival(job.spec.queue, job.job_id)

    def is_queue_on_probation(self, queue: str) -> bool:
        """Return whether new jobs of a queue should be tried apart from others."""
        return self._outcomes.measure_crash_share(queue) > PROBATION_SHARE

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Apply the current list of the pool's workers."""
        self._born_ms = {}
        for info in workers.values():
            born_ms = self._born_ms.get(info.host, 0)
            self._born_ms[info.host] = max(born_ms, info.incarnation_ms)
        self.resolve_losses()

    def resolve_losses(self) -> None:
        """Look for later lives of the hosts of lost workers.

        A later life may be listed before the runs count as lost, and nothing after it.
        """
        now_ms = self._clock.monotonic_ms()
        for key, lost in list(self._lost.items()):
            if self._born_ms.get(lost.host, 0) > lost.incarnation_ms:
                del self._lost[key]
                self._record_crash(lost)
            elif now_ms - lost.lost_ms > WATCH_MS:
                del self._lost[key]
                self._end_exposures(lost)
                log.info("loss unexplained", **self._build_log_fields(lost))

    def record_answer(self, worker_id: str, incarnation_ms: int) -> None:
        """Record an answer of a life that counted as lost: it has not crashed."""
        lost = self._lost.pop((worker_id, incarnation_ms), None)
        if lost is None:
            return
        self._end_exposures(lost)
        if not lost.is_inherited:
            log.info("lost worker answers", **self._build_log_fields(lost))

    def _record_crash(self, lost: LostWorker) -> None:
        self.crashes += 1
        log.warning("worker crashed", **self._build_log_fields(lost))
        self._record_blame(lost)
        for task in lost.tasks:
            job = self._find_job(task)
            exposure = task.get_exposure(lost.worker_id)
            if job is None or exposure is None:
                continue
            record_crash(task, exposure)
            # Nobody saw which of the inherited runs had survived their start.
            task.runs_alone = task.runs_alone or lost.is_inherited
            log.warning(
                "run ended by crash",
                task=task.task_id,
                worker=lost.worker_id,
                evidence="inherited" if lost.is_inherited else "later_life",
                suspect=exposure.is_suspect,
                blamed=task.blamed_crashes,
                workers=",".join(task.crashed_workers),
            )
            crash_share = self._outcomes.measure_crash_share(job.spec.queue)
            if is_given_up(task, crash_share):
                self.given_up += 1
                self._give_up(job)
        self._record_progress(lost.tasks)

    def _record_blame(self, lost: LostWorker) -> None:
        for task in lost.tasks:
            job, exposure = self._find_job(task), task.get_exposure(lost.worker_id)
            if job is None or exposure is None or not exposure.is_suspect:
                continue
            if exposure.is_blamed:
                self._outcomes.record_crash(job.spec.queue, job.job_id)
                return

    def _end_exposures(self, lost: LostWorker) -> None:
        for task in lost.tasks:
            if task.worker_id != lost.worker_id or not task.is_active:
                task.end_exposure(lost.worker_id)

    def _record_progress(self, tasks: Sequence[Task]) -> None:
        tasks_by_job: defaultdict[str, list[Task]] = defaultdict(list)
        for task in tasks:
            if self._find_job(task) is not None:
                tasks_by_job[task.task_id.job].append(task)
        for job_id, changed in tasks_by_job.items():
            self._job_table.record_progress(self._job_table.jobs[job_id], changed)

    def _find_job(self, task: Task) -> Job | None:
        """Return the open job of a task; None for runs that are not wanted any more."""
        job = self._job_table.jobs.get(task.task_id.job)
        if job is None or job.phase.is_final or not job.spec.steps:
            return None
        return job if job.get_task(task.task_id) is task else None

    def _build_log_fields(self, lost: LostWorker) -> dict[str, str | int]:
        return {
            "pool": self._pool,
            "worker": lost.worker_id,
            "host": lost.host,
            "runs": len(lost.tasks),
            "after_ms": self._clock.monotonic_ms() - lost.lost_ms,
        }


def _has_survived_start(live: LiveRun, cut_off_ms: int) -> bool:
    """Return whether a run was past its start when its worker was last known to live.

    A poll waits for an end, so none may have listed the run before the crash.
    """
    if live.has_survived_start or live.start_accepted_ms is None:
        return live.has_survived_start
    return cut_off_ms - live.start_accepted_ms >= START_MS
