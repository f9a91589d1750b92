"""Customers of one pool: what they submit beyond their weight, and what they use."""

from collections.abc import Collection, Iterable

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.customer_shares import CustomerBuckets, ShareUse
from bergamotgap.domain.customers import Customers
from bergamotgap.domain.fleet import JobSpec, Size
from bergamotgap.domain.job_state import Job
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.tracked_worker import TrackedWorker

log = get_logger(__name__)


class CustomerAccounts:
    """Mark the jobs that exceed a customer's weight, and measure what customers use.

    `excess` counts the jobs marked in this term. Has no effect while the configuration
    holds no customers.
    """

    def __init__(
        self, pool: str, job_table: JobTable, window_ms: int, clock: Clock
    ) -> None:
        self._pool = pool
        self._job_table = job_table
        self._clock = clock
        self._customers: Customers | None = None
        self._mean_weight = 1.0
        self._buckets = CustomerBuckets(window_ms)
        self.excess = 0

    @property
    def has_customers(self) -> bool:
        """Whether the configuration holds customers."""
        return self._customers is not None

    def update_customers(self, customers: Customers | None) -> None:
        """Apply the customers of a newer configuration."""
        self._customers = customers
        weights = [c.weight for c in customers.by_name.values()] if customers else []
        self._mean_weight = sum(weights) / len(weights) if weights else 1.0

    def restore(self) -> None:
        """Rebuild the buckets from the restored jobs of the job table."""
        self._buckets.restore(
            (job.spec.customer, job.arrived_ms)
            for job in self._job_table.pending.values()
            if job.spec.customer and not job.spec.is_excess
        )

    def would_exceed(self, spec: JobSpec) -> bool:
        """Return whether a job accepted now would be beyond its customer's weight."""
        customer = self._customers.get(spec.customer) if self._customers else None
        return customer is not None and self._buckets.is_empty(
            customer.name, customer.weight, self._clock.monotonic_ms()
        )

    def mark_excess(self, spec: JobSpec) -> JobSpec:
        """Return the specification of a new job, marked if it is in excess."""
        customer = self._customers.get(spec.customer) if self._customers else None
        now_ms = self._clock.monotonic_ms()
        is_excess = customer is not None and not self._buckets.take(
            customer.name, customer.weight, now_ms
        )
        if is_excess and customer is not None:
            self.excess += 1
            log.info(
                "excess marked",
                job=spec.job_id,
                pool=self._pool,
                customer=customer.name,
                weight=customer.weight,
            )
        if spec.is_excess == is_excess:
            return spec
        return msgspec.structs.replace(spec, is_excess=is_excess)

    def measure_use(
        self,
        links: Iterable[TrackedWorker],
        usable: Collection[TrackedWorker],
        joining: Iterable[str] = (),
    ) -> ShareUse | None:
        """Return the use of the usable workers' capacity by the runs on all `links`.

        Customers in `joining` count as if they had a job in the pool. Returns None if
        the configuration holds no customers.
        """
        if self._customers is None:
            return None
        runs: list[tuple[str, Size]] = []
        for link in links:
            for task_id, live in link.runs.items():
                job = self._job_table.jobs.get(task_id.job)
                if job is not None:
                    runs.append((job.spec.customer, live.task.step.size))
        active = {customer for customer, _ in runs}
        active.update(
            job.spec.customer
            for job in self._job_table.pending.values()
            if _has_begun_occurrence(job)
        )
        active.update(joining)
        use = ShareUse(
            Size(
                sum(link.info.capacity.cpu for link in usable),
                sum(link.info.capacity.memory_mb for link in usable),
                sum(link.info.capacity.gpus for link in usable),
            ),
            {name: self.get_weight(name) for name in active},
        )
        for name, size in runs:
            use.record(name, size)
        return use

    def get_weight(self, name: str) -> float:
        """Return a customer's weight; jobs without a known one have the mean weight."""
        customer = self._customers.get(name) if self._customers else None
        return self._mean_weight if customer is None else customer.weight


def _has_begun_occurrence(job: Job) -> bool:
    return next(job.steps, None) is not None
