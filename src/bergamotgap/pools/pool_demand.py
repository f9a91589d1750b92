"""What a pool needs and can give away, for the host controller."""

import math
from collections import Counter

from bergamotgap.domain.job_state import Job, Task, TaskPhase
from bergamotgap.domain.pool_sizes import IdleHost
from bergamotgap.domain.task_placement import LATE, ON_TIME
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
# Jobs that wait for a trial per worker that the pool asks for. A trial that ends with a
# crash takes its worker about three seconds.
TRIALS_PER_WORKER = 4


def measure_demand(
    job_table: JobTable, run_tracker: RunTracker, now_ms: int
) -> DemandReply:
    """Return the cores that tasks need, and the idle workers.

    Of work that can only end too late to be of value, `WORTHLESS_SHARE` counts.
    """
    links = run_tracker.list_usable_links(now_ms)
    waiting_ms = late_ms = 0.0
    for job in job_table.pending.values():
        lateness = run_tracker.rank_job(job, now_ms)[0]
        if lateness == ON_TIME:
            waiting_ms += _measure_waiting_work(job, run_tracker)
        else:
            share = 1.0 if lateness == LATE else WORTHLESS_SHARE
            late_ms += share * _measure_waiting_work(job, run_tracker)
    late_runs = _list_late_runs(links, job_table, run_tracker, now_ms)
    late_counts = Counter(link.worker_id for link, _ in late_runs)
    idle = tuple(
        IdleHost(
            link.info.host,
            link.worker_id,
            link.info.capacity.cpu,
            now_ms - link.idle_since_ms,
            link.info.labels,
        )
        for link in links
        if link.is_empty and not link.trial_job
    )
    return DemandReply(
        used_cpu=sum(link.capacity.used_cpu for link in links),
        waiting_ms=waiting_ms,
        offered_cpu=job_table.offered_load.estimate(now_ms),
        capacity_cpu=sum(link.info.capacity.cpu for link in links),
        workers=len(links),
        idle=idle,
        late_ms=late_ms,
        late_cpu=sum(live.task.step.size.cpu for _, live in late_runs),
        late=tuple(
            IdleHost(link.info.host, link.worker_id, link.info.capacity.cpu, 0)
            for link in links
            if link.runs and len(link.runs) == late_counts[link.worker_id]
        ),
        least_workers=_count_workers_needed(job_table, links),
        labels=_list_missing_labels(job_table, links),
    )


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


def _count_workers_needed(job_table: JobTable, links: list[WorkerLink]) -> int:
    """Return how many workers the spread of tasks and their trials need."""
    needed = _count_workers_to_spread(job_table)
    if any(link.is_empty and not link.trial_job for link in links):
        return needed
    waiting = sum(job.is_waiting_for_trial() for job in job_table.pending.values())
    return max(needed, len(links) + math.ceil(waiting / TRIALS_PER_WORKER))


def _count_workers_to_spread(job_table: JobTable) -> int:
    """Return how many workers long-running tasks need to be spread over."""
    return max(
        (
            math.ceil(step.spec.count / step.spec.max_per_host)
            for job in job_table.pending.values()
            if job.is_long_running
            for step in job.list_ready_steps()
            if step.spec.max_per_host
        ),
        default=0,
    )


def _list_missing_labels(
    job_table: JobTable, links: list[WorkerLink]
) -> tuple[str, ...]:
    """Return the labels that waiting tasks require and no usable worker has."""
    wanted = {
        step.spec.requirement
        for job in job_table.pending.values()
        for step in job.list_ready_steps()
        if step.spec.requirement
    }
    for link in links:
        wanted -= link.info.labels
    return tuple(sorted(wanted))


def _measure_waiting_work(job: Job, run_tracker: RunTracker) -> float:
    """Return the work of a job's waiting tasks, in 1/1000 core-ms."""
    work = 0.0
    for step in job.list_ready_steps():
        waiting = sum(task.phase is TaskPhase.WAITING for task in step.tasks)
        expected_ms = run_tracker.estimates.expect_ms(job.spec.queue, step.spec)
        work += waiting * step.spec.size.cpu * max(MIN_RUN_ESTIMATE_MS, expected_ms)
    return work
