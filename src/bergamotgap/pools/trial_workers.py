"""Chooses the workers on which suspected tasks are tried apart from other jobs."""

from collections.abc import Iterable, Mapping, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job, Task
from bergamotgap.domain.task_placement import choose_task_worker
from bergamotgap.pools.worker_link import WorkerLink

# Share of a pool's workers on which tasks may be tried at the same time, those that
# are down after a trial included: of empty workers, and of workers that have to get
# empty first.
EMPTY_SHARE = 1 / 2
RESERVED_SHARE = 1 / 4
# A trial that has waited this long may use any empty worker and more of the others, and
# a gang starts beside others.
PATIENCE_MS = 2000
PATIENT_RESERVED_SHARE = 1 / 2
# A worker with runs is given no others until they end. After the first time the trial
# begins beside them, after the second the worker is released.
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

    def release_unused(self, jobs: Mapping[str, Job]) -> None:
        """Release the workers whose trial has ended."""
        for link in self._links.values():
            if link.trial_job and not self._is_in_use(link, jobs):
                link.trial_job = ""

    def _is_in_use(self, link: WorkerLink, jobs: Mapping[str, Job]) -> bool:
        job = jobs.get(link.trial_job)
        if job is None or job.phase.is_final:
            return False
        if any(
            live.task.task_id.job == link.trial_job and live.task.runs_alone
            for live in link.runs.values()
        ):
            return True
        age_ms = self._clock.monotonic_ms() - link.trial_since_ms
        return age_ms <= MAX_RESERVATION_MS and job.is_waiting_for_trial()

    def choose(
        self, job: Job, task: Task, usable: Sequence[WorkerLink], is_on_time: bool
    ) -> WorkerLink | None:
        """Return the worker for a trial of a job; None if none is free of others.

        Reserves a worker that has runs of others if no worker is empty.
        """
        own = [link for link in usable if link.trial_job == job.job_id]
        for link in own:
            if self._is_ready(link, job) and _fits(link, task):
                return link
        if own:
            return None
        in_trial = [link for link in self._links.values() if link.trial_job]
        has_waited = self._has_waited(job)
        best = self.find_empty(task, usable, has_waited)
        if best is not None:
            self._reserve(best, job)
            return best
        free = _list_free(usable, task)
        empty = [link for link in free if link.is_empty]
        # Late work takes one worker at a time from work that can be on time.
        limit = self._limit(RESERVED_SHARE) if is_on_time else 1
        if has_waited:
            limit = self._limit(PATIENT_RESERVED_SHARE)
        if free and not empty and len(in_trial) < limit:
            self._reserve(_choose_best(free, task), job)
        return None

    def find_empty(
        self, task: Task, usable: Sequence[WorkerLink], has_waited: bool = False
    ) -> WorkerLink | None:
        """Return the empty worker for a trial, reserving none; None if there is none.

        `has_waited` tells whether the job has waited for a worker long enough to take
        any that is empty.
        """
        in_trial = sum(bool(link.trial_job) for link in self._links.values())
        empty = [link for link in _list_free(usable, task) if link.is_empty]
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

    def _limit(self, share: float) -> int:
        return max(1, int(share * sum(link.is_listed for link in self._links.values())))

    def _has_waited(self, job: Job) -> bool:
        now_ms = self._clock.monotonic_ms()
        return now_ms - self._waiting_since_ms.setdefault(job.job_id, now_ms) > (
            PATIENCE_MS
        )

    def _reserve(self, link: WorkerLink, job: Job) -> None:
        self._waiting_since_ms.pop(job.job_id, None)
        link.trial_job = job.job_id
        link.trial_since_ms = self._clock.monotonic_ms()
        log.info(
            "worker reserved for a trial",
            job=job.job_id,
            worker=link.worker_id,
            runs=len(link.runs),
        )

    def _is_ready(self, link: WorkerLink, job: Job) -> bool:
        others = [
            live
            for live in link.runs.values()
            if live.task.task_id.job != job.job_id
            and not live.task.step.is_long_running
        ]
        age_ms = self._clock.monotonic_ms() - link.trial_since_ms
        return not others or age_ms >= RESERVATION_MS


def _list_free(usable: Sequence[WorkerLink], task: Task) -> list[WorkerLink]:
    return [
        link for link in usable if not link.trial_job and _can_become_ready(link, task)
    ]


def _fits(link: WorkerLink, task: Task) -> bool:
    return choose_task_worker([link.capacity], task) is not None


def _can_become_ready(link: WorkerLink, task: Task) -> bool:
    """Return whether a task fits beside the long-running tasks of a worker.

    It must also be able to end before the maintenance of the host.
    """
    if not link.capacity.has_time(task.step):
        return False
    lasting = [
        live.task.step.size
        for live in link.runs.values()
        if live.task.step.is_long_running
    ]
    needed = [sum(values) for values in zip(task.step.size, *lasting, strict=True)]
    has_room = all(
        used <= limit for used, limit in zip(needed, link.info.capacity, strict=True)
    )
    requirement = task.step.requirement
    return has_room and (not requirement or requirement in link.info.labels)


def _choose_best(links: Iterable[WorkerLink], task: Task) -> WorkerLink:
    """Prefer workers without long-running tasks, then those with the least work."""

    def score(link: WorkerLink) -> tuple[bool, int, int]:
        lasting = sum(live.task.step.is_long_running for live in link.runs.values())
        has_failed = link.worker_id in task.failed_on
        return (has_failed, lasting, link.capacity.used_cpu)

    return min(links, key=score)
