"""Refuses new jobs of a pool that can't be served while they have value."""

import dataclasses

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.customer_shares import EXCESS, ShareUse
from bergamotgap.domain.early_refusal import (
    Inflow,
    KnownQueue,
    QueuedJob,
    Refusal,
    check_job,
    estimate_times,
)
from bergamotgap.domain.fleet import JobSpec, sum_sizes
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.offered_load import MAX_PERIOD_MS
from bergamotgap.domain.placement_explanation import (
    AdmissionExplanation,
    AdmissionFigures,
)
from bergamotgap.domain.room_forecast import Room, measure_hosts
from bergamotgap.domain.task_placement import LATE, ON_TIME, TOO_LATE
from bergamotgap.pools.customer_accounts import CustomerAccounts
from bergamotgap.pools.customer_usage import CustomerUsage
from bergamotgap.pools.job_table import JobTable, NotStored
from bergamotgap.pools.queue_reader import QueueReader
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.settings import PoolSettings

# After this time an owner knows its workers and has learned what runs there.
SETTLING_MS = 2000
# What the host controller said is known for this long: ten of its rounds.
HOSTS_KNOWN_MS = 1000
# A worker whose quarantine ends within this time is room: most follow an order without
# an answer, or a start that was refused as busy, and end before a job is late.
SHORT_QUARANTINE_MS = 1000
# How long the queue that was read is used, at least and as a multiple of the time that
# reading it took.
MIN_QUEUE_AGE_MS = 50
QUEUE_AGE_FACTOR = 20

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class QueueReading:
    """What ran and waited in the pool at `read_ms`; no queue without known hosts."""

    queue: KnownQueue | None
    share_use: ShareUse | None
    read_ms: int


@dataclasses.dataclass(frozen=True)
class CheckedJob:
    """A new job as it was checked against a queue, and its refusal, if any."""

    queue: KnownQueue
    job: QueuedJob
    path_ms: float
    refusal: Refusal | None


