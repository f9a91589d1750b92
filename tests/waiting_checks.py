"""What must hold for a pool at any time, and what may not last in calm."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.fleet import TaskId, WorkerInfo, WorkerState, sum_sizes
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.task_placement import (
    StepKey,
    choose_task_worker,
    place_gang,
)
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.worker_link import WorkerLink
from stand_ins.pool_workers import FakeWorker

# Tells whether the policy of the advice service lets a step run on a host.
Allows = Callable[[StepKey, str], bool]


def check_room(pool: Pool) -> Iterator[str]:
    """Yield where the owner's room, its runs and its tasks disagree."""
    links = pool.run_tracker.links
    for link in links.values():
        sizes = [live.task.step.size for live in link.runs.values()]
        steps = Counter(live.task.task_id[:3] for live in link.runs.values())
        if link.capacity.used != Amount(*sum_sizes(*sizes)):
            yield f"room without a run: {link.worker_id} {link.runs}"
        if +link.capacity.tasks_of_step != steps:
            yield f"tasks of a step counted wrongly: {link.worker_id} {link.runs}"
    for job in pool.job_table.jobs.values():
        for task in [] if job.phase.is_final else job.list_tasks():
            if task.is_active and not _is_on_link(task, links.get(task.worker_id)):
                yield f"active without a run: {task}"


def _is_on_link(task: Task, link: WorkerLink | None) -> bool:
    live = link.runs.get(task.task_id) if link else None
    return live is not None and live.task is task and live.run == task.run


def list_startable(
    pool: Pool, now_ms: int, cancelled: set[str], allows: Allows | None
) -> Iterator[tuple[Task, str]]:
    """Yield the waiting tasks that fit with twice their size, and a worker for each.

    Reservations for trials don't count. Short tasks may wait while others use half of
    the pool, or while another task of their job runs.
    """
    links = pool.run_tracker.list_usable_links(now_ms)
    is_half_full = _is_half_full(links)
    for job in pool.job_table.jobs.values():
        if job.phase.is_final or job.job_id in cancelled:
            continue
        may_wait = is_half_full or any(task.is_active for task in job.list_tasks())
        for step in job.list_ready_steps():
            waiting = [t for t in step.tasks if t.phase is TaskPhase.WAITING]
            if not waiting or (may_wait and not step.spec.is_long_running):
                continue
            worker = _find_room(job, step, links, allows)
            if worker:
                yield from ((task, worker) for task in waiting)


def _is_half_full(links: Sequence[WorkerLink]) -> bool:
    """Return whether half of a resource of the usable workers is in use."""
    whole = sum_sizes(*(link.info.capacity for link in links))
    free = sum_sizes(*(link.capacity.free for link in links))
    return any(2 * left <= size for left, size in zip(free, whole, strict=True) if size)


def _find_room(
    job: Job, step: StepOccurrence, links: Sequence[WorkerLink], allows: Allows | None
) -> str:
    key = (job.job_id, step.occurrence, step.number)
    capacities = [
        link.capacity for link in links if allows is None or allows(key, link.info.host)
    ]
    spec = msgspec.structs.replace(
        step.spec, cpu=2 * step.spec.cpu, memory_mb=2 * step.spec.memory_mb
    )
    doubled = StepOccurrence(*key, spec)
    if spec.is_gang:
        placed = place_gang(capacities, doubled) or []
        return ",".join(capacity.info.worker_id for _, capacity in placed)
    capacity = choose_task_worker(capacities, doubled.tasks[0])
    return capacity.info.worker_id if capacity else ""


def list_unusable(
    pool: Pool,
    now_ms: int,
    infos: Mapping[str, WorkerInfo],
    workers: Mapping[str, FakeWorker],
) -> Iterator[tuple[str, str]]:
    """Yield the workers that are up and get no work, and why."""
    for name, info in infos.items():
        link = pool.run_tracker.links.get(name)
        obstacle = link.get_obstacle(now_ms) if link else "no link"
        is_ready = info.state is WorkerState.READY and not workers[name].is_silent
        if obstacle and is_ready:
            yield name, obstacle


def list_disagreements(
    pool: Pool, workers: Mapping[str, FakeWorker]
) -> Iterator[tuple[str, str]]:
    """Yield the runs that only the owner or only a worker has, and the worker."""
    for name, link in pool.run_tracker.links.items():
        worker = workers[name]
        if worker.is_silent or not link.is_listed:
            continue
        tracked = {(task, live.run) for task, live in link.runs.items()}
        running = {(task, run.order.run) for task, run in worker.running.items()}
        for task, number in sorted(tracked ^ running):
            yield f"{task} run {number}", name


def check_overlaps(workers: Mapping[str, FakeWorker], now_s: float) -> Iterator[str]:
    """Yield what is wrong with each task that had two runs at once."""
    for _, problem in list_overlaps(workers, now_s):
        yield problem


def list_overlaps(
    workers: Mapping[str, FakeWorker], now_s: float
) -> Iterator[tuple[TaskId, str]]:
    """Yield the tasks that had two runs at once, and the runs."""
    runs: dict[TaskId, list[tuple[float, float, str]]] = {}
    for name, worker in workers.items():
        worker.end_due_runs()
        at_work = [(task, run.start_s, now_s) for task, run in worker.running.items()]
        for task, start_s, end_s in [*worker.run_intervals, *at_work]:
            runs.setdefault(task, []).append((start_s, end_s, name))
    for task, intervals in runs.items():
        for former, later in itertools.pairwise(sorted(intervals)):
            if later[0] < former[1] - 1e-6:
                yield task, f"two runs at once: {task} {former} {later}"
