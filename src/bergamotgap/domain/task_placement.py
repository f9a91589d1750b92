"""Decides the order of jobs and the worker for each task; performs no I/O."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.fleet import (
    NO_SIZE,
    JobPhase,
    Queue,
    Size,
    StepSpec,
    WorkerInfo,
)
from bergamotgap.domain.job_paths import ExpectedPath
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.task_state import Task
from bergamotgap.domain.worker_speeds import SLOW_SPEED

StepKey = tuple[str, int, int]
# Lateness, urgency, whether the job has not begun, and a time in ms.
JobRank = tuple[int, int, bool, float]
# Work that ends within this multiple of its latency objective still has some value.
LATE_FACTOR = 3
# First element of a rank: the job is long-running or can be on time, can still end late
# but with some value, or can only end too late to be of value.
ON_TIME, LATE, TOO_LATE = 0, 1, 2
# Number of tasks that fit on a worker if they reserve nothing.
NO_SIZE_COUNT = 1_000_000


@dataclass
class WorkerCapacity:
    """Used and free capacity of a worker.

    `accepts_tasks` tells whether the worker takes new work. `serving_tasks` counts its
    tasks with a latency target, `filler_tasks` its fillers. `maintenance_in_ms` is the
    expected time until the maintenance of its host, if one is to come; until then only
    tasks of at most `longest_task_ms` start there.
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
    # Tasks that keep memory or accelerators until they are cancelled, and their sizes.
    lasting_tasks: int = 0
    lasting: Amount = NOTHING
    maintenance_in_ms: int | None = None
    longest_task_ms: int = 0

    @property
    def free_cpu(self) -> int:
        """Return the CPU not reserved by tasks, in 1/1000 cores."""
        return self.info.capacity.cpu - self.used_cpu

    @property
    def free(self) -> Size:
        """Return what tasks don't reserve; negative above a capacity that shrank."""
        capacity = self.info.capacity
        return Size(
            capacity.cpu - self.used_cpu,
            capacity.memory_mb - self.used_memory_mb,
            capacity.gpus - self.used_gpus,
        )

    @property
    def used(self) -> Amount:
        """Return what tasks reserve."""
        return Amount(self.used_cpu, self.used_memory_mb, self.used_gpus)

    @property
    def room_beside_lasting(self) -> Amount:
        """Return the capacity that lasting tasks leave once short ones end."""
        return Amount(*self.info.capacity) - self.lasting

    def fits(self, size: Size) -> bool:
        """Return whether a task of this size fits into the free capacity."""
        capacity = self.info.capacity
        return (
            self.used_cpu + size.cpu <= capacity.cpu
            and self.used_memory_mb + size.memory_mb <= capacity.memory_mb
            and self.used_gpus + size.gpus <= capacity.gpus
        )

    def has_time(self, step: StepSpec) -> bool:
        """Return whether a task can end before the maintenance of the host must begin.

        Long-running tasks never end, so their place is a matter of preference only.
        """
        if self.maintenance_in_ms is None or step.is_long_running:
            return True
        return step.estimated_ms <= self.longest_task_ms

    def find_barrier(self, task: Task) -> str:
        """Return why a task must not start here, whatever room there is; else empty."""
        step = task.step
        if step.requirement and step.requirement not in self.info.labels:
            return f"missing_label {step.requirement}"
        if not self.has_time(step):
            return "due_for_maintenance"
        if step.max_per_host and (
            self.tasks_of_step[task.task_id[:3]] >= step.max_per_host
        ):
            return "max_per_host"
        return "" if self.accepts_tasks else "not_accepting"

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
        key = task.task_id[:3]
        self.tasks_of_step[key] += sign
        if not self.tasks_of_step[key]:
            del self.tasks_of_step[key]
        if task.step.is_filler:
            self.filler_tasks += sign
        elif task.step.target_ms:
            self.serving_tasks += sign
        if task.step.is_lasting:
            self.lasting_tasks += sign
            self.lasting += Amount(*size).scale(sign)


