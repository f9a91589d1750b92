"""Compares the tasks of a pool's jobs with the runs on its links; mends nothing."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_placement import StepKey
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.possible_runs import PossibleRun, PossibleRuns, describe_runs
from bergamotgap.pools.worker_link import WorkerLink

AUDIT_INTERVAL_MS = 1000
# Pause after a check as a multiple of its duration: a hundredth of the processor.
AUDIT_REST_FACTOR = 100
# Lines that one check writes; the others are left to the next checks.
MAX_LINES_PER_CHECK = 10
# Steps of one worker whose counts a line gives.
MAX_STEPS = 3

log = get_logger(__name__)


class Disagreement(NamedTuple):
    """A task or worker about which the jobs and the links disagree.

    Kinds: `no_link` and `no_run` for an active task whose worker has no link, or whose
    link doesn't hold its run; `tracked_while_waiting` and `tracked_twice` for a task
    with a run, or two, on links; `not_pending` for a waiting task of a job that no pass
    looks at; `capacity` for a worker whose reserved capacity isn't that of its runs;
    `held_without_run` for a run that may exist, as far as the owner knows, and isn't on
    its link, so that its task never starts; `run_not_held` for a run on a link beside
    which its task may start again. `task` is empty for a worker. `found` is what the
    links have of the task, or the runs of it that may exist, or, for each amount and
    step that differs, what is reserved and what the runs need.
    """

    kind: str
    task: str
    run: int
    phase: str
    worker: str
    found: str

    @property
    def key(self) -> tuple[str, str]:
        """What stays the same from one check to the next."""
        return self.kind, self.task or self.worker


class RunAudit:
    """Tell about disagreements of jobs and links that two checks in a row find.

    `found` counts those told in this term.
    """

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        links: Mapping[str, WorkerLink],
        possible_runs: PossibleRuns,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._job_table = job_table
        self._links = links
        self._possible_runs = possible_runs
        self._clock = clock
        self._next_check_ms = 0
        self._last: frozenset[tuple[str, str]] = frozenset()
        self._told: frozenset[tuple[str, str]] = frozenset()
        self.found = 0

    def check_if_due(self) -> None:
        """Compare jobs and links, unless the last check was a short time ago."""
        started_ms = self._clock.monotonic_ms()
        if started_ms < self._next_check_ms:
            return
        self._check()
        now_ms = self._clock.monotonic_ms()
        rest_ms = AUDIT_REST_FACTOR * (now_ms - started_ms)
        self._next_check_ms = now_ms + max(AUDIT_INTERVAL_MS, rest_ms)

    def _check(self) -> None:
        disagreements = find_disagreements(
            self._job_table, self._links, self._possible_runs
        )
        by_key = {found.key: found for found in disagreements}
        new = [key for key in by_key if key in self._last and key not in self._told]
        told = new[:MAX_LINES_PER_CHECK]
        for key in told:
            found = by_key[key]
            log.warning(
                "runs disagree",
                pool=self._pool,
                kind=found.kind,
                task=found.task,
                run=found.run,
                phase=found.phase,
                worker=found.worker,
                found=found.found,
            )
        self.found += len(told)
        self._last = frozenset(by_key)
        self._told = (self._told & self._last).union(told)


def find_disagreements(
    job_table: JobTable, links: Mapping[str, WorkerLink], possible_runs: PossibleRuns
) -> Iterator[Disagreement]:
    """Return where open jobs, runs that may exist and the links disagree now."""
    # Worker and number of the run of each task, by the task's identity.
    tracked: dict[int, tuple[str, int]] = {}
    for link in links.values():
        worker_id = link.worker_id
        for live in link.runs.values():
            former = tracked.setdefault(id(live.task), (worker_id, live.run))
            if former[0] != worker_id:
                found = f"run {former[1]} on {former[0]}, {live.run} on {worker_id}"
                yield _describe_task("tracked_twice", live.task, found)
        yield from _check_capacity(link)
    yield from _check_possible_runs(job_table, links, possible_runs)
    for job in job_table.jobs.values():
        if job.phase.is_final:
            continue
        yield from _check_tasks(job.list_tasks(), links, tracked)
        if job.job_id not in job_table.pending:
            yield from _check_not_pending(job)


def _check_tasks(
    tasks: Iterable[Task],
    links: Mapping[str, WorkerLink],
    tracked: Mapping[int, tuple[str, int]],
) -> Iterator[Disagreement]:
    for task in tasks:
        phase = task.phase
        if phase is TaskPhase.DONE:
            continue
        run = tracked.get(id(task))
        if phase is TaskPhase.WAITING:
            if run is not None:
                found = f"run {run[1]} on {run[0]}"
                yield _describe_task("tracked_while_waiting", task, found)
        elif run != (task.worker_id, task.run):
            link = links.get(task.worker_id)
            live = link.runs.get(task.task_id) if link else None
            held = [(task.worker_id, live.run)] if live else []
            held += [run] if run and run not in held else []
            found = ", ".join(f"run {number} on {name}" for name, number in held)
            yield _describe_task("no_run" if link else "no_link", task, found)


def _check_possible_runs(
    job_table: JobTable, links: Mapping[str, WorkerLink], possible_runs: PossibleRuns
) -> Iterator[Disagreement]:
    by_task, on_links = possible_runs.by_task, 0
    for link in links.values():
        worker_id, unknown = link.worker_id, link.unknown_runs
        on_links += len(link.runs) + len(unknown)
        missing = [
            (task_id, live.run)
            for task_id, live in link.runs.items()
            if (worker_id, live.run) not in by_task.get(task_id, ())
        ]
        missing += [
            (task_id, run)
            for task_id, run in unknown
            if (worker_id, run) not in by_task.get(task_id, ())
        ]
        on_links -= len(missing)
        for task_id, run in missing:
            held = describe_runs(possible_runs.list_runs(task_id))
            yield _describe_run(
                "run_not_held", job_table, task_id, worker_id, run, held
            )
    # An unknown run that was adopted counts twice until the next poll.
    if on_links != len(possible_runs):
        yield from _check_held_runs(job_table, links, by_task)


def _check_held_runs(
    job_table: JobTable,
    links: Mapping[str, WorkerLink],
    by_task: Mapping[TaskId, Collection[PossibleRun]],
) -> Iterator[Disagreement]:
    for task_id, held in by_task.items():
        for worker_id, run in held:
            link = links.get(worker_id)
            live = link.runs.get(task_id) if link else None
            if live is not None and live.run == run:
                continue
            if link is None or (task_id, run) not in link.unknown_runs:
                found = f"run {live.run} on {worker_id}" if live else ""
                yield _describe_run(
                    "held_without_run", job_table, task_id, worker_id, run, found
                )


def _describe_run(
    kind: str,
    job_table: JobTable,
    task_id: TaskId,
    worker_id: str,
    run: int,
    found: str,
) -> Disagreement:
    job = job_table.jobs.get(task_id.job)
    task = job.get_task(task_id) if job and job.spec.steps else None
    phase = task.phase.name.lower() if task else "unknown"
    return Disagreement(kind, str(task_id), run, phase, worker_id, found)


def _check_not_pending(job: Job) -> Iterator[Disagreement]:
    for step in job.list_ready_steps():
        for task in step.tasks:
            if task.phase is TaskPhase.WAITING:
                yield _describe_task("not_pending", task, "")
                return


def _describe_task(kind: str, task: Task, found: str) -> Disagreement:
    phase = task.phase.name.lower()
    return Disagreement(kind, str(task.task_id), task.run, phase, task.worker_id, found)


def _check_capacity(link: WorkerLink) -> Iterator[Disagreement]:
    capacity, counts = link.capacity, _count_steps(link.runs.values())
    differing = [
        f"{name}={getattr(capacity, name)}/{needed}"
        for name, needed in _sum_sizes(counts.values()).items()
        if getattr(capacity, name) != needed
    ]
    reserved = {key: count for key, count in capacity.tasks_of_step.items() if count}
    needed = {key: count for key, (_, count) in counts.items()}
    if reserved != needed:
        keys = {key for key, _ in reserved.items() ^ needed.items()}
        differing += [
            f"{job}.{occurrence}.{number}={reserved.get((job, occurrence, number), 0)}"
            f"/{needed.get((job, occurrence, number), 0)}"
            for job, occurrence, number in sorted(keys)[:MAX_STEPS]
        ]
    if differing:
        found = " ".join(differing)
        yield Disagreement("capacity", "", 0, "", link.worker_id, found)


def _count_steps(runs: Iterable[LiveRun]) -> dict[StepKey, tuple[StepSpec, int]]:
    """Return the specification and the number of runs of each step."""
    counts: dict[StepKey, tuple[StepSpec, int]] = {}
    for live in runs:
        key = live.task.task_id[:3]
        found = counts.get(key)
        counts[key] = (live.task.step, found[1] + 1 if found else 1)
    return counts


def _sum_sizes(counts: Iterable[tuple[StepSpec, int]]) -> dict[str, int | Amount]:
    """Return what a worker has to reserve for runs, by field of its capacity."""
    cpu = memory_mb = gpus = serving = fillers = lasting = 0
    lasting_size = Amount()
    for step, count in counts:
        size = step.size
        cpu += size.cpu * count
        memory_mb += size.memory_mb * count
        gpus += size.gpus * count
        if step.is_filler:
            fillers += count
        elif step.target_ms:
            serving += count
        if step.is_lasting:
            lasting += count
            lasting_size += Amount(*size).scale(count)
    return {
        "used_cpu": cpu,
        "used_memory_mb": memory_mb,
        "used_gpus": gpus,
        "serving_tasks": serving,
        "filler_tasks": fillers,
        "lasting_tasks": lasting,
        "lasting": lasting_size,
    }
