"""Overview of jobs for operators: counts, recently ended jobs and open jobs."""

import heapq
from collections import deque
from collections.abc import Mapping
from typing import Any

from bergamotgap.domain.folding import Applied, Effect, Stamp
from bergamotgap.domain.records import Ended, Record
from bergamotgap.domain.work_items import Job
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.streams import Stream

# Applies to ended and to open jobs separately; the newest ones are listed.
MAX_LISTED_JOBS = 500


class RecentJobs:
    """Tracks the jobs that ended while this process followed the stream."""

    def __init__(self, work: Stream[WorkState]) -> None:
        self._work = work
        self._ended_jobs: deque[str] = deque(maxlen=MAX_LISTED_JOBS)
        work.add_observer(self._handle_record)

    def _handle_record(self, stamp: Stamp, record: Record, effect: Effect) -> None:
        if not isinstance(record, Ended) or not isinstance(effect, Applied):
            return
        if record.job is not None:
            self._ended_jobs.append(record.job)

    def describe(self) -> Mapping[str, Any]:
        """Return the counts and the jobs, the most recently accepted one first."""
        state = self._work.state
        listed = heapq.nlargest(
            MAX_LISTED_JOBS, state.list_open_jobs(), key=_get_sort_key
        )
        for name in self._ended_jobs:
            job = state.find_job(name)
            if job is not None:
                listed.append(job)
        listed.sort(key=_get_sort_key, reverse=True)
        return {
            "counts": state.counts,
            "recent": [_describe_job(job) for job in listed],
        }


def _get_sort_key(job: Job) -> tuple[int, str]:
    return job.accepted_ms, job.job


def _describe_job(job: Job) -> dict[str, Any]:
    """Return a job for display, without its body and its request id."""
    ended = job.ended
    return {
        "job": job.job,
        "caller": job.caller,
        "entry": job.entry,
        "owner": job.owner,
        "accepted_ms": job.accepted_ms,
        "deadline_at_ms": job.deadline_at_ms,
        "outcome": ended.outcome if ended is not None else None,
        "reason": ended.reason if ended is not None else None,
    }
