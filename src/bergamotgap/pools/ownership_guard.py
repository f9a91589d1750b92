"""Whether the owner of a pool may act, and when restored work may start again."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.settings import PoolSettings

# The list of workers is this old at most when a pool changes its owner; also the time
# that an order takes to be answered.
MIN_RECOVERY_MS = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class Term:
    """One time of ownership: `token` fences, `number` counts owners of the pool.

    `is_clean` tells that the former owner was known not to act any more; `is_recorded`
    that it cannot have started anything without a record of the worker.
    """

    token: int
    number: int
    is_former_owner_stopped: bool
    are_former_starts_recorded: bool = True


@dataclass(frozen=True)
class LogConfirmation:
    """When the log last confirmed this node, and whether it is away for all nodes."""

    get_confirmed_ms: Callable[[], int]
    is_outage: Callable[[], bool]


class PolledWorker(Protocol):
    """What tells of a worker's answers to this owner."""

    is_listed: bool
    is_polled: bool
    answered_ms: int


class OwnershipGuard:
    """Weigh the signs that this node still owns the pool, as its only owner."""

    def __init__(
        self,
        term: Term,
        table: JobTable,
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
        self.started_ms = self._looked_ms = clock.monotonic_ms()
        self._is_acting = True
        self._restored = dict(table.pending)
        if term.is_former_owner_stopped and term.are_former_starts_recorded:
            self._restored = {
                job_id: job
                for job_id, job in table.pending.items()
                if job.former_workers
            }

    def is_confirmed(self) -> bool:
        """Tell whether the log confirmed this owner a short time ago."""
        return self._measure_doubt_ms() < self._settings.confirmation_ttl_ms

    def may_renew_leases(self) -> bool:
        """Tell whether leases may be renewed.

        A successor waits for leases of workers that it can't reach, so an owner that
        alone has lost the log renews them for a short time only.
        """
        is_recent = self._measure_doubt_ms() < self._settings.isolated_renewal_ms
        return is_recent or self.is_outage()

    def is_outage(self) -> bool:
        """Tell whether the log is away for all nodes, so that there is no successor."""
        return self._confirmation.is_outage()

    def _measure_doubt_ms(self) -> int:
        confirmed_ms = max(
            self._confirmation.get_confirmed_ms(), self._journal.last_append_ms
        )
        return self._clock.monotonic_ms() - confirmed_ms

    def may_abandon_runs(self) -> bool:
        """Tell whether a silent worker's runs may be taken for ended with their lease.

        Without the log a successor may have found them and renew them.
        """
        return self.is_confirmed() or self.is_outage()

    def may_act(self) -> bool:
        """Tell whether no successor can have begun to act.

        Without the log, an owner acts while most of the pool's workers take its token:
        a successor starts nothing before it has looked at most of them.
        """
        may_act = self.is_confirmed() or (
            self.may_renew_leases() and self._has_majority()
        )
        if may_act is not self._is_acting:
            self._is_acting = may_act
            log.warning("owner acts" if may_act else "owner waits", **self._count())
        return may_act

    def _has_majority(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        listed = [worker for worker in self._workers.values() if worker.is_listed]
        heard = [
            worker
            for worker in listed
            if worker.is_polled
            and now_ms - worker.answered_ms < self._settings.confirmation_ttl_ms
        ]
        return 2 * len(heard) > len(listed)

    def _count(self) -> dict[str, int]:
        return {"workers": len(self._workers), "confirmed": int(self.is_confirmed())}

    def is_recovered(self, job: Job) -> bool:
        """Tell whether no unseen run of a restored job can be at work.

        A former owner starts no more once it has had the time to hear of its successor,
        which most workers tell it. What it started is known when the workers that it
        wrote for the job were looked at, or their leases have ended by the slowest
        clock.
        """
        if job.job_id not in self._restored:
            return True
        now_ms = self._clock.monotonic_ms()
        listed = [worker for worker in self._workers.values() if worker.is_listed]
        looked = [worker for worker in listed if worker.is_polled]
        wait_ms = (
            0
            if self.term.is_former_owner_stopped
            else self._settings.confirmation_ttl_ms + MIN_RECOVERY_MS
        )
        if listed and 2 * len(looked) <= len(listed):
            self._looked_ms = now_ms
        if now_ms < self._looked_ms + max(wait_ms, MIN_RECOVERY_MS):
            return False
        is_past = now_ms >= self.started_ms + self._settings.former_lease_ms
        is_seen = not job.former_workers
        if not self.term.are_former_starts_recorded:
            is_seen = is_seen and len(looked) == len(listed)
        if not is_seen and not is_past:
            return False
        log.info("settled", job=job.job_id, unseen=len(job.former_workers))
        job.former_workers.clear()
        del self._restored[job.job_id]
        return True

    def record_first_poll(self, worker_id: str) -> None:
        """Note the first look at a worker: what runs there is known."""
        for job in self._restored.values():
            job.former_workers.discard(worker_id)
