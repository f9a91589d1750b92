"""What the runs of each customer hold on a pool's workers."""

from collections.abc import Sequence

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import NO_SIZE
from bergamotgap.domain.task_state import TaskPhase
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.tracked_worker import TrackedWorker

# Sums by customer, and by whether the tasks are long-running ones.
Sums = dict[tuple[str, bool], list[int]]


class CustomerRuns:
    """Sum the sizes of runs by customer; only changed workers are counted anew."""

    def __init__(
        self, job_table: JobTable, run_tracker: RunTracker, clock: Clock
    ) -> None:
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._clock = clock
        self._is_stale = True
        # Sums of each worker when it was last counted, and the number of changes of its
        # runs by then.
        self._counted: dict[str, tuple[TrackedWorker, int, Sums]] = {}
        self._used: Sums = {}
        # Upper bound of the use by runs of a former owner that are not known yet, and
        # the number of restored jobs for which it was counted.
        self._unknown: dict[str, list[int]] = {}
        self._restored_jobs = -1
        self._started_ms: dict[str, int] = {}

    def expire_changed_runs(self) -> None:
        """Count changed workers anew when next asked."""
        self._is_stale = True

    def count_lasting(self, customer: str) -> Sequence[int]:
        """Return what a customer's long-running tasks hold."""
        return self._used.get((customer, True), NO_SIZE)

    def get_started_ms(self, customer: str) -> int:
        """Return when a run of a customer was last counted first (monotonic, ms)."""
        return self._started_ms.get(customer, 0)

    def expire(self) -> None:
        """Count anew when next asked: runs may have begun or ended since."""
        self._is_stale = True
        self._restored_jobs = -1

    def count(self, customer: str) -> list[int]:
        """Return what a customer's runs hold, with unknown runs that may be active."""
        used = self.count_known(customer)
        restored_jobs = self._run_tracker.ownership.unrecovered_jobs
        if restored_jobs != self._restored_jobs:
            self._restored_jobs = restored_jobs
            self._unknown = self._sum_unknown_runs()
        if customer in self._unknown:
            add_size(used, self._unknown[customer], 1)
        return used

    def count_known(self, customer: str) -> list[int]:
        """Return what the known runs of a customer hold."""
        self._recount_changed_workers()
        used = list(self._used.get((customer, False), NO_SIZE))
        add_size(used, self._used.get((customer, True), NO_SIZE), 1)
        return used

    def measure(self, customer: str) -> list[int]:
        """Return what `count` would return now, without changing what is counted."""
        used = list(NO_SIZE)
        for link in self._run_tracker.links.values():
            for (name, _), size in self._sum_runs(link).items():
                if name == customer:
                    add_size(used, size, 1)
        add_size(used, self._sum_unknown_runs().get(customer, NO_SIZE), 1)
        return used

    def _sum_unknown_runs(self) -> dict[str, list[int]]:
        unknown: dict[str, list[int]] = {}
        for job in self._run_tracker.ownership.list_jobs_with_unknown_runs():
            if job.spec.customer:
                sums = unknown.setdefault(job.spec.customer, list(NO_SIZE))
                for task in job.list_tasks():
                    if task.phase is TaskPhase.WAITING:
                        add_size(sums, task.step.size, 1)
        return unknown

    def _recount_changed_workers(self) -> None:
        if not self._is_stale:
            return
        self._is_stale = False
        links = self._run_tracker.links
        for worker_id in [name for name in self._counted if name not in links]:
            self._replace(worker_id, {})
            del self._counted[worker_id]
        for worker_id, link in links.items():
            former = self._counted.get(worker_id)
            if former is not None and former[:2] == (link, link.run_changes):
                continue
            sums = self._sum_runs(link)
            self._replace(worker_id, sums)
            self._counted[worker_id] = (link, link.run_changes, sums)

    def _replace(self, worker_id: str, sums: Sums) -> None:
        former = self._counted[worker_id][2] if worker_id in self._counted else {}
        for key, size in former.items():
            add_size(self._used[key], size, -1)
        for key, size in sums.items():
            add_size(self._used.setdefault(key, list(NO_SIZE)), size, 1)
            if any(a > b for a, b in zip(size, former.get(key, NO_SIZE), strict=True)):
                self._started_ms[key[0]] = self._clock.monotonic_ms()

    def _sum_runs(self, link: TrackedWorker) -> Sums:
        sums: Sums = {}
        for live in link.runs.values():
            job = self._job_table.jobs.get(live.task.task_id.job)
            if job is not None and job.spec.customer:
                step = live.task.step
                key = (job.spec.customer, step.is_long_running)
                add_size(sums.setdefault(key, list(NO_SIZE)), step.size, 1)
        return sums


def add_size(sums: list[int], size: Sequence[int], count: int) -> None:
    """Add a size to sums, `count` times."""
    for index, part in enumerate(size):
        sums[index] += count * part
