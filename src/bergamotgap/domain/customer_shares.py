"""Shares of customers in scarce capacity, and what exceeds them; performs no I/O."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from bergamotgap.domain.clock import MS_PER_SECOND
from bergamotgap.domain.fleet import JobPhase, Size
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_placement import LATE, ON_TIME, JobRank
from bergamotgap.domain.task_placement import TOO_LATE as RANK_TOO_LATE

# Classes of work in the order of placement: ON_TIME and LATE as in a job's rank, then
# what customers submitted beyond their weight, then what is too late to be of value.
EXCESS, TOO_LATE = LATE + 1, LATE + 2
# Class, whether the customer holds more than its share, rank, position in the input.
ShareRank = tuple[int, bool, JobRank, int]
# Allows for the rounding of a level that is refilled in many small steps.
TOKEN_TOLERANCE = 1e-9


class CustomerBuckets:
    """Token buckets of `weight` jobs per second, one for each customer.

    A bucket holds the tokens of `window_ms`, so that a burst which the weight allows
    within that time is no excess, and at least one token.
    """

    def __init__(self, window_ms: int = MS_PER_SECOND) -> None:
        self._window_ms = window_ms
        # Tokens that are taken and not refilled yet, and as of when (monotonic, ms).
        self._taken: dict[str, tuple[float, int]] = {}
        # Arrivals of restored jobs (monotonic, ms) of customers without later jobs.
        self._restored_ms: dict[str, list[int]] = {}

    def restore(self, arrivals: Iterable[tuple[str, int]]) -> None:
        """Take the tokens of jobs that a former owner accepted, by customer and time.

        This is done when the next token of the customer is taken.
        """
        restored_ms: defaultdict[str, list[int]] = defaultdict(list)
        for customer, arrived_ms in sorted(arrivals, key=lambda arrival: arrival[1]):
            restored_ms[customer].append(arrived_ms)
        self._restored_ms = dict(restored_ms)

    def is_empty(self, customer: str, weight: float, now_ms: int) -> bool:
        """Return whether a job that arrives now would be in excess; takes no token."""
        if customer in self._restored_ms:
            restored = CustomerBuckets(self._window_ms)
            for arrived_ms in self._restored_ms[customer]:
                restored.take(customer, weight, arrived_ms)
            return restored.is_empty(customer, weight, now_ms)
        taken = self._measure_taken(customer, weight, now_ms)
        capacity = max(1.0, weight * self._window_ms / MS_PER_SECOND)
        return taken + 1 > capacity + TOKEN_TOLERANCE

    def take(self, customer: str, weight: float, now_ms: int) -> bool:
        """Take the token of a job; return whether there was one."""
        for arrived_ms in self._restored_ms.pop(customer, ()):
            self.take(customer, weight, arrived_ms)
        if self.is_empty(customer, weight, now_ms):
            return False
        taken = self._measure_taken(customer, weight, now_ms)
        self._taken[customer] = (taken + 1, now_ms)
        return True

    def _measure_taken(self, customer: str, weight: float, now_ms: int) -> float:
        taken, at_ms = self._taken.get(customer, (0.0, now_ms))
        return max(0.0, taken - weight * (now_ms - at_ms) / MS_PER_SECOND)


@dataclass
class _Use:
    """Reserved size of a customer's runs."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


class ShareUse:
    """Use of a pool's capacity by customer, during one placement pass.

    `weights` are those of the customers that run or wait in the pool.
    """

    def __init__(self, capacity: Size, weights: Mapping[str, float]) -> None:
        self._capacity = capacity
        self._weights = weights
        self._total_weight = sum(weights.values())
        self._use: defaultdict[str, _Use] = defaultdict(_Use)

    def record(self, customer: str, size: Size, count: int = 1) -> None:
        """Add runs of a customer."""
        use = self._use[customer]
        use.cpu += count * size.cpu
        use.memory_mb += count * size.memory_mb
        use.gpus += count * size.gpus

    def is_over_share(self, customer: str) -> bool:
        """Return whether a customer holds its share of its dominant resource or more.

        A customer that holds nothing is below its share, whatever its weight.
        """
        held = self.measure_held(customer)
        return held > 0 and held >= self.measure_share(customer)

    def measure_share(self, customer: str) -> float:
        """Return the part of the capacity that is a customer's by its weight."""
        return self._weights.get(customer, 0.0) / (self._total_weight or 1.0)

    def measure_held(self, customer: str) -> float:
        """Return the part of its dominant resource that a customer holds."""
        use = self._use.get(customer)
        if use is None:
            return 0.0
        return max(
            (
                used / capacity if capacity else 1.0
                for used, capacity in (
                    (use.cpu, self._capacity.cpu),
                    (use.memory_mb, self._capacity.memory_mb),
                    (use.gpus, self._capacity.gpus),
                )
                if used
            ),
            default=0.0,
        )


def classify_work(job: Job, rank: JobRank) -> int:
    """Return the class of a job's work in a pool that is shared by customers."""
    if rank[0] == RANK_TOO_LATE:
        return TOO_LATE
    return EXCESS if job.spec.is_excess and not _must_go_on(job) else rank[0]


def rank_with_shares(
    rank: JobRank, job: Job, use: ShareUse, position: int
) -> ShareRank:
    """Return the sort key of a job in a pass; the least goes first."""
    # Jobs that have begun are finished first: if others passed them between their
    # steps, all would be late.
    has_begun = job.phase is not JobPhase.QUEUED
    is_over_share = not has_begun and use.is_over_share(job.spec.customer)
    return (classify_work(job, rank), is_over_share, rank, position)


def _must_go_on(job: Job) -> bool:
    """Return whether a job is long-running and has begun, so its rank alone counts.

    Its availability is measured, and it can't be made up for later.
    """
    return job.is_long_running and job.phase is not JobPhase.QUEUED


def order_jobs(
    ranked: Iterable[tuple[JobRank, Job]], use: ShareUse | None
) -> Iterator[tuple[bool, Job]]:
    """Return the jobs in the order of placement, and whether each can be late.

    Can be late is all work but that which is on time and within its customer's weight.
    Starts that the caller records in `use` meanwhile move the later jobs of that
    customer behind those of customers below their share. Without `use`, the order is
    that of the ranks.
    """
    if use is None:
        for rank, job in sorted(ranked, key=lambda pair: pair[0]):
            yield rank[0] > ON_TIME, job
        return
    heap = [
        (rank_with_shares(rank, job, use, position), job)
        for position, (rank, job) in enumerate(ranked)
    ]
    heapq.heapify(heap)
    while heap:
        key, job = heapq.heappop(heap)
        # Use only grows during a pass, so each job is put back at most once.
        current = rank_with_shares(key[2], job, use, key[3])
        if current > key:
            heapq.heappush(heap, (current, job))
            continue
        yield key[0] > ON_TIME, job
