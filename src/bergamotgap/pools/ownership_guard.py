"""Decides whether a pool's owner may act and when restored jobs may start again."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.lease_lines import log_former_runs, log_settled
from bergamotgap.pools.settings import PoolSettings

# Restored jobs wait at least this long. The list of workers is this old at most when a
# pool changes its owner, and an order is answered within this time.
MIN_RECOVERY_MS = 200
# Runs of a job that ended longer ago have been stopped, or their leases have expired.
# It is far above a lease, since the clocks of two hosts can differ.
MAX_STOPPING_MS = 30_000

log = get_logger(__name__)


@dataclass(frozen=True)
class Term:
    """One period of ownership of a pool.

    `token` fences former owners; `number` rises with each owner of the pool.
    `is_former_owner_stopped`: the former owner was known not to act any more.
    `are_former_starts_recorded`: the former owner can't have started a run without a
    record of the worker in the log.
    """

    token: int
    number: int
    is_former_owner_stopped: bool
    are_former_starts_recorded: bool = True


@dataclass(frozen=True)
class LogConfirmation:
    """When the log last confirmed this node, and whether it is down for all nodes.

    `is_worker_list_complete` tells whether the list of workers was read since all that
    are alive can be listed again after an outage.
    """

    get_confirmed_ms: Callable[[], int]
    is_log_down_for_all: Callable[[], bool]
    is_worker_list_complete: Callable[[], bool]


class PolledWorker(Protocol):
    """What the guard reads of a worker link: whether and when the worker answered."""

    is_listed: bool
    was_polled: bool
    answered_ms: int

    @property
    def restart_bound_ms(self) -> int:
        """When leases in the clock of a former life have ended there, 0 for none."""


class OwnershipGuard:
    """Decide by confirmations of the log and of workers whether the owner may act."""

    def __init__(
        self,
        term: Term,
        job_table: JobTable,
        journal: Journal,
        workers: Mapping[str, PolledWorker],
        confirmation: LogConfirmation,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self.term = term
        self._journal = journal
        self._workers = workers
        self._confirmation = confirmation
        self._settings = settings
        self._clock = clock
        self.started_ms = self._majority_last_unpolled_ms = clock.monotonic_ms()
        self._is_acting = True
        self._unrecovered_jobs = dict(job_table.pending)
        if term.is_former_owner_stopped and term.are_former_starts_recorded:
            self._unrecovered_jobs = {
                job_id: job
                for job_id, job in job_table.pending.items()
                if job.former_workers
            }

        # Jobs that ended lately, with runs that may not have been stopped.
        self._ended_jobs = [
            job
            for job in job_table.jobs.values()
            if job.phase.is_final
            and job.former_workers
            and clock.wall_ms() - job.ended_ms < MAX_STOPPING_MS
        ]

    def log_assumptions(self, pool: str) -> None:
        """Log what this owner of `pool` assumes of the runs of a former one."""
        unrecovered = list(self._unrecovered_jobs.values())
        jobs = (*unrecovered, *self._ended_jobs)
        log_former_runs(
            pool,
            self.term.token,
            len(unrecovered),
            len(self._ended_jobs),
            {worker for job in jobs for worker in job.former_workers},
            self._settings.former_lease_ms,
            self.term.is_former_owner_stopped,
            self.term.are_former_starts_recorded,
        )

    def is_confirmed(self) -> bool:
        """Return whether the log confirmed this owner recently."""
        return self._measure_unconfirmed_ms() < self._settings.confirmation_ttl_ms

    def may_renew_leases(self) -> bool:
        """Return whether leases of workers may be renewed.

        A successor waits for the leases of workers that it can't reach to expire. So an
        owner that has lost the log renews them only for a short time, unless the log is
        down for all nodes.
        """
        is_recent = self._measure_unconfirmed_ms() < self._settings.isolated_renewal_ms
        return is_recent or self.is_log_down_for_all()

    def is_log_down_for_all(self) -> bool:
        """Return whether the log is down for all nodes, so there is no successor."""
        return self._confirmation.is_log_down_for_all()

    def _measure_unconfirmed_ms(self) -> int:
        confirmed_ms = max(
            self._confirmation.get_confirmed_ms(), self._journal.last_append_ms
        )
        return self._clock.monotonic_ms() - confirmed_ms

    def may_abandon_runs(self) -> bool:
        """Return whether runs of a silent worker may count as ended with its lease.

        An owner without the log may have a successor that reaches the worker and renews
        the lease.
        """
        return self.is_confirmed() or self.is_log_down_for_all()

    def may_act(self) -> bool:
        """Return whether no successor can have begun to act.

        Logs a change.
        """
        may_act = self.can_act()
        if may_act is not self._is_acting:
            self._is_acting = may_act
            log.warning(
                "owner acts" if may_act else "owner waits", **self._build_log_fields()
            )
        return may_act

    def can_act(self) -> bool:
        """Return whether this owner may act, without a log line.

        Without the log, an owner acts while most of the pool's workers accept its
        token: a successor starts nothing before it has polled most of them.
        """
        return self.is_confirmed() or (
            self.may_renew_leases() and self._do_most_workers_answer()
        )

    def _do_most_workers_answer(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        listed = [worker for worker in self._workers.values() if worker.is_listed]
        answering = [
            worker
            for worker in listed
            if worker.was_polled
            and now_ms - worker.answered_ms < self._settings.confirmation_ttl_ms
        ]
        return 2 * len(answering) > len(listed)

    def _build_log_fields(self) -> dict[str, int]:
        return {"workers": len(self._workers), "confirmed": int(self.is_confirmed())}

    def is_recovered(self, job: Job) -> bool:
        """Return whether all runs of a restored job that may be active are known.

        A former owner starts nothing more once it has had time to learn of its
        successor, because most workers then refuse it. Its runs are known once the
        workers that it recorded for the job were polled, or the leases of those workers
        have expired even by the slowest clock. By then it has not renewed any lease for
        a whole lease, and starts nothing, whatever workers answer.

        Without records, any worker may have runs, also one that is not listed: entries
        lapse while the log is down. Then only the end of all leases proves something.
        """
        if job.job_id not in self._unrecovered_jobs:
            return True
        now_ms = self._clock.monotonic_ms()
        listed = [worker for worker in self._workers.values() if worker.is_listed]
        polled = [worker for worker in listed if worker.was_polled]
        wait_ms = (
            0
            if self.term.is_former_owner_stopped
            else self._settings.confirmation_ttl_ms + MIN_RECOVERY_MS
        )
        if listed and 2 * len(polled) <= len(listed):
            self._majority_last_unpolled_ms = now_ms
        are_leases_expired = self._are_leases_expired(job)
        is_successor_known = now_ms >= self._majority_last_unpolled_ms + max(
            wait_ms, MIN_RECOVERY_MS
        )
        if not is_successor_known and not are_leases_expired:
            return False
        are_starts_recorded = self.term.are_former_starts_recorded
        are_runs_known = are_starts_recorded and not job.former_workers
        if not are_runs_known and not are_leases_expired:
            return False
        log_settled(
            job.job_id,
            job.former_workers,
            "polled" if is_successor_known and are_runs_known else "leases_expired",
            now_ms - self.started_ms,
            self._measure_former_lease_ms(job),
        )
        job.former_workers.clear()
        del self._unrecovered_jobs[job.job_id]
        return True

    @property
    def unrecovered_jobs(self) -> int:
        """The number of restored jobs whose runs may not all be known."""
        return len(self._unrecovered_jobs)

    def are_jobs_recovered(self) -> bool:
        """Return whether all restored jobs are recovered or have ended."""
        return all(job.phase.is_final for job in self._unrecovered_jobs.values())

    def are_runs_recorded(self) -> bool:
        """Return whether every run that may exist is known here or in the log."""
        return self.term.are_former_starts_recorded or self.are_jobs_recovered()

    def list_jobs_with_unknown_runs(self) -> list[Job]:
        """Return the restored jobs with tasks that may run unknown to this owner.

        A former owner started no task without a record of the worker, unless the log
        was down for all nodes.
        """
        if not self._unrecovered_jobs and not self._ended_jobs:
            return []
        self._ended_jobs = [
            job
            for job in self._ended_jobs
            if job.former_workers and not self._are_leases_expired(job)
        ]
        return self._ended_jobs + [
            job
            for job in self._unrecovered_jobs.values()
            if (job.former_workers or not self.term.are_former_starts_recorded)
            and not (job.phase.is_final and self._are_leases_expired(job))
        ]

    def _are_leases_expired(self, job: Job) -> bool:
        """Return whether no run of a former owner lasts on a worker not polled yet.

        A run may have ended there successfully, so its worker must be on the list if it
        is alive.
        """
        passed_ms = self._clock.monotonic_ms() - self.started_ms
        if passed_ms < self._settings.former_lease_ms:
            return False
        if not self._confirmation.is_worker_list_complete():
            return False
        return passed_ms >= self._measure_former_lease_ms(job)

    def _measure_former_lease_ms(self, job: Job) -> int:
        """Return how long a lease may last on the workers that a job may run on."""
        names = (
            job.former_workers
            if self.term.are_former_starts_recorded
            else self._workers.keys()
        )
        bounds_ms = [
            self._workers[name].restart_bound_ms - self.started_ms
            for name in names
            if name in self._workers and not self._workers[name].was_polled
        ]
        return max([self._settings.former_lease_ms, *bounds_ms])

    def record_first_poll(self, worker_id: str) -> None:
        """Record the first poll of a worker: all runs there are known from now on."""
        for job in (*self._unrecovered_jobs.values(), *self._ended_jobs):
            job.former_workers.discard(worker_id)
