"""Lines about ordered stops of runs."""

from enum import StrEnum

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.fleet import RunReport

log = get_logger(__name__)


class StopReason(StrEnum):
    """Why the run of a task is stopped, and thereby who ordered it."""

    CANCELLED = "cancelled"
    CRASHES_WORKERS = "crashes_workers"
    RECORD_REJECTED = "record_rejected"
    JOB_ENDED = "job_ended"
    DONE_ELSEWHERE = "done_elsewhere"
    GANG_NOT_STARTED = "gang_not_started"
    NOT_WANTED = "not_wanted"
    STALLED = "stalled"
    DRAIN = "drain"
    DRAIN_OF_LATE_WORK = "drain_of_late_work"
    MAINTENANCE = "maintenance"


def log_stop(task: Task, link: WorkerLink | None, reason: StopReason) -> None:
    """Log the stop of a task's run if it is active, before its phase changes.

    A repeated stop has no line. `is_held` tells whether the worker is known to hold
    this run.
    """
    if task.phase not in (TaskPhase.STARTING, TaskPhase.RUNNING):
        return
    live = link.runs.get(task.task_id) if link is not None else None
    log.info(
        "run stopped",
        task=task.task_id,
        run=task.run,
        worker=task.worker_id,
        reason=reason.value,
        phase=task.phase.name.lower(),
        is_held=live is not None and live.run == task.run,
    )


def log_unwanted_run(report: RunReport, worker_id: str) -> None:
    """Log the stop of a run that a poll lists and that its job does not want."""
    log.info(
        "run stopped",
        task=report.task,
        run=report.run,
        worker=worker_id,
        reason=StopReason.NOT_WANTED.value,
        phase="unknown",
        is_held=True,
    )
