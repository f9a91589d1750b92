"""Tells which waiting tasks are held by runs of them that may still exist."""

from collections.abc import Iterable, Iterator, Mapping

from bergamotgap.domain.fleet import TaskId
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.placement_explanation import FormerRun
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.possible_runs import PossibleRun, PossibleRuns
from bergamotgap.pools.worker_link import WorkerLink

# Reason that a job waits: a run of each of its waiting tasks may still exist.
FORMER_RUN = "former_run"


def find_held_task(job: Job, possible_runs: PossibleRuns) -> Task | None:
    """Return a waiting task of a job whose other waiting tasks are held as well.

    A member holds its gang. None if a task could start but for its former runs.
    """
    first: Task | None = None
    for step in job.list_ready_steps():
        held, may_another_start = None, False
        for task in step.tasks:
            if task.phase is not TaskPhase.WAITING:
                continue
            if possible_runs.may_exist(task.task_id):
                held = held or task
            elif step.spec.is_gang:
                may_another_start = True
            else:
                return None
        if may_another_start and held is None:
            return None
        first = first or held
    return first


def measure_held_tasks(
    jobs: Iterable[Job], possible_runs: PossibleRuns
) -> tuple[int, int]:
    """Return how many waiting tasks are held, and the age in ms of the oldest run."""
    ages_ms = [
        possible_runs.get_age_ms(task.task_id)
        for job in jobs
        for task in _iterate_held_tasks(job, possible_runs)
    ]
    return len(ages_ms), max(ages_ms, default=0)


def list_former_runs(
    job: Job, links: Mapping[str, WorkerLink], possible_runs: PossibleRuns
) -> list[FormerRun]:
    """Return the runs that hold waiting tasks of a job."""
    return [
        FormerRun(
            str(task.task_id),
            run.worker_id,
            run.run,
            describe_state(task.task_id, run, links),
            possible_runs.get_age_ms(task.task_id),
        )
        for task in _iterate_held_tasks(job, possible_runs)
        for run in possible_runs.list_runs(task.task_id)
    ]


def _iterate_held_tasks(job: Job, possible_runs: PossibleRuns) -> Iterator[Task]:
    for step in job.list_ready_steps():
        for task in step.tasks:
            is_waiting = task.phase is TaskPhase.WAITING
            if is_waiting and possible_runs.may_exist(task.task_id):
                yield task


def describe_state(
    task_id: TaskId, run: PossibleRun, links: Mapping[str, WorkerLink]
) -> str:
    """Return what is known of a run that may exist."""
    link = links.get(run.worker_id)
    if link is None:
        return "no_link"
    live = link.runs.get(task_id)
    if live is None or live.run != run.run:
        return "unknown_size"
    if live.is_start_open:
        return "start_open"
    if live.stop_accepted_ms is not None:
        return "stop_accepted"
    if live.is_stop_requested:
        return "stop_not_answered"
    return "running" if live.start_accepted_ms is not None else "start_unanswered"
