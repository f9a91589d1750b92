"""Chooses the workers on which suspected tasks are tried apart from other jobs."""

from collections.abc import Iterable, Mapping, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_placement import (
    WorkerCapacity,
    choose_task_worker,
    copy_capacity,
)
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.worker_link import WorkerLink

# Share of a pool's workers on which tasks may be tried at the same time, those that
# are down after a trial included: of empty workers, and of workers that have to get
# empty first.
EMPTY_SHARE = 1 / 2
RESERVED_SHARE = 1 / 4
# A trial that has waited this long may use any empty worker and more of the others, and
# a gang starts beside others. Long-running tasks may use any worker with room: they are
# few, and their jobs are worth what they work.
PATIENCE_MS = 2000
PATIENT_RESERVED_SHARE = 1 / 2
# A worker with runs is given no others until they end. After the first time the trial
# begins beside them if it fits, after the second the worker is released.
RESERVATION_MS = 2000
MAX_RESERVATION_MS = 3000

log = get_logger(__name__)


class TrialWorkers:
    """Reserve workers for trials, and release them afterwards."""

    def __init__(self, links: Mapping[str, WorkerLink], clock: Clock) -> None:
        self._links = links
        self._clock = clock
        # Since when jobs wait for a worker to be tried on (monotonic, ms).
        self._waiting_since_ms: dict[str, int] = {}
        # Capacity of workers without the runs that will end, with the number of changes
        # of their runs that it includes.
        self._later: dict[str, tuple[int, WorkerCapacity]] = {}
        self._listed_workers = 0

    def begin_pass(self, jobs: Mapping[str, Job]) -> None:
        """Begin a placement pass: release the workers whose trial has ended."""
        self._later.clear()
        self._listed_workers = sum(link.is_listed for link in self._links.values())
        for link in self._links.values():
            if link.trial_job and not self._is_in_use(link, jobs):
                self._release(link)

    def _is_in_use(self, link: WorkerLink, jobs: Mapping[str, Job]) -> bool:
        job = jobs.get(link.trial_job)
        if job is None or job.phase.is_final:
            return False
        if _is_trial_under_way(link):
            return True
        age_ms = self._clock.monotonic_ms() - link.trial_since_ms
        return age_ms <= MAX_RESERVATION_MS and any(
            self._can_become_ready(link, task) for task in job.iterate_trial_tasks()
        )

    def choose(
        self, job: Job, task: Task, usable: Sequence[WorkerLink], is_on_time: bool
    ) -> WorkerLink | None:
        """Return the worker for a trial of a job; None if the task has to wait.

        Reserves a worker that has runs of others if no worker is empty.
        """
        own = [link for link in usable if link.trial_job == job.job_id]
        for link in own:
            if self._is_ready(link, job) and _can_start(link.capacity, task):
                return link
        if any(map(_is_trial_under_way, own)) and not _has_survivor(job, task):
            # The trial tells whether the tasks of the step crash their workers.
            return None
        has_waited = self._has_waited(job)
        best = self.find_empty(task, usable, has_waited)
        if best is not None:
            self._release_waiting(own)
            self._reserve(best, job)
            return best
        if not any(self._can_become_ready(link, task) for link in own):
            self._reserve_beside_others(job, task, usable, is_on_time, has_waited)
        elif has_waited:
            self._move_reservation(job, task, usable, own)
        return None

    def _reserve_beside_others(
        self,
        job: Job,
        task: Task,
        usable: Sequence[WorkerLink],
        is_on_time: bool,
        has_waited: bool,
    ) -> None:
        """Reserve a worker with runs of others if none is empty and others may be."""
        free = self._list_free(usable, task)
        if not free or any(link.is_empty for link in free):
            return
        # Late work takes one worker at a time from work that can be on time.
        limit = self._limit(RESERVED_SHARE) if is_on_time else 1
        if has_waited:
            # Runs of others may keep a worker full for longer than it is reserved.
            ready = [link for link in free if _can_start(link.capacity, task)]
            is_urgent = bool(ready) and task.step.is_long_running
            limit = self._limit(1.0 if is_urgent else PATIENT_RESERVED_SHARE)
            free = ready or free
        if sum(bool(link.trial_job) for link in self._links.values()) < limit:
            self._reserve(_choose_best(free, task), job)

    def _move_reservation(
        self,
        job: Job,
        task: Task,
        usable: Sequence[WorkerLink],
        own: Sequence[WorkerLink],
    ) -> None:
        """Reserve a worker with room in place of one whose room others still hold."""
        if any(_can_start(link.capacity, task) for link in own):
            return
        free = self._list_free(usable, task)
        ready = [link for link in free if _can_start(link.capacity, task)]
        if ready:
            self._release_waiting(own)
            self._reserve(_choose_best(ready, task), job)

    def _release_waiting(self, own: Iterable[WorkerLink]) -> None:
        """Release a job's workers on which its trial has not begun."""
        for link in own:
            if not _is_trial_under_way(link):
                self._release(link)

    def find_empty(
        self, task: Task, usable: Sequence[WorkerLink], has_waited: bool = False
    ) -> WorkerLink | None:
        """Return the empty worker for a trial, reserving none; None if there is none.

        `has_waited` tells whether the job has waited for a worker long enough to take
        any that is empty.
        """
        in_trial = sum(bool(link.trial_job) for link in self._links.values())
        empty = [link for link in self._list_free(usable, task) if link.is_empty]
        if empty and (has_waited or in_trial < self._limit(EMPTY_SHARE)):
            return _choose_best(empty, task)
        return None

    def choose_for_gang(
        self, job: Job, usable: Sequence[WorkerLink]
    ) -> list[WorkerLink]:
        """Return the workers on which a gang may be tried; all if it waited too long.

        A gang starts at once or not at all, so it may need more workers than may be
        used for trials.
        """
        if self._has_waited(job):
            return [link for link in usable if not link.trial_job]
        return self.list_empty(usable)

    def list_empty(self, usable: Sequence[WorkerLink]) -> list[WorkerLink]:
        """Return the empty workers on which a new gang may be tried."""
        in_trial = sum(bool(link.trial_job) for link in self._links.values())
        empty = [link for link in usable if link.is_empty and not link.trial_job]
        return empty[: max(0, self._limit(EMPTY_SHARE) - in_trial)]

    def reserve_for_gang(self, job: Job, links: Iterable[WorkerLink]) -> None:
        """Keep other jobs off the workers that a gang is tried on."""
        for link in links:
            self._reserve(link, job)

    def forget_job(self, job_id: str) -> None:
        """Forget a job that ended."""
        self._waiting_since_ms.pop(job_id, None)

    def record_start(self, job: Job) -> None:
        """Record that a task of a job has got a worker for its trial."""
        self._waiting_since_ms.pop(job.job_id, None)

    def _limit(self, share: float) -> int:
        return max(1, int(share * self._listed_workers))

    def _has_waited(self, job: Job) -> bool:
        now_ms = self._clock.monotonic_ms()
        return now_ms - self._waiting_since_ms.setdefault(job.job_id, now_ms) > (
            PATIENCE_MS
        )

    def _reserve(self, link: WorkerLink, job: Job) -> None:
        link.trial_job = job.job_id
        link.trial_since_ms = self._clock.monotonic_ms()
        log.info(
            "worker reserved for a trial",
            job=job.job_id,
            worker=link.worker_id,
            runs=len(link.runs),
        )

    def _release(self, link: WorkerLink) -> None:
        log.info(
            "worker released after a trial",
            job=link.trial_job,
            worker=link.worker_id,
            age_ms=self._clock.monotonic_ms() - link.trial_since_ms,
            is_used=any(task.job == link.trial_job for task in link.runs),
        )
        link.trial_job = ""

    def _is_ready(self, link: WorkerLink, job: Job) -> bool:
        others = [
            live
            for live in link.runs.values()
            if live.task.task_id.job != job.job_id
            and not live.task.step.is_long_running
        ]
        age_ms = self._clock.monotonic_ms() - link.trial_since_ms
        return not others or age_ms >= RESERVATION_MS

    def _list_free(self, usable: Sequence[WorkerLink], task: Task) -> list[WorkerLink]:
        return [
            link
            for link in usable
            if not link.trial_job and self._can_become_ready(link, task)
        ]

    def _can_become_ready(self, link: WorkerLink, task: Task) -> bool:
        """Return whether a task can start on a worker once others have ended."""
        return _can_start(self._measure_later(link), task)

    def _measure_later(self, link: WorkerLink) -> WorkerCapacity:
        """Return a worker's capacity without the runs that end by themselves."""
        changes, later = self._later.get(link.worker_id, (-1, link.capacity))
        if changes != link.run_changes:
            later = copy_capacity(link.capacity)
            for live in link.runs.values():
                if live.is_stop_requested or not live.task.step.is_long_running:
                    later.release(live.task)
            self._later[link.worker_id] = (link.run_changes, later)
        return later


def _can_start(worker: WorkerCapacity, task: Task) -> bool:
    return choose_task_worker([worker], task) is not None


def _is_trial_under_way(link: WorkerLink) -> bool:
    return any(
        live.task.task_id.job == link.trial_job and live.task.runs_alone
        for live in link.runs.values()
    )


def _has_survivor(job: Job, task: Task) -> bool:
    """Return whether another task of the step runs and has passed its trial."""
    return any(
        other.phase is TaskPhase.RUNNING and not other.runs_alone
        for other in job.get_step(task).tasks
    )


def _choose_best(links: Iterable[WorkerLink], task: Task) -> WorkerLink:
    """Prefer workers without long-running tasks, then those with the least work."""

    def score(link: WorkerLink) -> tuple[bool, bool, int, int]:
        lasting = sum(live.task.step.is_long_running for live in link.runs.values())
        has_failed = link.worker_id in task.failed_on
        is_due = link.capacity.maintenance_in_ms is not None
        return (has_failed, is_due, lasting, link.capacity.used_cpu)

    return min(links, key=score)
