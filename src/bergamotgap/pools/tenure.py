"""Whether the owner of a pool may act, and when restored work may start again."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.pools.job_table import JobTable, LiveRuns
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.settings import PoolSettings

# The list of workers is this old at most when a pool changes its owner; also the time
# that an order takes to be answered.
SETTLE_MS = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class Term:
    """One time of ownership: `token` fences, `number` counts owners of the pool.

    `is_clean` tells that the former owner was known not to act any more;
    `released_token` is that of a former owner that released the pool, or 0.
    """

    token: int
    number: int
    is_clean: bool
    released_token: int = 0


@dataclass(frozen=True)
class Confirmation:
    """When the log last confirmed this node, and whether it is away for all nodes."""

    get_confirmed_ms: Callable[[], int]
    is_outage: Callable[[], bool]


class SeenWorker(Protocol):
    """What tells of a worker's answers to this owner."""

    is_listed: bool
    has_looked: bool
    answered_ms: int


class Tenure:
    """Weigh the signs that this node still owns the pool, as its only owner."""

    def __init__(
        self,
        term: Term,
        table: JobTable,
        journal: Journal,
        workers: Mapping[str, SeenWorker],
        confirmation: Confirmation,
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
        self._restored = set(table.hungry)
        # Workers that may run what a former owner started there.
        self._unseen = set(table.used_workers)
        if term.released_token and term.released_token == table.released.token:
            # The former owner wrote which jobs have runs on which worker.
            jobs = table.released.jobs_of_worker
            self._unseen &= set(jobs)
            self._restored &= {job for ids in jobs.values() for job in ids}

    def is_confirmed(self) -> bool:
        """Tell whether the log confirmed this owner a short time ago."""
        return self._measure_doubt_ms() < self._settings.confirm_ms

    def may_renew(self) -> bool:
        """Tell whether leases may be renewed.

        A successor waits two leases for workers that it can't reach, so an owner that
        alone has lost the log renews no longer than one lease.
        """
        is_recent = self._measure_doubt_ms() < self._settings.run_lease_ms
        return is_recent or self._confirmation.is_outage()

    def _measure_doubt_ms(self) -> int:
        confirmed_ms = max(
            self._confirmation.get_confirmed_ms(), self._journal.confirmed_ms
        )
        return self._clock.monotonic_ms() - confirmed_ms

    def may_give_up(self) -> bool:
        """Tell whether a silent worker's runs may be taken for ended with their lease.

        Without the log a successor may have found them and renew them.
        """
        return self.is_confirmed() or self._confirmation.is_outage()

    def may_act(self) -> bool:
        """Tell whether no successor can have begun to act.

        Without the log, an owner acts while most of the pool's workers take its token:
        a successor starts nothing before it has looked at most of them.
        """
        may_act = self.is_confirmed() or (self.may_renew() and self._has_majority())
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
            if worker.has_looked
            and now_ms - worker.answered_ms < self._settings.confirm_ms
        ]
        return 2 * len(heard) > len(listed)

    def _count(self) -> dict[str, int]:
        return {"workers": len(self._workers), "confirmed": int(self.is_confirmed())}

    def is_settled(self, job: Job) -> bool:
        """Tell whether no unseen run of a restored job can be at work.

        A former owner's runs are known once each worker was looked at, or most were and
        the others' leases have ended by the slowest clock. It starts no more once it
        has had the time to hear of that.
        """
        if job.job_id not in self._restored:
            return True
        now_ms = self._clock.monotonic_ms()
        listed = [worker for worker in self._workers.values() if worker.is_listed]
        looked = [worker for worker in listed if worker.has_looked]
        wait_ms = 0 if self.term.is_clean else self._settings.confirm_ms + SETTLE_MS
        if listed and 2 * len(looked) <= len(listed):
            self._looked_ms = now_ms
        if now_ms < self._looked_ms + max(wait_ms, SETTLE_MS):
            return False
        limit_ms = self.started_ms + 2 * self._settings.run_lease_ms
        if not self._unseen or now_ms >= limit_ms:
            counts = {"restored": len(self._restored), "unseen": len(self._unseen)}
            log.info("settled", **counts)
            self._restored.clear()
            return True
        return False

    def note_seen(self, worker_id: str) -> None:
        """Note the first look at a worker: what runs there is known."""
        self._unseen.discard(worker_id)

    def describe_live(self, jobs_of_worker: dict[str, list[str]]) -> LiveRuns:
        """Return the jobs on each worker, those of unseen workers included."""
        # A former owner's runs on workers that were not seen yet are not known.
        unseen = {worker_id: sorted(self._restored) for worker_id in self._unseen}
        return LiveRuns(self.term.token, {**jobs_of_worker, **unseen})
