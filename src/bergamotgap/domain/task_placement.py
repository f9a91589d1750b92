"""Decides the order of jobs and the worker for each task; performs no I/O."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import JobPhase, Queue, Size, WorkerInfo
from bergamotgap.domain.job_paths import ExpectedPath
from bergamotgap.domain.job_state import Job, StepOccurrence, Task
from bergamotgap.domain.worker_speeds import SLOW_SPEED

StepKey = tuple[str, int, int]
# Lateness, urgency, whether the job has not begun, and a time in ms.
JobRank = tuple[int, int, bool, float]
# Work that ends within this multiple of its latency objective still has some value.
LATE_FACTOR = 3
# First element of a rank: the job is long-running or can be on time, can still end late
# but with some value, or can only end too late to be of value.
ON_TIME, LATE, TOO_LATE = 0, 1, 2


@dataclass
class WorkerCapacity:
    """Used and free capacity of a worker.

    `accepts_tasks` tells whether the worker takes new work. `serving_tasks` counts its
    tasks with a latency target, `filler_tasks` its fillers.
    """

    info: WorkerInfo
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpus: int = 0
    accepts_tasks: bool = True
    # Speed of the worker's tasks relative to the median.
    speed: float = 1.0
    tasks_of_step: Counter[StepKey] = field(default_factory=Counter)
    serving_tasks: int = 0
    filler_tasks: int = 0

    @property
    def free_cpu(self) -> int:
        """Return the CPU not reserved by tasks, in 1/1000 cores."""
        return self.info.capacity.cpu - self.used_cpu

    def fits(self, size: Size) -> bool:
        """Return whether a task of this size fits into the free capacity."""
        capacity = self.info.capacity
        return (
            self.used_cpu + size.cpu <= capacity.cpu
            and self.used_memory_mb + size.memory_mb <= capacity.memory_mb
            and self.used_gpus + size.gpus <= capacity.gpus
        )

    def reserve(self, task: Task) -> None:
        """Reserve capacity for a task."""
        self._adjust_reserved(task, 1)

    def release(self, task: Task) -> None:
        """Release the capacity reserved for a task."""
        self._adjust_reserved(task, -1)

    def _adjust_reserved(self, task: Task, sign: int) -> None:
        size = task.step.size
        self.used_cpu += sign * size.cpu
        self.used_memory_mb += sign * size.memory_mb
        self.used_gpus += sign * size.gpus
        self.tasks_of_step[task.task_id[:3]] += sign
        if task.step.is_filler:
            self.filler_tasks += sign
        elif task.step.target_ms:
            self.serving_tasks += sign


def rank_job(job: Job, queue: Queue | None, now_ms: int, path: ExpectedPath) -> JobRank:
    """Return the job's rank in the placement order; the lowest rank goes first.

    Long-running jobs go first, because their availability is measured from submission.
    Then come jobs that can still be on time, by urgency and slack, then those that can
    still be late but of value, then the others. Of the jobs that can be on time, those
    that have begun go first: under overload, each would otherwise be passed by others
    of less slack between its steps, and all would be late. `now_ms` is a time of this
    process's clock.
    """
    if queue is None:
        return (TOO_LATE, 0, False, job.arrived_ms)
    if job.is_long_running:
        return (ON_TIME, queue.urgency, False, job.arrived_ms)
    path_ms, remaining_ms = path
    objective_ms = queue.stretch * path_ms + queue.target_latency_ms
    slack_ms = job.arrived_ms + objective_ms - now_ms - remaining_ms
    if slack_ms >= 0:
        return (ON_TIME, queue.urgency + 1, job.phase is JobPhase.QUEUED, slack_ms)
    late_slack_ms = slack_ms + (LATE_FACTOR - 1) * objective_ms
    if late_slack_ms >= 0:
        return (LATE, queue.urgency, False, remaining_ms)
    return (TOO_LATE, queue.urgency, False, job.arrived_ms)


def choose_task_worker(
    workers: Iterable[WorkerCapacity], task: Task
) -> WorkerCapacity | None:
    """Return the worker for a task, or None if it fits on none.

    Short tasks go to the fullest worker that they fit on (best fit), so that other
    workers stay empty and can be moved. Long-running tasks are spread over two workers,
    so that the loss of one stops only half of them.
    """
    step = task.step
    size = step.size
    key = task.task_id[:3]
    best: WorkerCapacity | None = None
    best_score: tuple[float, ...] = ()
    for worker in workers:
        if not worker.accepts_tasks or not worker.fits(size):
            continue
        if step.requirement and step.requirement not in worker.info.labels:
            continue
        if step.max_per_host and worker.tasks_of_step[key] >= step.max_per_host:
            continue
        score = _score_worker(worker, task, key)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def is_still_best_worker(worker: WorkerCapacity, task: Task) -> bool:
    """Return whether the worker chosen for the step's last task suits this one best.

    Short tasks go to the fullest worker that they fit on. A worker that was just given
    such a task remains the fullest one as long as the next task fits and no placement
    rule of the step applies.
    """
    step = task.step
    if step.is_long_running or step.is_filler or step.max_per_host or task.failed_on:
        return False
    return worker.fits(step.size)


def _score_worker(
    worker: WorkerCapacity, task: Task, key: StepKey
) -> tuple[float, ...]:
    step = task.step
    has_failed = worker.info.worker_id in task.failed_on
    is_far = bool(step.data_rack) and worker.info.rack != step.data_rack
    is_slow = worker.speed < SLOW_SPEED
    if step.is_filler:
        return (has_failed, is_slow, is_far, worker.serving_tasks, worker.filler_tasks)
    if step.is_long_running:
        # Avoids placing more than half of a step on one worker. Within that limit,
        # tasks go to the fullest workers, so that the others stay free to move.
        is_crowded = worker.tasks_of_step[key] >= (step.count + 1) // 2
        return (has_failed, is_slow, is_far, is_crowded, worker.free_cpu)
    return (has_failed, is_slow, is_far, worker.free_cpu)


def place_gang(
    workers: Iterable[WorkerCapacity], step: StepOccurrence
) -> list[tuple[Task, WorkerCapacity]] | None:
    """Return a worker for each task of a gang, or None unless all fit at once.

    A step with `is_single_rack` is placed in one rack if possible.
    """
    open_workers = [worker for worker in workers if worker.accepts_tasks]
    if not step.spec.is_single_rack:
        return _place_all(open_workers, step)
    racks = {worker.info.rack for worker in open_workers}
    for rack in sorted(racks):
        inside = [worker for worker in open_workers if worker.info.rack == rack]
        placed = _place_all(inside, step)
        if placed is not None:
            return placed
    return _place_all(open_workers, step)


def _place_all(
    workers: list[WorkerCapacity], step: StepOccurrence
) -> list[tuple[Task, WorkerCapacity]] | None:
    placed: list[tuple[Task, WorkerCapacity]] = []
    for task in step.tasks:
        worker = choose_task_worker(workers, task)
        if worker is None:
            break
        worker.reserve(task)
        placed.append((task, worker))
    for task, worker in placed:
        worker.release(task)
    return placed if len(placed) == len(step.tasks) else None
