"""Throttling of fillers that run beside latency-sensitive tasks.

A pace is the percentage of full speed at which a filler may work. The functions here
are pure.
"""

from collections.abc import Sequence

from bergamotgap.domain.task_state import Task, TaskPhase

# Ratios of tail latency to target at which fillers stop, slow down and speed up again.
# The gap between the last two is hysteresis: it keeps the pace from changing with every
# poll.
STOP_RATIO = 1.0
SLOW_RATIO = 0.8
FAST_RATIO = 0.6
FULL_PERCENT = 100
PACE_STEP_PERCENT = 20


def choose_pace(pace: int, tail_ratio: float) -> int:
    """Return the new pace, given the worst ratio of tail latency to target."""
    if tail_ratio >= STOP_RATIO:
        return 0
    if tail_ratio >= SLOW_RATIO:
        return pace // 2
    if tail_ratio < FAST_RATIO:
        return min(FULL_PERCENT, pace + PACE_STEP_PERCENT)
    return pace


def list_pace_changes(tasks: Sequence[Task]) -> list[tuple[Task, int]]:
    """Return the fillers on one worker whose pace changes, with their new pace."""
    ratios = [
        task.latency_or_cpu / task.step.target_ms
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
    return [(task, pace) for task, pace in paces if pace != task.pace]
