"""Stops runs that make no progress on workers that answer."""

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.stalls import LONGEST_QUANTILE, STALL_MS, is_stalled
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.run_tracker import QUARANTINE_MS, RunTracker
from bergamotgap.pools.stop_lines import StopReason

log = get_logger(__name__)


def stop_stalled_runs(tracker: RunTracker, job_table: JobTable, clock: Clock) -> None:
    """Stop runs without progress on workers that answer; quarantine the workers."""
    now_ms = clock.monotonic_ms()
    for link in list(tracker.links.values()):
        for live in list(link.runs.values()):
            task = live.task
            if link.answered_ms - task.progress_changed_ms < STALL_MS:
                continue
            expected_ms, longest_ms = _estimate_run_times(tracker, job_table, task)
            if not is_stalled(task, expected_ms, longest_ms, link.answered_ms):
                continue
            log.warning(
                "run stalled",
                task=task.task_id,
                run=live.run,
                worker=link.worker_id,
                percent=task.percent,
                still_ms=now_ms - task.progress_changed_ms,
            )
            task.failed_on.add(link.worker_id)
            link.quarantine(QUARANTINE_MS)
            tracker.stop_run(task, StopReason.STALLED)


def _estimate_run_times(
    tracker: RunTracker, job_table: JobTable, task: Task
) -> tuple[float, float]:
    job = job_table.jobs.get(task.task_id.job)
    if job is None:
        return task.step.estimated_ms, task.step.estimated_ms
    queue, estimates = job.spec.queue, tracker.estimates
    expected_ms = estimates.expect_ms(queue, task.step)
    return expected_ms, estimates.quantile_ms(queue, task.step, LONGEST_QUANTILE)
