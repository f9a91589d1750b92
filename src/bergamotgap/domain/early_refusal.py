"""Decides which new jobs can't be served while they have value; performs no I/O."""

import math
import zlib
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from bergamotgap.domain.amounts import NOTHING, Amount, total
from bergamotgap.domain.customer_shares import EXCESS
from bergamotgap.domain.room_forecast import (
    MAX_TIME_MS,
    TIME_STEP_MS,
    Room,
)
from bergamotgap.domain.task_placement import LATE, ON_TIME, JobRank

# Callers are told to return in whole seconds, one at least.
MIN_RETRY_MS = 1000
# Returns are spread over this time. Callers return within three seconds at most, so
# after the shortest wait all can still be served.
RETRY_SPREAD_MS = 1000
# Customers that hold their share or more return this much later than the others.
OVER_SHARE_DELAY_MS = 300
# On-time work that was accepted within this time is expected to go on arriving.
INFLOW_PERIOD_MS = 1500
MIN_INFLOW_JOBS = 6
# Differences of sums of work below this come from rounding (1/1000 core-ms).
WORK_TOLERANCE = 1e-3
# Class, whether the customer holds more than its share, rank.
QueueKey = tuple[int, bool, JobRank]


class RefusalReason(StrEnum):
    """Why a job is refused, as callers are told."""

    NO_CAPACITY = "no_capacity"
    OVER_SHARE = "over_share"


@dataclass(frozen=True)
class QueuedJob:
    """A job that waits, or is submitted, and how much time it has left.

    `late_rank` is its rank once it can't be on time. It has value until `value_ms` from
    now, and is on time until `on_time_ms` from now.
    """

    customer: str
    work: Amount
    work_class: int
    is_over_share: bool
    rank: JobRank
    late_rank: JobRank
    on_time_ms: float
    value_ms: float

    @property
    def key(self) -> QueueKey:
        """Return the place in the order of the queue."""
        return (self.work_class, self.is_over_share, self.rank)

    @property
    def late_key(self) -> QueueKey:
        """Return the place once the job can't be on time."""
        late_class = max(LATE, self.work_class)
        return (late_class, self.is_over_share, self.late_rank)


class Inflow:
    """On-time work that was accepted recently, as a rate."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[int, Amount]] = deque()

    def record(self, at_ms: int, work: Amount) -> None:
        """Record a job that was accepted and can be on time."""
        self._arrivals.append((at_ms, work))

    def measure(self, now_ms: int) -> Amount:
        """Return the work that arrives per ms; none if few jobs arrive.

        Few jobs don't tell whether more will come.
        """
        while self._arrivals and now_ms - self._arrivals[0][0] >= INFLOW_PERIOD_MS:
            self._arrivals.popleft()
        count = len(self._arrivals)
        if count < MIN_INFLOW_JOBS:
            return NOTHING
        # Half a standard deviation less than what was counted.
        factor = (1 - 0.5 / math.sqrt(count)) / INFLOW_PERIOD_MS
        return total([work for _, work in self._arrivals]).scale(factor)


class KnownQueue:
    """The jobs that wait, played in the order of placement without later arrivals."""

    def __init__(
        self,
        room: Room,
        inflow: Amount,
        jobs: Iterable[QueuedJob],
        held_back: Iterable[QueuedJob] = (),
    ) -> None:
        self.room = room
        # What is left of the room if on-time work goes on to arrive.
        self.late_room = room.add_inflow(inflow)
        self._keys: list[QueueKey] = []
        # Work up to and including each of the keys.
        self._totals: list[Amount] = []
        self._added: list[tuple[QueueKey, Amount]] = []
        # What the cap of a customer holds back goes before its own jobs only.
        self._held_back: dict[str, list[tuple[QueueKey, Amount]]] = {}
        for job in held_back:
            of_customer = self._held_back.setdefault(job.customer, [])
            of_customer.append((job.key, job.work))
        # Work of jobs that can be on time, in total and by customer.
        self._on_time = NOTHING
        self._on_time_of: dict[str, Amount] = {}
        late: list[QueuedJob] = []
        excess: list[QueuedJob] = []
        on_time: list[QueuedJob] = []
        lists = {ON_TIME: on_time, LATE: late, EXCESS: excess}
        for job in jobs:
            lists[job.work_class].append(job)
            if job.work_class == ON_TIME:
                self._record_on_time(job)
        late += self._play_on_time(on_time, room)
        self._play_late(late)
        for is_over_share in (False, True):
            group = [job for job in excess if job.is_over_share is is_over_share]
            self._play_late(self._play_on_time(group, self.late_room))

    def _play_on_time(self, jobs: Iterable[QueuedJob], room: Room) -> list[QueuedJob]:
        """Add the jobs that can be on time behind all others; return the rest."""
        return [
            job
            for job in sorted(jobs, key=lambda job: job.key)
            if not self._play(job.key, job.work, job.on_time_ms, room)
        ]

    def _play_late(self, jobs: Iterable[QueuedJob]) -> None:
        """Add the jobs that can end while they have value behind all others.

        The rest holds nobody up, since it is passed.
        """
        for job in sorted(jobs, key=lambda job: job.late_key):
            self._play(job.late_key, job.work, job.value_ms, self.late_room)

    def _play(self, key: QueueKey, work: Amount, until_ms: float, room: Room) -> bool:
        ahead = (self._totals[-1] if self._totals else NOTHING) + work
        # Few distinct times, so that most of them are measured once.
        if not room.can_do(ahead, math.ceil(until_ms / TIME_STEP_MS) * TIME_STEP_MS):
            return False
        self._keys.append(key)
        self._totals.append(ahead)
        return True

    def _record_on_time(self, job: QueuedJob) -> None:
        self._on_time += job.work
        of_customer = self._on_time_of.get(job.customer, NOTHING)
        self._on_time_of[job.customer] = of_customer + job.work

    def add(self, job: QueuedJob) -> None:
        """Add a job that was accepted after the others."""
        self._added.append((job.key, job.work))
        if job.work_class == ON_TIME:
            self._record_on_time(job)

    def measure_ahead(self, key: QueueKey, customer: str) -> Amount:
        """Return the waiting work that goes before a customer's new job."""
        position = bisect_right(self._keys, key)
        ahead = self._totals[position - 1] if position else NOTHING
        for added_key, work in (*self._added, *self._held_back.get(customer, ())):
            if added_key <= key:
                ahead += work
        return ahead

    def is_taken_by_others(self, customer: str, until_ms: float) -> bool:
        """Return whether waiting on-time work of others takes the room until then."""
        waiting = self._on_time - self._on_time_of.get(customer, NOTHING)
        if max(waiting.cpu, waiting.memory_mb, waiting.gpus) <= WORK_TOLERANCE:
            return False
        return not self.room.can_do(waiting, until_ms)


