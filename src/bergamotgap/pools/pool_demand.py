"""What a pool needs and can give away, for the host controller."""

import math
import sys
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from bergamotgap.domain.amounts import Amount, measure_work, total
from bergamotgap.domain.fleet import Size, StepSpec
from bergamotgap.domain.host_needs import (
    RoomSearch,
    WaitingGroup,
    leave_long_running,
    search_room,
    search_trials,
)
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.pool_room import (
    WaitingTasks,
    count_whole_hosts,
    measure_stranded_room,
)
from bergamotgap.domain.pool_sizes import BACKLOG_CLEAR_MS, IdleHost
from bergamotgap.domain.task_placement import (
    ON_TIME,
    TOO_LATE,
    WorkerCapacity,
    count_fitting,
)
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.customer_usage import StartableWork
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.pool_peer import DemandReply

# Shortest time that a task holds its capacity, orders and polls included. It is also
# the estimate for long-running tasks, which declare no run time.
MIN_RUN_ESTIMATE_MS = 300
# Share of the work that can only end too late to be of value that a pool's demand
# includes. It is above 0 so that such work still ends at some time.
WORTHLESS_SHARE = 0.1
# A task of a younger job gets no host of its own if it will fit once other runs end.
FRAGMENT_WAIT_MS = 300
# Jobs that wait for a trial per worker that the pool asks for. A trial that ends with a
# crash takes its worker about three seconds.
TRIALS_PER_WORKER = 4


def measure_demand(
    job_table: JobTable, run_tracker: RunTracker, now_ms: int, startable: StartableWork
) -> DemandReply:
    """Return the resources that tasks need, and the idle workers.

    Excess work counts as late, since it yields to the on-time work of other pools too.
    Of work that can only end too late to be of value, `WORTHLESS_SHARE` counts.
    `startable` leaves out what caps of customers hold back; the use of these customers
    counts in place of their offered load.
    """
    links = run_tracker.list_usable_links(now_ms)
    waiting_work = late_work = Amount()
    waiting: list[WaitingStep] = []
    for job in startable.jobs:
        lateness = run_tracker.rank_job(job, now_ms)[0]
        is_on_time = lateness == ON_TIME and not job.spec.is_excess
        limit = startable.tasks.get(job.job_id)
        work = _measure_waiting_work(job, run_tracker, limit)
        share = WORTHLESS_SHARE if lateness == TOO_LATE else 1.0
        if is_on_time:
            waiting_work += work
        else:
            late_work += work.scale(share)
        is_overdue = is_on_time and now_ms - job.arrived_ms >= FRAGMENT_WAIT_MS
        waiting += _list_waiting_steps(job, run_tracker, limit, share, is_overdue)
    late_runs = _list_late_runs(links, job_table, run_tracker, now_ms)
    used = total([link.capacity.used for link in links])
    lasting = total([link.capacity.lasting for link in links])
    offered = job_table.offered_load.estimate(now_ms, startable.held_back)
    offered += startable.held_back_use
    shape = offered.join(used - lasting) + waiting_work.divide(BACKLOG_CLEAR_MS)
    search, whole_hosts, whole_size = _search_hosts(
        startable, run_tracker, waiting, links
    )
    return DemandReply(
        used=used - lasting,
        waiting_work=waiting_work,
        offered=offered,
        capacity=total([Amount(*link.info.capacity) for link in links]),
        workers=len(links),
        idle=_list_idle_hosts(links, now_ms, search.workers),
        late_work=late_work,
        late_used=total([Amount(*live.task.step.size) for _, live in late_runs]),
        late=_list_late_hosts(links, late_runs),
        least_workers=_count_workers_to_keep(links),
        lasting=lasting + _measure_stranded_room(waiting, links, shape),
        lasting_waiting=total(
            [
                Amount(*step.spec.size).scale(step.tasks)
                for step in waiting
                if step.spec.is_lasting
            ]
        )
        - search.lacking,
        whole_hosts=whole_hosts,
        whole_size=whole_size,
        needs=search.needs,
    )


def _list_idle_hosts(
    links: list[WorkerLink], now_ms: int, taken: Collection[str]
) -> tuple[IdleHost, ...]:
    """Return the idle workers, without those that waiting tasks will take."""
    return tuple(
        IdleHost(
            link.info.host,
            link.worker_id,
            link.info.capacity,
            now_ms - link.idle_since_ms,
            link.info.labels,
        )
        for link in links
        if _is_empty(link) and link.worker_id not in taken
    )


