"""Lines about leases: which were sent, how long they may last, what ended by them."""

from collections.abc import Collection

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId
from bergamotgap.pools.worker_life import WorkerLife
from bergamotgap.ports.fleet import Lease

# A bound that moves by less has no line of its own.
MIN_BOUND_CHANGE_MS = 500
# Most workers that a line names.
MAX_NAMES = 8

log = get_logger(__name__)


class LeaseLog:
    """Tell of the leases of one worker, a bounded number of times.

    Polls renew a lease, so they have a line only where they begin a sequence.
    """

    def __init__(self, worker_id: str, life: WorkerLife, clock: Clock) -> None:
        self._worker_id = worker_id
        self._life = life
        self._clock = clock
        # Number of the life whose sequence of leases has a line; -1 after a silence.
        self._told_life = -1
        # End of the last bound for a misread lease that has a line.
        self._told_misread_end_ms = 0

    def record_start(
        self, task_id: TaskId, run: int, incarnation_ms: int, lease: Lease
    ) -> None:
        """Log the lease that is sent with a start."""
        self._told_life = self._life.number
        age_ms, ends_in_ms = self._measure_lease()
        log.info(
            "lease sent",
            order="start",
            task=task_id,
            run=run,
            worker=self._worker_id,
            life=incarnation_ms,
            life_number=self._life.number,
            deadline_ms=lease.deadline_ms,
            age_ms=age_ms,
            ends_in_ms=ends_in_ms,
        )

    def record_poll(self, incarnation_ms: int, lease: Lease) -> None:
        """Log the lease of a poll if it is the first of a life or after a silence."""
        if not lease.deadline_ms or self._told_life == self._life.number:
            return
        self._told_life = self._life.number
        age_ms, ends_in_ms = self._measure_lease()
        log.info(
            "lease sent",
            order="poll",
            worker=self._worker_id,
            life=incarnation_ms,
            life_number=self._life.number,
            deadline_ms=lease.deadline_ms,
            age_ms=age_ms,
            ends_in_ms=ends_in_ms,
        )

    def _measure_lease(self) -> tuple[int, int]:
        """Return the age of the clock reading, -1 without one, and the time left."""
        now_ms, reading = self._clock.monotonic_ms(), self._life.clock_reading
        age_ms = now_ms - reading.at_ms if reading is not None else -1
        return age_ms, self._life.deadline_end_ms - now_ms

    def record_misread(self, incarnation_ms: int, cause: str) -> None:
        """Log that a lease in a former life's clock may last, if the bound moved."""
        end_ms = self._life.misread_end_ms
        if abs(end_ms - self._told_misread_end_ms) <= MIN_BOUND_CHANGE_MS:
            return
        self._told_misread_end_ms = end_ms
        log.warning(
            "lease may be misread",
            worker=self._worker_id,
            life=incarnation_ms,
            life_number=self._life.number,
            cause=cause,
            until_ms=end_ms - self._clock.monotonic_ms(),
        )

    def record_silence(self, runs: int, incarnation_ms: int, answered_ms: int) -> None:
        """Log that the worker fell silent, and until when its runs may last."""
        self._told_life = -1
        bound, now_ms = self._life.lease_bound, self._clock.monotonic_ms()
        log.warning(
            "worker silent",
            worker=self._worker_id,
            runs=runs,
            life=incarnation_ms,
            silent_ms=now_ms - answered_ms,
            bound=bound.name,
            ends_in_ms=bound.end_ms - now_ms,
        )

    def record_unanswered_start(
        self, task_id: TaskId, run: int, incarnation_ms: int
    ) -> None:
        """Log a start without an answer, and until when its run may last."""
        bound = self._life.lease_bound
        log.info(
            "start unanswered",
            task=task_id,
            run=run,
            worker=self._worker_id,
            life=incarnation_ms,
            bound=bound.name,
            ends_in_ms=bound.end_ms - self._clock.monotonic_ms(),
        )

    def record_lost_run(
        self, task_id: TaskId, run: int, answered_ms: int, is_current: bool
    ) -> None:
        """Log a run that is gone with its lease; a warning if its task waits again."""
        bound, now_ms = self._life.lease_bound, self._clock.monotonic_ms()
        if not is_current:
            log.info(
                "run lost",
                task=task_id,
                run=run,
                worker=self._worker_id,
                reason="lease_ended",
                is_current=False,
                bound=bound.name,
                silent_ms=now_ms - answered_ms,
                over_ms=now_ms - bound.end_ms,
            )
            return
        log.warning(
            "run lost",
            task=task_id,
            run=run,
            worker=self._worker_id,
            reason="lease_ended",
            is_current=True,
            bound=bound.name,
            silent_ms=now_ms - answered_ms,
            over_ms=now_ms - bound.end_ms,
        )


def log_former_runs(
    pool: str,
    token: int,
    jobs: int,
    ended_jobs: int,
    workers: Collection[str],
    bound_ms: int,
    is_former_owner_stopped: bool,
    are_starts_recorded: bool,
) -> None:
    """Log what a new owner assumes of the runs of a former one.

    `workers` are those that the records of the jobs name.
    """
    log.info(
        "former runs assumed",
        pool=pool,
        token=token,
        jobs=jobs,
        ended_jobs=ended_jobs,
        worker_count=len(workers),
        workers=name_workers(workers),
        bound_ms=bound_ms,
        is_former_owner_stopped=is_former_owner_stopped,
        are_starts_recorded=are_starts_recorded,
    )


def log_settled(
    job_id: str, unseen: Collection[str], proof: str, waited_ms: int, bound_ms: int
) -> None:
    """Log that a restored job may start tasks again; `unseen` were not polled."""
    log.info(
        "settled",
        job=job_id,
        unseen=len(unseen),
        unseen_workers=name_workers(unseen),
        proof=proof,
        waited_ms=waited_ms,
        bound_ms=bound_ms,
    )


def name_workers(workers: Collection[str]) -> str:
    """Return the ids of workers, of the first ones only if there are many."""
    return ",".join(sorted(workers)[:MAX_NAMES])
