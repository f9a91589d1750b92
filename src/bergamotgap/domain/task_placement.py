"""Which job goes first, and which worker takes a task; pure decisions."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import Queue, Size, WorkerInfo
from bergamotgap.domain.job_state import Job, StepRun, Task

StepKey = tuple[str, int, int]
# Work that ends within this multiple of its objective still earns something.
LATE_FACTOR = 3
# First part of a rank: the job can be in time or lasts, can be late, earns nothing.
ON_TIME, LATE, WORTHLESS = 0, 1, 2


@dataclass
class WorkerCapacity:
    """What a worker has left; `is_open` tells whether it takes new work."""

    info: WorkerInfo
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpus: int = 0
    accepts_tasks: bool = True
    # Share of the median speed at which the worker's tasks advance.
    speed: float = 1.0
    tasks_of_step: Counter[StepKey] = field(default_factory=Counter)
    serving_tasks: int = 0
    filler_tasks: int = 0

    @property
    def free_cpu(self) -> int:
        """Return 1/1000 cores that no task holds."""
        return self.info.capacity.cpu - self.used_cpu

    def fits(self, size: Size) -> bool:
        """Tell whether a task of this size has room."""
        capacity = self.info.capacity
        return (
            self.used_cpu + size.cpu <= capacity.cpu
            and self.used_memory_mb + size.memory_mb <= capacity.memory_mb
            and self.used_gpus + size.gpus <= capacity.gpus
        )

    def reserve(self, task: Task) -> None:
        """Hold room for a task."""
        self._change(task, 1)

    def release(self, task: Task) -> None:
        """Give a task's room back."""
        self._change(task, -1)

    def _change(self, task: Task, sign: int) -> None:
        size = task.step.size
        self.used_cpu += sign * size.cpu
        self.used_memory_mb += sign * size.memory_mb
        self.used_gpus += sign * size.gpus
        self.tasks_of_step[task.task_id[:3]] += sign
        if task.step.is_filler:
            self.filler_tasks += sign
        elif task.step.target_ms:
            self.serving_tasks += sign


def rank_job(
    job: Job, queue: Queue | None, now_ms: int, ratio: float
) -> tuple[int, int, float]:
    """Return the job's place in the order of placement; least goes first.

    Lasting jobs go first, since their share of time at work counts from their
    submission. Then come jobs that can still be in time, by urgency and slack, then
    those that can still be late, then the others. `now_ms` is of our own clock, `ratio`
    is that of actual to declared run times.
    """
    if queue is None:
        return (WORTHLESS, 0, job.arrived_ms)
    if job.is_long_running:
        return (ON_TIME, queue.urgency, job.arrived_ms)
    chain_ms = job.critical_path_ms * ratio
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    left_ms = job.remaining_path_ms * ratio
    slack_ms = job.arrived_ms + objective_ms - now_ms - left_ms
    if slack_ms >= 0:
        return (ON_TIME, queue.urgency + 1, slack_ms)
    late_slack_ms = slack_ms + (LATE_FACTOR - 1) * objective_ms
    if late_slack_ms >= 0:
        return (LATE, queue.urgency, left_ms)
    return (WORTHLESS, queue.urgency, job.arrived_ms)


def choose_task_worker(
    rooms: Iterable[WorkerCapacity], task: Task
) -> WorkerCapacity | None:
    """Return the worker for a task, or None if none has room.

    Short tasks fill the fullest worker that fits, so that others stay empty and can
    move; lasting tasks share two workers, so that the loss of one costs half of them.
    """
    step = task.step
    size = step.size
    key = task.task_id[:3]
    best: WorkerCapacity | None = None
    best_score: tuple[float, ...] = ()
    for room in rooms:
        if not room.accepts_tasks or not room.fits(size):
            continue
        if step.requirement and step.requirement not in room.info.labels:
            continue
        if step.max_per_host and room.tasks_of_step[key] >= step.max_per_host:
            continue
        score = _score_room(room, task, key)
        if best is None or score < best_score:
            best, best_score = room, score
    return best


def is_still_best_worker(room: WorkerCapacity, task: Task) -> bool:
    """Tell whether the worker that the step's last task got is best for this one too.

    A short task fills the fullest worker that fits, which a worker stays that was
    given one, as long as there is room and no rule of the step is in the way.
    """
    step = task.step
    if step.is_long_running or step.is_filler or step.max_per_host or task.failed_on:
        return False
    return room.fits(step.size)


def _score_room(room: WorkerCapacity, task: Task, key: StepKey) -> tuple[float, ...]:
    step = task.step
    has_failed = room.info.worker_id in task.failed_on
    is_far = bool(step.data_rack) and room.info.rack != step.data_rack
    is_slow = room.speed < 0.7
    if step.is_filler:
        return (has_failed, is_slow, is_far, room.serving_tasks, room.filler_tasks)
    if step.is_long_running:
        # Half of a step on one worker at most; the other workers stay free to move.
        is_crowded = room.tasks_of_step[key] >= (step.count + 1) // 2
        return (has_failed, is_slow, is_far, is_crowded, room.free_cpu)
    return (has_failed, is_slow, is_far, room.free_cpu)


def place_gang(
    rooms: Iterable[WorkerCapacity], step: StepRun
) -> list[tuple[Task, WorkerCapacity]] | None:
    """Return a worker for each task of a gang, or None if not all fit at once."""
    open_rooms = [room for room in rooms if room.accepts_tasks]
    if not step.spec.is_single_rack:
        return _place_all(open_rooms, step)
    racks = {room.info.rack for room in open_rooms}
    for rack in sorted(racks):
        inside = [room for room in open_rooms if room.info.rack == rack]
        placed = _place_all(inside, step)
        if placed is not None:
            return placed
    return _place_all(open_rooms, step)


def _place_all(
    rooms: list[WorkerCapacity], step: StepRun
) -> list[tuple[Task, WorkerCapacity]] | None:
    placed: list[tuple[Task, WorkerCapacity]] = []
    for task in step.tasks:
        room = choose_task_worker(rooms, task)
        if room is None:
            break
        room.reserve(task)
        placed.append((task, room))
    for task, room in placed:
        room.release(task)
    return placed if len(placed) == len(step.tasks) else None
