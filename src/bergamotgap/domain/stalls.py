"""Which tasks stand still; a pure decision."""

from bergamotgap.domain.job_state import Task, TaskPhase
from bergamotgap.domain.pacing import FULL_PERCENT

# A task whose progress stands still so long, and for this share of its declared time,
# while its worker was looked at twice, is not at work.
STALL_MS = 2500
STALL_FRACTION = 0.1


def is_stalled(task: Task, ratio: float, answered_ms: int) -> bool:
    """Tell whether a task stands still, as of its worker's last answer.

    `ratio` is that of actual to declared run times. A percent of a long task takes
    long; a gang waits for its members; lasting tasks have no progress.
    """
    is_excepted = task.step.is_long_running or task.step.is_gang
    if task.phase is not TaskPhase.RUNNING or is_excepted:
        return False
    patience_ms = max(STALL_MS, STALL_FRACTION * task.step.estimated_ms * ratio)
    still_ms = answered_ms - task.progress_ms
    return still_ms >= patience_ms and task.percent < FULL_PERCENT
