"""Detects tasks that have stopped making progress."""

from bergamotgap.domain.pacing import FULL_PERCENT
from bergamotgap.domain.task_state import Task, TaskPhase

# A task counts as stalled if two polls of its worker show the same progress, at least
# STALL_MS and this fraction of its estimated time apart.
STALL_MS = 2500
STALL_FRACTION = 0.1
# Part of the run time of the longest runs that the limit is derived from: a run among
# them shows one percent within a third of that limit.
LONGEST_SHARE = 0.3
LONGEST_QUANTILE = 0.99


def is_stalled(
    task: Task, expected_ms: float, longest_ms: float, answered_ms: int
) -> bool:
    """Return whether a task was stalled at its worker's last answer, `answered_ms`.

    `expected_ms` is the expected run time, `longest_ms` that of the longest runs. The
    limit grows with them and with the run time that the progress implies, because one
    percent of a long task takes long. Gangs are excluded because their tasks wait for
    each other, long-running tasks because they report no progress.
    """
    is_exempt = task.step.is_long_running or task.step.is_gang
    if task.phase is not TaskPhase.RUNNING or is_exempt:
        return False
    implied_ms = 0.0
    if task.percent > 0:
        passed_ms = task.progress_changed_ms - task.started_ms
        implied_ms = passed_ms * FULL_PERCENT / task.percent
    run_ms = max(expected_ms, LONGEST_SHARE * longest_ms, implied_ms)
    limit_ms = max(STALL_MS, STALL_FRACTION * run_ms)
    unchanged_ms = answered_ms - task.progress_changed_ms
    return unchanged_ms >= limit_ms and task.percent < FULL_PERCENT