def _search_hosts(
    startable: StartableWork,
    run_tracker: RunTracker,
    waiting: list["WaitingStep"],
    links: list[WorkerLink],
) -> tuple[RoomSearch, int, Size]:
    """Return the hosts for tasks that can start nowhere, and the whole hosts."""
    capacities = {link.info.capacity for link in links}
    groups = _list_groups(startable, run_tracker, capacities)
    is_search_needed = groups or any(step.spec.is_lasting for step in waiting)
    workers = _leave_long_running(links) if is_search_needed else []
    search = search_room(groups, workers, _find_largest(links))
    trials = _search_trials(startable.jobs, links)
    search = search._replace(
        needs=search.needs + trials.needs, workers=search.workers | trials.workers
    )
    return search, *_count_whole_hosts(waiting, links, workers)


def _leave_long_running(links: list[WorkerLink]) -> list[WorkerCapacity]:
    """Return what long-running tasks leave of the workers that aren't in a trial.

    Empty workers go last, so that as few of them as possible are kept.
    """
    free = [link for link in links if not link.trial_job]
    return [
        leave_long_running(link.capacity, (live.task for live in link.runs.values()))
        for link in sorted(free, key=lambda link: link.is_empty)
    ]


def _find_largest(links: list[WorkerLink]) -> Size | None:
    return max((link.info.capacity for link in links), key=_sort_key, default=None)


def _search_trials(jobs: list[Job], links: list[WorkerLink]) -> RoomSearch:
    """Return the hosts that trials lack for which no empty worker suits."""
    tasks = [task for job in jobs if (task := job.find_trial_task())]
    if not tasks:
        return RoomSearch()
    empty = [leave_long_running(link.capacity, ()) for link in links if _is_empty(link)]
    return search_trials(tasks, empty, TRIALS_PER_WORKER)


def _list_groups(
    startable: StartableWork, run_tracker: RunTracker, capacities: Collection[Size]
) -> list[WaitingGroup]:
    """Return the waiting tasks that need a search, by where they may start.

    Suspected tasks start on other workers, and jobs whose runs aren't all known don't
    start any. Short tasks are searched if they require a label, since no sum includes
    that. `capacities` are those of the pool's workers.
    """
    groups: dict[tuple[object, ...], WaitingGroup] = {}
    for job in startable.jobs:
        has_label = any(spec.requirement for spec in job.spec.steps)
        if not job.is_long_running and not has_label:
            continue
        if not run_tracker.ownership.is_recovered(job):
            continue
        limit = startable.tasks.get(job.job_id)
        for step, count in _count_waiting_tasks(job, limit):
            spec = step.spec
            is_searched = spec.is_long_running or spec.requirement
            is_packed = _is_packed(spec) and _is_any_sufficient(capacities, spec.size)
            if not is_searched or is_packed or step.has_suspects:
                continue
            # One that runs is kept off its worker and can't stand for the others.
            task = next(t for t in step.tasks if t.phase is TaskPhase.WAITING)
            key = task.task_id[:3] if spec.max_per_host else ()
            key = (*key, spec.size, spec.requirement)
            known = groups[key].count if key in groups else 0
            groups[key] = WaitingGroup(task, known + count)
    return list(groups.values())


def _is_packed(step: StepSpec) -> bool:
    """Return whether `count_whole_hosts` packs the waiting tasks of a step."""
    is_plain = not step.requirement and not (step.is_lasting and step.max_per_host)
    return is_plain and bool(step.memory_mb or step.gpus)


def _is_any_sufficient(capacities: Collection[Size], size: Size) -> bool:
    """Return whether an empty worker could hold a task; also if there is no worker."""
    return not capacities or any(count_fitting(whole, size) for whole in capacities)


class WaitingStep(NamedTuple):
    """Tasks of one step that wait and reserve more than cores.

    `running` is how many of them would run at once, `is_overdue` whether they can be on
    time and have waited for FRAGMENT_WAIT_MS.
    """

    spec: StepSpec
    tasks: int
    running: int
    is_overdue: bool


def _list_waiting_steps(
    job: Job,
    run_tracker: RunTracker,
    limit: int | None,
    share: float,
    is_overdue: bool,
) -> list[WaitingStep]:
    """Return the waiting tasks of a job that reserve more than cores, by step.

    At most `limit` tasks are counted.
    """
    waiting = []
    for step, count in _count_waiting_tasks(job, limit):
        spec = step.spec
        if spec.memory_mb or spec.gpus:
            run_ms = _expect_run_ms(job, spec, run_tracker)
            running = math.ceil(count * share * min(1, run_ms / BACKLOG_CLEAR_MS))
            waiting.append(WaitingStep(spec, count, running, is_overdue))
    return waiting


def _measure_stranded_room(
    waiting: list[WaitingStep], links: list[WorkerLink], shape: Amount
) -> Amount:
    """Return the room beside lasting tasks that short tasks can't use."""
    sizes = [step.spec.size for step in waiting if not step.spec.is_lasting]
    rooms = [
        link.capacity.room_beside_lasting
        for link in links
        if link.capacity.lasting_tasks
    ]
    return measure_stranded_room(rooms, shape, min(sizes, key=_sort_key, default=None))


