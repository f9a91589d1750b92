"""Explains where a job would go: what a worker lacks, and the answer to operators."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec

from bergamotgap.domain.fleet import Size
from bergamotgap.domain.task_placement import (
    WorkerCapacity,
    choose_task_worker,
    is_still_best_worker,
)
from bergamotgap.domain.task_state import Task

DIMENSIONS = ("cpu", "memory", "gpus")
# Names of workers given for each reason.
MAX_NAMES = 3


class WorkerGroup(msgspec.Struct, frozen=True):
    """Workers that can't get a task for the same reason, some of them by name."""

    reason: str
    count: int
    workers: tuple[str, ...]


class StepExplanation(msgspec.Struct, frozen=True):
    """Where the tasks of a step could start now.

    `waits_for` is why not all `tasks` could, empty if all could. If not `is_ready`, the
    steps in `after` come first, and the rest is what would hold if they were done. Only
    the first `examined` tasks were looked at. Before any of them starts, `eligible`
    workers could take one.
    """

    number: int
    tasks: int
    size: Size
    declared_ms: int
    expected_ms: int
    trust: float
    is_ready: bool
    after: tuple[int, ...]
    examined: int
    could_start: int
    waits_for: str
    workers: dict[str, int]
    eligible: int
    ruled_out: tuple[WorkerGroup, ...]


class CapExplanation(msgspec.Struct, frozen=True):
    """Limit of a customer in a pool, and whether it permits the first step.

    `share` is the part of the cap that may be used here, of which `granted` is held
    beyond the base share, `used_share` the part that is used, and `next_share` what the
    first task or gang takes. Only the job `reserved_for`, if any, may start.
    """

    cap: Size
    used: Size
    used_share: float
    share: float
    granted: float
    next_share: float
    has_permit: bool
    reserved_for: str
    may_start: bool


class CustomerExplanation(msgspec.Struct, frozen=True):
    """A customer's share of the pool by weight, and whether the job would be excess."""

    name: str
    weight: float
    held: float
    share: float
    is_over_share: bool
    is_excess: bool
    cap: CapExplanation | None = None


class AdmissionFigures(msgspec.Struct, frozen=True):
    """Figures of the check for early refusal: times from now in ms, 1/1000 cores."""

    ahead_ms: int
    end_ms: int
    path_ms: int
    on_time_ms: int
    value_ms: int
    room_cpu: int
    arriving_cpu: int
    free_cpu: int


class AdmissionExplanation(msgspec.Struct, frozen=True):
    """Whether a job would be accepted; without figures, it would not be checked."""

    is_accepted: bool
    reason: str
    figures: AdmissionFigures | None = None
    retry_ms: int = 0


class RankExplanation(msgspec.Struct, frozen=True):
    """Place of a job among the pending ones; `ahead_by_class` counts those before."""

    work_class: str
    position: int
    pending: int
    ahead_by_class: dict[str, int]


class FormerRun(msgspec.Struct, frozen=True):
    """A run that may exist and holds a waiting task; `state` is what is known of it.

    `age_ms` is that of the oldest run of the task.
    """

    task: str
    worker: str
    run: int
    state: str
    age_ms: int


class PlacementExplanation(msgspec.Struct, frozen=True):
    """What the owner of a pool would do with a job now.

    `known_phase` is the phase of a job that has the same id, if any. `blocked_by` is
    why the pool places nothing of the job, whatever room there is. Of a job with many
    steps only the first are explained; `other_steps` counts the rest. Waiting tasks of
    a known job can't start before their `former_runs` are gone.
    """

    pool: str
    known_phase: str
    admission: AdmissionExplanation
    customer: CustomerExplanation | None
    rank: RankExplanation
    blocked_by: str
    due_in_ms: int
    steps: tuple[StepExplanation, ...]
    other_steps: int
    former_runs: tuple[FormerRun, ...] = ()


def find_obstacle(worker: WorkerCapacity, task: Task) -> str:
    """Return why a task can't start on a worker; empty if it can.

    What can't change while the worker is up goes first.
    """
    size = task.step.size
    if too_small := _list_lacking(size, worker.info.capacity):
        return f"too_small {too_small}"
    if barrier := worker.find_barrier(task):
        return barrier
    lacking = _list_lacking(size, worker.free)
    return f"no_room {lacking}" if lacking else ""


def _list_lacking(size: Size, room: Size) -> str:
    parts = zip(DIMENSIONS, size, room, strict=True)
    return "+".join(name for name, needed, free in parts if needed > free)


def try_tasks(
    workers: Sequence[WorkerCapacity],
    tasks: Iterable[Task],
    may_start: Callable[[int], bool],
) -> tuple[Counter[str], str]:
    """Return how many tasks each worker would get, and why no more.

    Reserves their capacity on `workers`. `may_start` is asked with the number of tasks
    that have a worker so far.
    """
    placed: Counter[str] = Counter()
    worker: WorkerCapacity | None = None
    for task in tasks:
        if worker is None or not is_still_best_worker(worker, task):
            worker = choose_task_worker(workers, task)
        if worker is None:
            return placed, "no_room"
        if not may_start(placed.total()):
            return placed, "customer_cap"
        worker.reserve(task)
        placed[worker.info.worker_id] += 1
    return placed, ""


def group_workers(obstacles: Iterable[tuple[str, str]]) -> tuple[WorkerGroup, ...]:
    """Return the workers by what rules them out, the most frequent reason first.

    `obstacles` are pairs of reason and worker id.
    """
    names: dict[str, list[str]] = {}
    for reason, worker_id in sorted(obstacles):
        names.setdefault(reason, []).append(worker_id)
    groups = [
        WorkerGroup(reason, len(found), tuple(found[:MAX_NAMES]))
        for reason, found in names.items()
    ]
    return tuple(sorted(groups, key=lambda group: (-group.count, group.reason)))
