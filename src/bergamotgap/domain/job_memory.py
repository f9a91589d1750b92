"""Estimates the memory that a job takes, where it is submitted and at its owner."""

from bergamotgap.domain.fleet import JobSpec

JOB_BYTES = 1500
# A step as it is specified, in each of its occurrences, and each of its tasks.
SPECIFIED_STEP_BYTES = 300
STEP_BYTES = 300
TASK_BYTES = 550
# An entry of a tuple of numbers, and the number.
NUMBER_BYTES = 40


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