def _count_whole_hosts(
    waiting: list[WaitingStep],
    links: list[WorkerLink],
    workers: Sequence[WorkerCapacity],
) -> tuple[int, Size]:
    """Return how many hosts the waiting tasks fill that fit on no worker.

    `workers` is what long-running tasks leave, those included whose room was searched,
    if it is known. Short tasks alone are packed beside lasting ones.
    """
    host = _find_largest(links)
    if not waiting or host is None:
        return 0, Size()
    waiting = [step for step in waiting if _is_packed(step.spec)]
    lasting, short = [], []
    for step in waiting:
        size = step.spec.size
        if step.spec.is_lasting:
            lasting.append(WaitingTasks(size, step.tasks))
        else:
            short.append(WaitingTasks(size, step.running))
    rooms = [Amount(*worker.free) for worker in workers] or [
        link.capacity.room_beside_lasting for link in links if not link.trial_job
    ]
    hosts, largest = count_whole_hosts(lasting, short, rooms, host)
    if hosts:
        return hosts, largest
    capacities = [link.capacity for link in links]
    for step in waiting:
        size = step.spec.size
        is_short = step.is_overdue and not step.spec.is_lasting
        if is_short and not any(capacity.fits(size) for capacity in capacities):
            return (1, size) if count_fitting(host, size) else (0, Size())
    return 0, Size()


def _sort_key(size: Size) -> tuple[int, int, int]:
    return (size.memory_mb, size.gpus, size.cpu)


def _list_late_runs(
    links: list[WorkerLink],
    job_table: JobTable,
    run_tracker: RunTracker,
    now_ms: int,
) -> list[tuple[WorkerLink, LiveRun]]:
    """Return the runs of jobs that can't be on time any more."""
    late_jobs: dict[str, bool] = {}
    runs = []
    for link in links:
        for live in link.runs.values():
            job_id = live.task.task_id.job
            if job_id not in late_jobs:
                late_jobs[job_id] = is_task_late(
                    live.task, job_table, run_tracker, now_ms
                )
            if late_jobs[job_id]:
                runs.append((link, live))
    return runs


def _list_late_hosts(
    links: list[WorkerLink], late_runs: list[tuple[WorkerLink, LiveRun]]
) -> tuple[IdleHost, ...]:
    """Return the hosts that run only work which can't be on time any more."""
    counts = Counter(link.worker_id for link, _ in late_runs)
    return tuple(
        IdleHost(link.info.host, link.worker_id, link.info.capacity, 0)
        for link in links
        if link.runs and len(link.runs) == counts[link.worker_id]
    )


def is_task_late(
    task: Task, job_table: JobTable, run_tracker: RunTracker, now_ms: int
) -> bool:
    """Return whether the job of a running task can't be on time any more."""
    job = job_table.jobs.get(task.task_id.job)
    if job is None or job.is_long_running:
        return False
    if job.job_id not in job_table.pending:
        # All tasks of the job are running, and the work that they have done since their
        # start is not in the expected path. What it leaves out can be less, if a run is
        # overdue.
        return run_tracker.rank_running_job(job, now_ms)[0] > ON_TIME
    return run_tracker.rank_job(job, now_ms)[0] > ON_TIME


def _count_workers_to_keep(links: list[WorkerLink]) -> int:
    """Return how many workers the pool keeps: all, unless one is empty."""
    return 0 if any(_is_empty(link) for link in links) else len(links)


def _is_empty(link: WorkerLink) -> bool:
    return link.is_empty and not link.trial_job


def _measure_waiting_work(
    job: Job, run_tracker: RunTracker, limit: int | None
) -> Amount:
    """Return the work of a job's waiting tasks that don't last, as an amount in ms.

    At most `limit` tasks are counted.
    """
    work = Amount()
    for step, count in _count_waiting_tasks(job, limit):
        if not step.spec.is_lasting:
            run_ms = _expect_run_ms(job, step.spec, run_tracker)
            work += measure_work(step.spec.size, run_ms, count)
    return work


def _expect_run_ms(job: Job, step: StepSpec, run_tracker: RunTracker) -> float:
    expected_ms = run_tracker.estimates.expect_ms(job.spec.queue, step)
    return max(MIN_RUN_ESTIMATE_MS, expected_ms)


def _count_waiting_tasks(
    job: Job, limit: int | None
) -> Iterator[tuple[StepOccurrence, int]]:
    """Return the ready steps with waiting tasks, at most `limit` tasks in all."""
    left = sys.maxsize if limit is None else limit
    for step in job.list_ready_steps():
        count = min(left, step.waiting_tasks)
        left -= count
        if count:
            yield step, count
