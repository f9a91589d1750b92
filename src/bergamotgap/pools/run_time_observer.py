"""Learns run times and workers' speeds from the runs of a pool."""

from collections.abc import Iterable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import JobSpec
from bergamotgap.domain.job_paths import (
    ExpectedPath,
    measure_longest_path,
    measure_path,
)
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.run_time_estimates import RunTimeEstimates
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.domain.worker_speeds import (
    SAME_JOB_WEIGHT,
    SLOW_SPEED,
    WorkerSpeeds,
    measure_octaves,
)
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.tracked_worker import TrackedWorker

# Workers' speeds are not updated more often: it takes 2.5 ms with 45 workers and 720
# runs.
UPDATE_GAP_MS = 600
# A queue's ratio is logged when it differs by this factor from the last logged one, and
# not more often than this.
LOGGED_CHANGE = 1.25
LOG_GAP_MS = 10_000
# An estimate with less trust is not logged.
MIN_LOGGED_TRUST = 0.5

log = get_logger(__name__)


class RunTimeObserver:
    """Feed the estimates of one pool, and apply them to its jobs."""

    def __init__(
        self, estimates: RunTimeEstimates, jobs: Mapping[str, Job], clock: Clock
    ) -> None:
        self._estimates = estimates
        self._jobs = jobs
        self._clock = clock
        self._speeds = WorkerSpeeds()
        self._updated_ms = 0
        # Mean time until an end is known. With it, and with the time that a start
        # takes, short tasks would look longer than declared where they are not.
        self.end_delay_ms = 0.0
        # By queue: the ratio last logged, and when.
        self._logged: dict[str, tuple[float, int]] = {}

    def record_end(self, worker: TrackedWorker, live: LiveRun, is_done: bool) -> None:
        """Record a run that has ended, before its end is applied to its task.

        An error is only logged, since the end counts whatever is learned from it.
        """
        try:
            self._record_end(worker, live, is_done)
        except Exception:
            log.exception("run time not recorded", task=live.task.task_id, run=live.run)

    def _record_end(self, worker: TrackedWorker, live: LiveRun, is_done: bool) -> None:
        """Record the time of a run.

        A run that did not succeed took longer than the time for which it was seen.
        """
        job = self._jobs.get(live.task.task_id.job)
        start_ms = live.start_accepted_ms
        if job is None or start_ms is None or not _is_comparable(worker, live):
            return
        now_ms = self._clock.monotonic_ms()
        end_ms = now_ms - self.end_delay_ms if is_done else live.seen_ms
        passed_ms = end_ms - start_ms
        step, queue = live.task.step, job.spec.queue
        if is_done and not step.is_filler:
            typical_ms = self._estimates.typical_ms(queue, step)
            octaves = measure_octaves(passed_ms, typical_ms)
            self._speeds.record(worker.worker_id, job.job_id, octaves, now_ms)
        # The runs of a slow worker say nothing about the length of tasks.
        if worker.capacity.speed >= SLOW_SPEED:
            self._estimates.record_run(
                queue, step, passed_ms, now_ms, is_censored=not is_done
            )

    def update(self, workers: Iterable[TrackedWorker]) -> None:
        """Update the workers' speeds and the age of runs, at most once in a while."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._updated_ms < UPDATE_GAP_MS:
            return
        self._updated_ms = now_ms
        self._estimates.advance(now_ms)
        by_id = {worker.worker_id: worker for worker in workers}
        overdue = {
            worker_id: self._measure_overdue(worker, now_ms)
            for worker_id, worker in by_id.items()
        }
        for worker_id, speed in self._speeds.measure(overdue, now_ms).items():
            capacity = by_id[worker_id].capacity
            was_slow = capacity.speed < SLOW_SPEED
            capacity.speed = speed
            if was_slow != (speed < SLOW_SPEED):
                log.info(
                    "worker sound again" if was_slow else "worker slow",
                    worker=worker_id,
                    speed=round(speed, 2),
                )
        self._log_changes(now_ms)

    def _measure_overdue(
        self, worker: TrackedWorker, now_ms: int
    ) -> tuple[float, float]:
        """Return by how many octaves runs are overdue, in sum, and their weight."""
        total = total_weight = 0.0
        seen_jobs: set[str] = set()
        for live in worker.runs.values():
            task = live.task
            job = self._jobs.get(task.task_id.job)
            if job is None or task.step.is_filler or not _is_comparable(worker, live):
                continue
            passed_ms = now_ms - task.started_ms
            typical_ms = self._estimates.typical_ms(job.spec.queue, task.step)
            if task.phase is not TaskPhase.RUNNING or passed_ms <= typical_ms:
                continue
            weight = SAME_JOB_WEIGHT if job.job_id in seen_jobs else 1.0
            seen_jobs.add(job.job_id)
            total += weight * measure_octaves(passed_ms, typical_ms)
            total_weight += weight
        return total, total_weight

    def _log_changes(self, now_ms: int) -> None:
        for queue in self._estimates.queues:
            ratio, logged_ms = self._logged.get(queue, (1.0, now_ms - LOG_GAP_MS))
            if now_ms - logged_ms < LOG_GAP_MS:
                continue
            summary = self._estimates.summarize(queue)
            change = max(summary.ratio / ratio, ratio / summary.ratio)
            if summary.trust < MIN_LOGGED_TRUST or change < LOGGED_CHANGE:
                continue
            self._logged[queue] = (summary.ratio, now_ms)
            log.info(
                "run times changed",
                queue=queue,
                before=round(ratio, 2),
                ratio=round(summary.ratio, 2),
                error=round(summary.error, 2),
                declared_error=round(summary.declared_error, 2),
                trust=round(summary.trust, 2),
                runs=summary.runs,
            )

    def expect_path(self, job: Job) -> ExpectedPath:
        """Return the usual time of a job's longest path, and the expected time left."""
        queue = job.spec.queue
        version = self._estimates.get_version(queue)
        known = job.expected_path
        if known is not None and known[0] == version:
            return known[1]
        path = measure_path(
            job.spec,
            job.done_steps,
            lambda step: self._estimates.expect_step_ms(queue, step),
            lambda step: self._estimates.typical_ms(queue, step),
        )
        job.expected_path = (version, path)
        return path

    def expect_rest(self, job: Job, now_ms: int) -> float:
        """Return the expected time that is left for a job whose tasks all run.

        The greatest expected rest of its active tasks counts for a step.
        """
        queue = job.spec.queue
        times = [
            (
                0.0
                if number in job.done_steps
                else self._estimates.expect_step_ms(queue, step)
            )
            for number, step in enumerate(job.spec.steps)
        ]
        for step in job.steps:
            tasks = [task for task in step.tasks if task.phase is not TaskPhase.DONE]
            if tasks and all(task.is_active for task in tasks):
                times[step.number] = max(
                    self.expect_task_rest(queue, task, now_ms) for task in tasks
                )
        return measure_longest_path(job.spec.steps, times)

    def expect_task_rest(self, queue: str, task: Task, now_ms: int) -> float:
        """Return the expected time that is left for a running task."""
        passed_ms = now_ms - task.started_ms
        return self._estimates.remaining_ms(queue, task.step, passed_ms)

    def estimate_work(self, spec: JobSpec) -> Amount:
        """Return the expected work of one occurrence of a job, as an amount in ms."""
        return spec.estimate_work(
            lambda step: self._estimates.expect_ms(spec.queue, step)
        )


def _is_comparable(worker: TrackedWorker, live: LiveRun) -> bool:
    """Return whether the time since a run's start is known and that of a whole run.

    The end of a run that lived through a silence of its worker may be read late.
    """
    task = live.task
    is_present = live.is_whole and task.run == live.run
    is_limited = not task.step.is_long_running
    return is_present and is_limited and task.started_ms >= worker.silence_ended_ms
