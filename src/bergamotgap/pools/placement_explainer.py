"""Explains where a job would go in a pool now; changes nothing and logs nothing."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.customer_caps import measure_fraction, permits_start
from bergamotgap.domain.customer_shares import (
    EXCESS,
    ShareUse,
    classify_work,
    order_jobs,
)
from bergamotgap.domain.fleet import JobSpec, StepSpec, TaskId
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.placement_explanation import (
    AdmissionExplanation,
    CapExplanation,
    CustomerExplanation,
    FormerRun,
    PlacementExplanation,
    RankExplanation,
    StepExplanation,
    find_obstacle,
    group_workers,
    try_tasks,
)
from bergamotgap.domain.task_placement import (
    LATE,
    ON_TIME,
    JobRank,
    WorkerCapacity,
    copy_capacity,
    place_gang,
)
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.admission_check import AdmissionCheck
from bergamotgap.pools.crash_watch import CrashWatch
from bergamotgap.pools.customer_accounts import CustomerAccounts
from bergamotgap.pools.customer_runs import add_size
from bergamotgap.pools.customer_usage import CapState, CustomerUsage
from bergamotgap.pools.former_runs import list_former_runs
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.lasting_room import accepts_held_back
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.task_placer import TaskPlacer
from bergamotgap.pools.worker_link import WorkerLink

# Steps that are explained, and tasks of all of them that are tried. They bound the time
# for which the owner does nothing else.
MAX_STEPS = 32
MAX_EXAMINED = 200
# Former runs of a known job that are named.
MAX_FORMER_RUNS = 20
# Takes the place of the id of a job that the pool knows already.
UNUSED_ID = "explained"
CLASS_NAMES = {ON_TIME: "on_time", LATE: "late", EXCESS: "excess"}


@dataclass(frozen=True)
class PoolParts:
    """The parts of a pool that decide about a job."""

    name: str
    job_table: JobTable
    run_tracker: RunTracker
    customer_accounts: CustomerAccounts
    customer_usage: CustomerUsage
    admission_check: AdmissionCheck
    crash_watch: CrashWatch
    task_placer: TaskPlacer
    clock: Clock


@dataclass
class _Trial:
    """Workers as they would be after the steps that were tried so far.

    `started` are the customer's tasks that have a worker, by step.
    """

    job: Job
    cap: CapState | None
    links: dict[str, WorkerLink]
    obstacles: list[tuple[str, str]]
    capacities: dict[str, WorkerCapacity]
    started: list[tuple[StepSpec, int]]


def explain_placement(
    parts: PoolParts, spec: JobSpec, is_log_lost: bool, is_active: bool
) -> PlacementExplanation:
    """Return what the pool would do with a new job now."""
    now_ms = parts.clock.monotonic_ms()
    known = parts.job_table.jobs.get(spec.job_id)
    if known is not None:
        spec = msgspec.structs.replace(spec, job_id=UNUSED_ID)
    is_excess = parts.customer_accounts.would_exceed(spec)
    job = Job(msgspec.structs.replace(spec, is_excess=is_excess), now_ms)
    usable = parts.run_tracker.list_usable_links(now_ms)
    use = parts.customer_accounts.measure_use(
        parts.run_tracker.links.values(), usable, [spec.customer]
    )
    pending = [*parts.job_table.pending.values(), job]
    ranked = [(parts.run_tracker.rank_job(other, now_ms), other) for other in pending]
    ahead, can_be_late = _list_ahead(ranked, job, use)
    cap = parts.customer_usage.describe_cap(spec.customer)
    due_ms = spec.due_ms(0)
    return PlacementExplanation(
        parts.name,
        known.phase.value if known else "",
        _explain_admission(parts, spec, is_log_lost),
        _explain_customer(parts, job, use, cap),
        _explain_rank(ranked, ahead, use),
        _find_block(parts, bool(usable), can_be_late, is_active, now_ms),
        max(0, due_ms - parts.clock.wall_ms()) if due_ms else 0,
        _explain_steps(parts, job, cap, now_ms),
        max(0, len(spec.steps) - MAX_STEPS),
        _list_former_runs(parts, known),
    )


def _list_former_runs(parts: PoolParts, known: Job | None) -> tuple[FormerRun, ...]:
    if known is None or known.phase.is_final:
        return ()
    tracker = parts.run_tracker
    runs = list_former_runs(known, tracker.links, tracker.possible_runs)
    return tuple(runs[:MAX_FORMER_RUNS])


def _explain_admission(
    parts: PoolParts, spec: JobSpec, is_log_lost: bool
) -> AdmissionExplanation:
    if is_log_lost:
        return AdmissionExplanation(False, "platform_unavailable", None, 1000)
    return parts.admission_check.explain(spec)


def _find_block(
    parts: PoolParts, has_workers: bool, can_be_late: bool, is_active: bool, now_ms: int
) -> str:
    if not is_active or not parts.run_tracker.ownership.can_act():
        return "owner_waits"
    if not has_workers:
        return "no_workers"
    is_paused = now_ms < parts.task_placer.late_work_paused_until_ms
    return "yields" if can_be_late and is_paused else ""


def _list_ahead(
    ranked: Sequence[tuple[JobRank, Job]], job: Job, use: ShareUse | None
) -> tuple[list[Job], bool]:
    """Return the jobs before a job in the order, and whether it can be late."""
    ahead: list[Job] = []
    for can_be_late, other in order_jobs(ranked, use):
        if other is job:
            return ahead, can_be_late
        ahead.append(other)
    return ahead, False


def _explain_rank(
    ranked: Sequence[tuple[JobRank, Job]], ahead: Sequence[Job], use: ShareUse | None
) -> RankExplanation:
    """Return the place of the last of the ranked jobs."""
    classes = {job.job_id: _name_class(job, rank, use) for rank, job in ranked}
    return RankExplanation(
        classes[ranked[-1][1].job_id],
        len(ahead) + 1,
        len(ranked) - 1,
        dict(Counter(classes[job.job_id] for job in ahead)),
    )


def _name_class(job: Job, rank: JobRank, use: ShareUse | None) -> str:
    if use is None:
        return CLASS_NAMES[rank[0]] if rank[0] <= LATE else "too_late"
    return CLASS_NAMES.get(classify_work(job, rank), "too_late")


def _explain_customer(
    parts: PoolParts, job: Job, use: ShareUse | None, cap: CapState | None
) -> CustomerExplanation | None:
    name = job.spec.customer
    if not name or use is None:
        return None
    return CustomerExplanation(
        name,
        parts.customer_accounts.get_weight(name),
        round(use.measure_held(name), 4),
        round(use.measure_share(name), 4),
        use.is_over_share(name),
        job.spec.is_excess,
        _explain_cap(job, cap) if cap else None,
    )


def _explain_cap(job: Job, cap: CapState) -> CapExplanation:
    first = job.spec.steps[0]
    count = first.count if first.is_gang else 1
    needed = [count * part for part in first.size]
    return CapExplanation(
        cap.cap,
        cap.used,
        round(measure_fraction(cap.used, cap.cap), 4),
        round(cap.share, 4),
        round(cap.granted, 4),
        round(measure_fraction(needed, cap.cap), 4),
        cap.has_permit,
        cap.reserved_for,
        _may_start(cap, [], first, count),
    )


def _may_start(
    cap: CapState | None,
    started: Sequence[tuple[StepSpec, int]],
    step: StepSpec,
    count: int,
) -> bool:
    """Return whether the cap permits a task or gang after those that started."""
    if cap is None:
        return True
    used = list(cap.used)
    for other, number in started:
        add_size(used, other.size, number)
    return not cap.reserved_for and permits_start(
        used, step.size, cap.share, cap.cap, count, cap.has_permit
    )


def _explain_steps(
    parts: PoolParts, job: Job, cap: CapState | None, now_ms: int
) -> tuple[StepExplanation, ...]:
    links, obstacles = {}, []
    for link in parts.run_tracker.links.values():
        reason = link.get_obstacle(now_ms)
        if not reason and link.trial_job:
            reason = "reserved_for_trial"
        if reason:
            obstacles.append((reason, link.worker_id))
        else:
            links[link.worker_id] = link

    def build_trial() -> _Trial:
        capacities = {
            name: copy_capacity(link.capacity) for name, link in links.items()
        }
        return _Trial(job, cap, links, obstacles, capacities, [])

    # Steps that are ready share what is free; the others start only later.
    together = build_trial()
    explained: list[StepExplanation] = []
    left = MAX_EXAMINED
    for number, step in enumerate(job.spec.steps[:MAX_STEPS]):
        trial = build_trial() if step.after else together
        explained.append(_explain_step(parts, trial, number, left, now_ms))
        left -= explained[-1].examined
    return tuple(explained)


def _explain_step(
    parts: PoolParts, trial: _Trial, number: int, limit: int, now_ms: int
) -> StepExplanation:
    job = trial.job
    step, queue = job.spec.steps[number], job.spec.queue
    count = min(step.count, limit)
    tasks = [Task(TaskId(job.job_id, 0, number, index), step) for index in range(count)]
    first = Task(TaskId(job.job_id, 0, number, 0), step)
    allowed, rules = _list_allowed(parts, trial, first, now_ms)
    capacities = [trial.capacities[name] for name in allowed]
    # What rules a worker out before this step takes any room.
    obstacles = [
        (reason, name)
        for name in allowed
        if (reason := find_obstacle(trial.capacities[name], first))
    ]
    if step.is_gang and count < step.count:
        placed, waits_for = Counter[str](), ""
    elif step.is_gang:
        placed, waits_for = _try_gang(trial, number, capacities)
    else:
        placed, waits_for = try_tasks(capacities, tasks, _limit_starts(trial, step))
    trial.started.append((step, placed.total()))
    estimates = parts.run_tracker.estimates
    if not waits_for and count < step.count:
        waits_for = "not_examined"
    if waits_for == "no_room" and rules:
        waits_for = rules[0][0]
    return StepExplanation(
        number,
        step.count,
        step.size,
        step.estimated_ms,
        round(estimates.expect_ms(queue, step)),
        round(estimates.trust(queue, step), 2),
        not step.after,
        step.after,
        count,
        placed.total(),
        waits_for,
        dict(placed.most_common()),
        len(allowed) - len(obstacles),
        group_workers([*trial.obstacles, *rules, *obstacles]),
    )


def _limit_starts(trial: _Trial, step: StepSpec) -> Callable[[int], bool]:
    def may_start(placed: int) -> bool:
        return _may_start(trial.cap, [*trial.started, (step, placed)], step, 1)

    return may_start


def _try_gang(
    trial: _Trial, number: int, capacities: Sequence[WorkerCapacity]
) -> tuple[Counter[str], str]:
    step = trial.job.spec.steps[number]
    occurrence = StepOccurrence(trial.job.job_id, 0, number, step)
    placed = place_gang(capacities, occurrence)
    if placed is None:
        return Counter(), "no_room"
    if not _may_start(trial.cap, trial.started, step, len(placed)):
        return Counter(), "customer_cap"
    for task, worker in placed:
        worker.reserve(task)
    return Counter(worker.info.worker_id for _, worker in placed), ""


def _list_allowed(
    parts: PoolParts, trial: _Trial, task: Task, now_ms: int
) -> tuple[list[str], list[tuple[str, str]]]:
    """Return the workers that the rules of the pool leave to a step, and the others.

    The others are pairs of reason and worker id.
    """
    job, links, step = trial.job, trial.links, task.step
    queue = parts.run_tracker.queues.get(job)
    if queue is not None and queue.needs_advice:
        # Tickets are asked for when a task waits, and only those show who may run it.
        return [], [("needs_ticket", name) for name in links]
    if parts.crash_watch.is_queue_on_probation(job.spec.queue):
        kept = _list_trial_workers(parts, list(links.values()), task)
        return _split(links, kept, "needs_empty_worker")
    if parts.task_placer.lasting_room.holds_back(job, step, step.count, now_ms):
        kept = [name for name, link in links.items() if accepts_held_back(link)]
        return _split(links, kept, "own_host")
    return list(links), []


def _list_trial_workers(
    parts: PoolParts, links: list[WorkerLink], task: Task
) -> list[str]:
    trial_workers = parts.task_placer.trial_workers
    if task.step.is_gang:
        return [link.worker_id for link in trial_workers.list_empty(links)]
    link = trial_workers.find_empty(task, links)
    return [link.worker_id] if link is not None else []


def _split(
    links: Mapping[str, WorkerLink], kept: list[str], reason: str
) -> tuple[list[str], list[tuple[str, str]]]:
    return kept, [(reason, name) for name in links if name not in kept]
