"""Detects tasks that have stopped making progress."""

from bergamotgap.domain.job_state import Task, TaskPhase
from bergamotgap.domain.pacing import FULL_PERCENT

# A task counts as stalled if two polls of its worker show the same progress, at least
# STALL_MS and this fraction of its estimated time apart.
STALL_MS = 2500
STALL_FRACTION = 0.1


def is_stalled(task: Task, ratio: float, answered_ms: int) -> bool:
    """Return whether a task was stalled at its worker's last answer, `answered_ms`.

    `ratio` is the ratio of actual to declared run times. The limit grows with the
    estimated time, because one percent of a long task takes long. Gangs are excluded
    because their tasks wait for each other, long-running tasks because they report no
    progress.
    """
    is_exempt = task.step.is_long_running or task.step.is_gang
    if task.phase is not TaskPhase.RUNNING or is_exempt:
        return False
    limit_ms = max(STALL_MS, STALL_FRACTION * task.step.estimated_ms * ratio)
    unchanged_ms = answered_ms - task.progress_changed_ms
    return unchanged_ms >= limit_ms and task.percent < FULL_PERCENT
