"""How fast fillers may work beside tasks that serve; a pure decision."""

from collections.abc import Sequence

from bergamotgap.domain.job_state import Task, TaskPhase

# Shares of the target at which fillers stop, slow down, and speed up again. Hysteresis
# between the last two keeps the pace from changing with every look.
STOP_RATIO = 1.0
SLOW_RATIO = 0.8
FAST_RATIO = 0.6
FULL_PERCENT = 100
RAISE_PERCENT = 20


def choose_pace(percent: int, tail_ratio: float) -> int:
    """Return the pace of fillers for the worst ratio of tail to target beside them."""
    if tail_ratio >= STOP_RATIO:
        return 0
    if tail_ratio >= SLOW_RATIO:
        return percent // 2
    if tail_ratio < FAST_RATIO:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    return percent


def list_pace_changes(tasks: Sequence[Task]) -> list[tuple[Task, int]]:
    """Return the fillers on one worker whose pace changes, with the new one."""
    ratios = [
        task.metric / task.step.target_ms
        for task in tasks
        if task.step.target_ms and not task.step.is_filler
    ]
    worst = max(ratios, default=0.0)
    fillers = [
        task
        for task in tasks
        if task.step.is_filler and task.phase is TaskPhase.RUNNING
    ]
    paces = [(task, choose_pace(task.pace, worst)) for task in fillers]
    return [(task, percent) for task, percent in paces if percent != task.pace]