def copy_capacity(worker: WorkerCapacity) -> WorkerCapacity:
    """Return a copy on which placement can be tried."""
    return replace(worker, tasks_of_step=Counter(worker.tasks_of_step))


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
    """Return the worker for a task, or None if it can start on none.

    What may start where is decided here only; `find_obstacle` tells why not.
    Short tasks go to the worker whose remaining room is of the least use (best fit), so
    that other workers stay empty and can be moved. Long-running tasks are spread over
    two workers, so that the loss of one stops only half of them. They go to workers
    without maintenance to come if they can, and short tasks to those where they can end
    before.
    """
    step = task.step
    size = step.size
    key = task.task_id[:3]
    best: WorkerCapacity | None = None
    best_score: tuple[float, ...] = ()
    cpu, memory_mb, gpus = size
    for worker in workers:
        # Most workers are full when work waits, so the room is compared without calls.
        capacity = worker.info.capacity
        if (
            worker.used_cpu + cpu > capacity.cpu
            or worker.used_memory_mb + memory_mb > capacity.memory_mb
            or worker.used_gpus + gpus > capacity.gpus
        ):
            continue
        if worker.find_barrier(task):
            continue
        score = _score_worker(worker, task, key, size)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def is_still_best_worker(worker: WorkerCapacity, task: Task) -> bool:
    """Return whether the worker chosen for the step's last task suits this one best.

    The worker was just given a task of the same size, which changed no other worker. So
    it remains the best one if the next task fits, its rating has not become worse, and
    no placement rule of the step applies.
    """
    step = task.step
    if step.is_long_running or step.is_filler or step.max_per_host or task.failed_on:
        return False
    size = step.size
    if not worker.fits(size):
        return False
    if not (size.memory_mb or size.gpus):
        return True
    return rate_room_left(worker, size) <= rate_room_left(worker, size, size)


def rate_room_left(worker: WorkerCapacity, size: Size, ended: Size = NO_SIZE) -> float:
    """Return how useful a worker's room is after a start; the least goes first.

    The rating is the free share of the scarcest dimension, plus how much the start adds
    to the difference between the dimensions. So room that is left in only some of the
    dimensions is avoided, and existing differences are evened out. For a task that
    reserves only cores, it is the number of free cores. `ended` is added to the room.
    """
    free_cpu = worker.info.capacity.cpu - worker.used_cpu + ended.cpu
    if not (size.memory_mb or size.gpus):
        return free_cpu
    capacity = worker.info.capacity
    free_memory_mb = capacity.memory_mb - worker.used_memory_mb + ended.memory_mb
    whole_cpu, whole_memory_mb = capacity.cpu or 1, capacity.memory_mb or 1
    cpu, memory = free_cpu / whole_cpu, free_memory_mb / whole_memory_mb
    cpu_left = cpu - size.cpu / whole_cpu
    memory_left = memory - size.memory_mb / whole_memory_mb
    least = cpu_left if cpu_left < memory_left else memory_left
    if not capacity.gpus:
        return least + abs(cpu_left - memory_left) - abs(cpu - memory)
    gpus = (capacity.gpus - worker.used_gpus + ended.gpus) / capacity.gpus
    left = (cpu_left, memory_left, gpus - size.gpus / capacity.gpus)
    free = (cpu, memory, gpus)
    return min(left) + (max(left) - min(left)) - (max(free) - min(free))


def count_fitting(room: Size | Amount, size: Size) -> int:
    """Return how many tasks of a size fit whole into a worker's room."""
    counts = [int(room.cpu // size.cpu)] if size.cpu else []
    if size.memory_mb:
        counts.append(int(room.memory_mb // size.memory_mb))
    if size.gpus:
        counts.append(int(room.gpus // size.gpus))
    return max(0, min(counts, default=NO_SIZE_COUNT))


def _score_worker(
    worker: WorkerCapacity, task: Task, key: StepKey, size: Size
) -> tuple[float, ...]:
    step = task.step
    has_failed = worker.info.worker_id in task.failed_on
    is_far = bool(step.data_rack) and worker.info.rack != step.data_rack
    is_slow = worker.speed < SLOW_SPEED
    due_ms = worker.maintenance_in_ms
    if step.is_filler:
        return (has_failed, is_slow, is_far, worker.serving_tasks, worker.filler_tasks)
    if step.is_long_running:
        # Avoids placing more than half of a step on one worker. Within that limit,
        # tasks go to the fullest workers, so that the others stay free to move.
        is_crowded = worker.tasks_of_step[key] >= (step.count + 1) // 2
        is_due = due_ms is not None
        preference = (has_failed, is_due, is_slow, is_far, is_crowded)
        if not step.is_lasting:
            return (*preference, worker.free_cpu)
        # A worker keeps its host in the pool while it has a lasting task, so as few
        # workers as possible get any.
        if worker.lasting_tasks:
            return (*preference, False, rate_room_left(worker, size))
        return (*preference, True, -count_fitting(worker.free, size))
    is_due = due_ms is not None and step.estimated_ms > due_ms
    return (has_failed, is_slow, is_far, is_due, rate_room_left(worker, size))


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
