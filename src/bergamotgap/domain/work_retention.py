"""Forget ended work in time and bound the results that are kept."""

import heapq
from dataclasses import replace

from bergamotgap.domain.work_items import Claim, Job

# Results in records are at most 22 KiB each as base64, and many may end while they are
# kept. Above this total the oldest are left to the workers that made them.
MAX_RESULT_BYTES = 32 << 20


class Retention:
    """Remove items from the given jobs and claims when they are due.

    What is removed depends only on the items, so that a state restored from a snapshot
    goes on in the same way. Entries in the heaps whose item has changed since are
    passed over.
    """

    def __init__(self, jobs: dict[str, Job], claims: dict[str, Claim]) -> None:
        self._jobs = jobs
        self._claims = claims
        self._due: list[tuple[int, str, bool]] = []
        self._results: list[tuple[int, str, bool]] = []
        self.result_bytes = 0
        for job in jobs.values():
            self._note(job)
        for claim in claims.values():
            self._note(claim)

    def add(self, item: Job | Claim) -> None:
        """Note an item that has got its time to be forgotten."""
        self._note(item)
        self._limit_results()

    def _note(self, item: Job | Claim) -> None:
        if item.forget_at_ms is None:
            return
        is_job = isinstance(item, Job)
        name = item.job if isinstance(item, Job) else item.key
        heapq.heappush(self._due, (item.forget_at_ms, name, is_job))
        size = _size_result(item)
        if size:
            self.result_bytes += size
            heapq.heappush(self._results, (item.ended_offset, name, is_job))

    def remove_due(self, log_ms: int) -> list[Job]:
        """Remove what is due by the log's clock; return the removed jobs."""
        forgotten = []
        while self._due and self._due[0][0] <= log_ms:
            due_ms, name, is_job = heapq.heappop(self._due)
            item = self._find(name, is_job)
            if item is None or item.forget_at_ms != due_ms:
                continue
            self.result_bytes -= _size_result(item)
            if isinstance(item, Job):
                del self._jobs[name]
                forgotten.append(item)
            else:
                del self._claims[name]
        return forgotten

    def _find(self, name: str, is_job: bool) -> Job | Claim | None:
        return self._jobs.get(name) if is_job else self._claims.get(name)

    def _limit_results(self) -> None:
        while self.result_bytes > MAX_RESULT_BYTES:
            offset, name, is_job = heapq.heappop(self._results)
            item = self._find(name, is_job)
            if item is None or item.ended is None or item.ended_offset != offset:
                continue
            self.result_bytes -= _size_result(item)
            ended = replace(item.ended, result_inline=None)
            if isinstance(item, Job):
                self._jobs[name] = replace(item, ended=ended)
            else:
                self._claims[name] = replace(item, ended=ended)


def _size_result(item: Job | Claim) -> int:
    return len(item.ended.result_inline or "") if item.ended is not None else 0
