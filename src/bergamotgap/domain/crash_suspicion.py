"""Which tasks are suspected of a worker's crash, and when one is given up."""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_records import Exposure
from bergamotgap.domain.task_state import Task

# A run that a poll lists this long after its start has survived the start.
START_MS = 200
# A task that was tried alone for this long may run beside others again.
TRIAL_MS = 1000
# A task that works this long doesn't cause the crashes counted for it: over days, the
# workers of a task crash for other reasons as well.
ACQUITTAL_MS = 60_000
# A task is given up after so many crashes that only it can have caused. For tasks that
# crash their workers long after the start, the limit counts all crashes that no other
# start explains. Long-running tasks have no such limit: in time, they see more.
BLAMED_CRASHES_TO_GIVE_UP = 2
CRASHES_TO_GIVE_UP = 4
# Giving up a long-running job also stops its tasks that work well.
BLAMED_CRASHES_TO_GIVE_UP_LONG_RUNNING = 3
# Two workers must have begun a run of the task before they crashed. A start without an
# answer may never have arrived, so more are needed if they tell of other crashes.
MIN_CONFIRMED_CRASHES = 2
MIN_POSSIBLE_CRASHES = 4
# Outcomes by which a pool judges how likely a job of a queue crashes its worker.
OUTCOMES_REMEMBERED = 12
MIN_OUTCOMES = 4
OUTCOME_TTL_MS = 15_000
# Above this share of jobs that crash workers, one blamed crash is enough to give up a
# task. Above the other, new jobs are tried apart from others: a worker usually starts
# tasks of three jobs or more at a time.
CONVICTION_SHARE = 1 / 2
PROBATION_SHARE = 1 / 3


class LostRun(NamedTuple):
    """A run that was lost with its worker, and whether it had survived its start."""

    task: Task
    has_survived_start: bool


def record_loss(runs: Collection[LostRun], worker_id: str) -> None:
    """Mark the suspects among the tasks of a worker that was lost.

    Suspects are the tasks that had not survived their start, or else all. If only one
    job has such tasks, a crash is blamed on them. Suspects that were not at their start
    are tried only if they were lost before.
    """
    starting_jobs = {run.task.task_id.job for run in runs if not run.has_survived_start}
    for task, has_survived_start in runs:
        is_starting = not has_survived_start
        is_suspect = is_starting or not starting_jobs
        was_lost_before = bool(task.crashed_workers) or len(task.exposures) > 1
        if is_starting or (is_suspect and was_lost_before):
            task.runs_alone = True
        exposure = task.get_exposure(worker_id)
        if exposure is not None:
            updated = msgspec.structs.replace(
                exposure,
                is_suspect=exposure.is_suspect and is_suspect,
                is_blamed=is_starting and len(starting_jobs) == 1,
            )
            task.begin_exposure(updated)


def record_crash(task: Task, exposure: Exposure) -> None:
    """Count a proven crash of a worker if the task may have caused it."""
    task.end_exposure(exposure.worker_id)
    if exposure.is_suspect:
        task.crashed_workers = (*task.crashed_workers, exposure.worker_id)
        task.confirmed_crashes += exposure.is_confirmed
        task.blamed_crashes += exposure.is_blamed
    task.runs_alone = task.runs_alone or len(task.crashed_workers) > 1


def record_age(task: Task, age_ms: int) -> None:
    """Release a task from trial, and later acquit it, by the age of its run."""
    # Tasks that no worker crashed under are tried because of others of their queue.
    trial_ms = TRIAL_MS if task.crashed_workers else START_MS
    if task.runs_alone and age_ms >= trial_ms:
        task.runs_alone = False
        # What it did not do alone, it did not do before either.
        task.blamed_crashes = 0
        exposure = task.get_exposure(task.worker_id)
        if exposure is not None:
            task.begin_exposure(msgspec.structs.replace(exposure, is_blamed=False))
    if age_ms >= ACQUITTAL_MS:
        task.crashed_workers = ()
        task.confirmed_crashes = task.blamed_crashes = 0


def is_given_up(task: Task, crash_share: float) -> bool:
    """Return whether the task crashed so many workers that it must not start again.

    A worker may crash for another reason at the start of a task. That is unlikely while
    most jobs of the queue crash workers (`crash_share`), so one blamed crash is enough
    then.
    """
    crashes = len(task.crashed_workers)
    if task.confirmed_crashes < MIN_CONFIRMED_CRASHES and (
        crashes < MIN_POSSIBLE_CRASHES
    ):
        return False
    if task.step.is_long_running:
        return task.blamed_crashes >= BLAMED_CRASHES_TO_GIVE_UP_LONG_RUNNING
    needed = 1 if crash_share > CONVICTION_SHARE else BLAMED_CRASHES_TO_GIVE_UP
    return crashes >= CRASHES_TO_GIVE_UP or task.blamed_crashes >= needed


class StartOutcomes:
    """Remember whether the jobs that a queue started last crashed their workers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By queue: time (monotonic, ms), job, and whether it was blamed for a crash.
        self._outcomes: dict[str, deque[tuple[int, str, bool]]] = {}

    def record_crash(self, queue: str, job_id: str) -> None:
        """Record that a job was blamed for a crash."""
        outcomes = self._outcomes.setdefault(queue, deque(maxlen=OUTCOMES_REMEMBERED))
        outcomes.append((self._clock.monotonic_ms(), job_id, True))

    def record_survival(self, queue: str, job_id: str) -> None:
        """Record that a worker survived a start of a job; once for a job in a row."""
        outcomes = self._outcomes.get(queue)
        if outcomes and outcomes[-1][1:] != (job_id, False):
            outcomes.append((self._clock.monotonic_ms(), job_id, False))

    def measure_crash_share(self, queue: str) -> float:
        """Return the share of jobs blamed for a crash; 0 if too few are known."""
        outcomes = self._outcomes.get(queue)
        if not outcomes:
            return 0.0
        since_ms = self._clock.monotonic_ms() - OUTCOME_TTL_MS
        recent = [crashed for at_ms, _, crashed in outcomes if at_ms >= since_ms]
        if not recent:
            del self._outcomes[queue]
        return sum(recent) / len(recent) if len(recent) >= MIN_OUTCOMES else 0.0
