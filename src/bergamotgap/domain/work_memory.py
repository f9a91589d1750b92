"""Estimates the memory that the jobs and claims of the `work` stream take."""

# A job or claim, with its ids and times, but without its body and result.
ITEM_BYTES = 2300
# Bodies and results are held in the state and, for a moment, in its encoded copy.
CONTENT_COPIES = 2
# The body of a job that is on its way to the log: as it was received, in its record,
# and in the batches that are sent and read.
SUBMITTED_COPIES = 5
# Recent records of the stream are kept for the other hosts, up to this size and this
# part of the memory for jobs.
MAX_TAIL_BYTES = 8 << 20
TAIL_PART = 8


def limit_tail(job_bytes: int) -> int:
    """Return the size of the records to keep, of so much memory for jobs."""
    return min(MAX_TAIL_BYTES, job_bytes // TAIL_PART)


def measure_submission(body_bytes: int) -> int:
    """Return the bytes that a job takes until it is accepted."""
    return ITEM_BYTES + body_bytes * SUBMITTED_COPIES


def measure_work(items: int, content_bytes: int) -> int:
    """Return the bytes that so many jobs and claims take with their content."""
    return items * ITEM_BYTES + content_bytes * CONTENT_COPIES
