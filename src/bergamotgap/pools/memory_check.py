"""Refuses new jobs that the process has no memory for."""

from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import JobSpec
from bergamotgap.domain.job_memory import HeldJobs, has_job_memory, measure_job
from bergamotgap.pools.job_table import NotStored

# Jobs leave the memory some time after their end; callers are told to wait for a part
# of it.
RETRY_MS = 5000

log = get_logger(__name__)


def build_memory_check(
    pool: str, measure_jobs: Callable[[str], HeldJobs], budget_bytes: int
) -> Callable[[JobSpec], NotStored | None]:
    """Return a function that returns the refusal of a job beyond the budget.

    `measure_jobs` returns what the jobs of all and of a customer take.
    """

    def check(spec: JobSpec) -> NotStored | None:
        held = measure_jobs(spec.customer)
        if has_job_memory(spec, held, budget_bytes):
            return None
        log.warning(
            "job refused",
            job=spec.job_id,
            pool=pool,
            reason="memory",
            customer=spec.customer,
            customer_kb=held.customer_bytes // 1024,
            held_kb=held.total_bytes // 1024,
            needed_kb=measure_job(spec) // 1024,
            budget_kb=budget_bytes // 1024,
        )
        return NotStored("memory", RETRY_MS)

    return check