class AdmissionCheck:
    """Check new jobs against the queue ahead of them and the room of the pool.

    `refused` counts the jobs refused in this term.
    """

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        run_tracker: RunTracker,
        customer_accounts: CustomerAccounts,
        customer_usage: CustomerUsage,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._customer_accounts = customer_accounts
        self._reader = QueueReader(
            job_table, run_tracker, customer_accounts, customer_usage
        )
        self._settings = settings
        self._clock = clock
        # 1/1000 cores that arrive, and that are free elsewhere, as of a time (ms).
        self._arriving_cpu, self._free_cpu = 0, 0
        self._hosts_known_ms: int | None = None
        self._reading = QueueReading(None, None, 0)
        self._read_again_ms = 0
        # Accepted jobs that are not durable, so not pending, yet.
        self._accepted: dict[str, QueuedJob] = {}
        # Jobs that were refused lately, and when.
        self._refused_ms: dict[str, int] = {}
        self._inflow = Inflow()
        self.refused = 0

    def record_hosts(self, arriving_cpu: int | None, free_cpu: int) -> None:
        """Record the 1/1000 cores that can arrive; None if the sender can't tell."""
        if arriving_cpu is not None:
            self._arriving_cpu, self._free_cpu = arriving_cpu, free_cpu
            self._hosts_known_ms = self._clock.monotonic_ms()

    def check(self, spec: JobSpec) -> NotStored | None:
        """Return the refusal of a new job; None if it is accepted now."""
        now_ms = self._clock.monotonic_ms()
        job = Job(spec, now_ms)
        if self._find_exemption(job, now_ms):
            return None
        if now_ms >= self._read_again_ms:
            self._refresh_reading(now_ms)
        checked = self._check_reading(job, self._reading, now_ms)
        if checked is None:
            return None
        new, refusal = checked.job, checked.refusal
        if refusal is None:
            checked.queue.add(new)
            self._accepted[spec.job_id] = new
            if new.work_class == ON_TIME:
                self._inflow.record(now_ms, new.work)
            return None
        self._record_refusal(spec, checked, refusal, now_ms)
        return NotStored(refusal.reason, refusal.retry_ms)

    def explain(self, spec: JobSpec) -> AdmissionExplanation:
        """Return what `check` would decide about a new job, and from which figures."""
        now_ms = self._clock.monotonic_ms()
        job = Job(spec, now_ms)
        exemption = self._find_exemption(job, now_ms)
        if exemption:
            return AdmissionExplanation(True, exemption)
        reading = self._reading
        if now_ms >= self._read_again_ms:
            reading = self._read_queue(now_ms)
        checked = self._check_reading(job, reading, now_ms)
        if checked is None:
            is_known = reading.queue is not None
            reason = "no_objective" if is_known else "capacity_not_known"
            return AdmissionExplanation(True, reason)
        refusal, path_ms = checked.refusal, checked.path_ms
        age_ms = now_ms - reading.read_ms
        ahead_ms, end_ms = (
            (refusal.ahead_ms, refusal.end_ms)
            if refusal
            else estimate_times(checked.queue, checked.job, path_ms, age_ms)
        )
        return AdmissionExplanation(
            refusal is None,
            refusal.reason.value if refusal else "in_time",
            AdmissionFigures(
                _round(ahead_ms),
                _round(end_ms),
                _round(path_ms),
                _round(checked.job.on_time_ms),
                _round(checked.job.value_ms),
                _round(checked.queue.room.cpu),
                self._arriving_cpu,
                self._free_cpu,
            ),
            refusal.retry_ms if refusal else 0,
        )

    def _find_exemption(self, job: Job, now_ms: int) -> str:
        """Return why a job is accepted unchecked; empty if it is checked."""
        if not self._settings.refuses_early:
            return "not_enabled"
        if self._run_tracker.queues.get(job) is None:
            return "queue_not_known"
        if not self._may_refuse(now_ms):
            return "capacity_not_known"
        return "" if _has_estimate(job.spec) else "no_estimate"

    def _check_reading(
        self, job: Job, reading: QueueReading, now_ms: int
    ) -> CheckedJob | None:
        """Return the check of a new job; None if there is nothing to check it by."""
        queue = self._run_tracker.queues.get(job)
        if queue is None or reading.queue is None:
            return None
        run_times = self._run_tracker.run_times
        work = run_times.estimate_work(job.spec)
        path_ms = run_times.expect_path(job).remaining_ms
        rank = self._run_tracker.rank_job(job, now_ms)
        if rank[0] == TOO_LATE:
            # Its path alone is too long, which the check finds.
            rank = (LATE, queue.urgency, False, path_ms)
        new = self._reader.describe_job(
            job, queue, rank, work, now_ms, reading.share_use
        )
        if new.on_time_ms <= 0:
            return None
        age_ms = now_ms - reading.read_ms
        refusal = check_job(reading.queue, job.job_id, new, path_ms, age_ms)
        return CheckedJob(reading.queue, new, path_ms, refusal)

    def _may_refuse(self, now_ms: int) -> bool:
        """Return whether the workers, their runs and the room to come are known."""
        ownership = self._run_tracker.ownership
        return (
            self._hosts_known_ms is not None
            and now_ms - self._hosts_known_ms <= HOSTS_KNOWN_MS
            and now_ms - ownership.started_ms >= SETTLING_MS
            and ownership.are_jobs_recovered()
        )

    def _record_refusal(
        self, spec: JobSpec, checked: CheckedJob, refusal: Refusal, now_ms: int
    ) -> None:
        self.refused += 1
        while self._refused_ms:
            oldest = next(iter(self._refused_ms))
            if now_ms - self._refused_ms[oldest] < MAX_PERIOD_MS:
                break
            del self._refused_ms[oldest]
        new = checked.job
        if spec.job_id not in self._refused_ms:
            # Hosts follow the offered load, and the job may return.
            self._refused_ms[spec.job_id] = now_ms
            self._job_table.offered_load.record(now_ms, new.work, spec.customer)
        log.info(
            "job refused early",
            job=spec.job_id,
            pool=self._pool,
            reason=refusal.reason.value,
            customer=spec.customer,
            excess=new.work_class == EXCESS,
            ahead_ms=_round(refusal.ahead_ms),
            room_cpu=_round(checked.queue.room.cpu),
            arriving_cpu=self._arriving_cpu,
            free_cpu=self._free_cpu,
            end_ms=_round(refusal.end_ms),
            objective_ms=_round(new.on_time_ms),
            retry_ms=refusal.retry_ms,
        )

    def _refresh_reading(self, now_ms: int) -> None:
        """Read the queue, and choose when to read it again."""
        self._accepted = self._list_accepted()
        self._reading = self._read_queue(now_ms)
        took_ms = self._clock.monotonic_ms() - now_ms
        age_ms = max(MIN_QUEUE_AGE_MS, QUEUE_AGE_FACTOR * took_ms)
        self._read_again_ms = now_ms + age_ms

    def _list_accepted(self) -> dict[str, QueuedJob]:
        return {
            job_id: added
            for job_id, added in self._accepted.items()
            if self._job_table.get_durable_phase(job_id) is None
        }

    def _read_queue(self, now_ms: int) -> QueueReading:
        """Return what runs and waits in the pool."""
        links = [
            link
            for link in self._run_tracker.links.values()
            if link.is_usable(now_ms + SHORT_QUARANTINE_MS)
            or (link.is_listed and not link.was_polled)
        ]
        use = self._customer_accounts.measure_use(
            self._run_tracker.links.values(), links
        )
        capacity = sum_sizes(*(link.info.capacity for link in links))
        runs, held = self._reader.measure_runs(links, now_ms)
        hosts = measure_hosts(
            capacity,
            held,
            self._arriving_cpu,
            self._free_cpu,
            self._settings.move_duration_ms,
        )
        if hosts is None:
            return QueueReading(None, use, now_ms)
        inflow = self._inflow.measure(now_ms)
        waiting, held_back = self._reader.list_waiting(now_ms, use)
        queue = KnownQueue(Room(hosts, runs), inflow, waiting, held_back)
        for added in self._list_accepted().values():
            queue.add(added)
        return QueueReading(queue, use, now_ms)


def _has_estimate(spec: JobSpec) -> bool:
    """Return whether the end of a job can be estimated from its submission."""
    if spec.repetitions or spec.start_at_ms:
        return False
    return all(step.estimated_ms and not step.is_long_running for step in spec.steps)


def _round(value: float) -> int:
    return int(min(value, 1e9))