@dataclass(frozen=True)
class Refusal:
    """Why a job is refused, and the times from now that this was decided by.

    `ahead_ms` is the time for what goes before it and `end_ms` when it could end.
    """

    reason: RefusalReason
    ahead_ms: float
    end_ms: float
    retry_ms: int


def check_job(
    queue: KnownQueue, job_id: str, job: QueuedJob, path_ms: float, age_ms: float
) -> Refusal | None:
    """Return why a new job can't be served in time; None if it can.

    `path_ms` is how long the job takes at least, `age_ms` the time since the queue was
    read, by which less work is left.
    """

    def can_end(ahead: Amount, room: Room, until_ms: float) -> bool:
        is_done = room.can_do(ahead + job.work, until_ms + age_ms)
        return path_ms <= until_ms and is_done

    is_excess = job.work_class == EXCESS
    ahead = queue.measure_ahead(job.key, job.customer)
    first_ahead = ahead
    start_ms = job.on_time_ms - path_ms
    if not is_excess or not queue.is_taken_by_others(job.customer, start_ms + age_ms):
        room = queue.room if job.work_class == ON_TIME else queue.late_room
        if can_end(ahead, room, job.on_time_ms):
            return None
        ahead = queue.measure_ahead(job.late_key, job.customer)
        if can_end(ahead, queue.late_room, job.value_ms):
            return None
    # When it could be on time if nothing else came; a peak may end at any time.
    first_end_ms = queue.room.measure_ms(first_ahead + job.work) - age_ms
    room_ms = first_end_ms - job.on_time_ms
    end_ms = queue.late_room.measure_ms(ahead + job.work) - age_ms
    return Refusal(
        RefusalReason.OVER_SHARE if is_excess else RefusalReason.NO_CAPACITY,
        max(0.0, queue.late_room.measure_ms(ahead) - age_ms),
        max(path_ms, end_ms),
        choose_retry_ms(job_id, room_ms, is_excess or job.is_over_share),
    )


def estimate_times(
    queue: KnownQueue, job: QueuedJob, path_ms: float, age_ms: float
) -> tuple[float, float]:
    """Return the time for what goes before an accepted job, and when it could end."""
    room = queue.room if job.work_class == ON_TIME else queue.late_room
    ahead = queue.measure_ahead(job.key, job.customer)
    end_ms = room.measure_ms(ahead + job.work) - age_ms
    return max(0.0, room.measure_ms(ahead) - age_ms), max(path_ms, end_ms)


def choose_retry_ms(job_id: str, room_ms: float, is_over_share: bool) -> int:
    """Return when a refused job may return, where room is expected in `room_ms`.

    Returns are spread by the job's id, and customers that hold less return first.
    """
    spread = zlib.crc32(job_id.encode()) / 2**32 * RETRY_SPREAD_MS
    delay_ms = OVER_SHARE_DELAY_MS if is_over_share else 0
    wait_ms = min(max(MIN_RETRY_MS, room_ms), MAX_TIME_MS)
    return int(wait_ms + spread + delay_ms)
