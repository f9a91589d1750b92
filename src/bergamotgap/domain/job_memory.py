"""Memory that a job takes, by estimate, and shares in the memory for jobs."""

from dataclasses import dataclass

from bergamotgap.domain.fleet import JobSpec

JOB_BYTES = 1500
# A step as it is specified, in each of its occurrences, and each of its tasks.
SPECIFIED_STEP_BYTES = 300
STEP_BYTES = 300
TASK_BYTES = 550
# An entry of a tuple of numbers, and the number.
NUMBER_BYTES = 40
# Jobs up to this size may use a part of the memory that larger ones leave free.
SMALL_JOB_BYTES = 64 << 10
SMALL_JOB_PART = 8
# A customer holds this many times the memory that is left free, at most.
CUSTOMER_TO_FREE = 2


@dataclass(frozen=True, slots=True)
class HeldJobs:
    """The memory that jobs take, of all customers and of one."""

    total_bytes: int
    customer_bytes: int


def measure_spec(spec: JobSpec) -> int:
    """Return the bytes that the specification of a job takes."""
    return len(spec.payload) + sum(
        SPECIFIED_STEP_BYTES
        + len(step.image)
        + len(step.data_rack)
        + len(step.requirement)
        + len(step.after) * NUMBER_BYTES
        for step in spec.steps
    )


def measure_job(spec: JobSpec) -> int:
    """Return the bytes that a job takes once all its occurrences have begun."""
    steps = sum(STEP_BYTES + step.count * TASK_BYTES for step in spec.steps)
    return JOB_BYTES + measure_spec(spec) + steps * spec.occurrences


def is_too_large(spec: JobSpec, budget_bytes: int) -> bool:
    """Return whether a job never fits into the memory for jobs."""
    return not has_job_memory(spec, HeldJobs(0, 0), budget_bytes)


def has_job_memory(spec: JobSpec, held: HeldJobs, budget_bytes: int) -> bool:
    """Return whether a job fits beside others, and leaves their shares free.

    Callers without a key can't be told apart, so only the size of their jobs counts. A
    customer's limit follows what is free: one alone may take two thirds, and several
    leave room for the next.
    """
    needed = measure_job(spec)
    free = budget_bytes - held.total_bytes - needed
    reserve = 0 if needed <= SMALL_JOB_BYTES else budget_bytes // SMALL_JOB_PART
    if free < reserve:
        return False
    return not spec.customer or (
        held.customer_bytes + needed <= free * CUSTOMER_TO_FREE
    )
