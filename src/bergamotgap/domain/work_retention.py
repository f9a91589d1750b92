"""Removes ended work when its retention expires and bounds the size of kept results."""

import heapq
from dataclasses import replace

from bergamotgap.domain.work_items import Claim, Job

# Limit on the total size of inline results. A single one has at most 22 KiB as base64,
# but many may be kept at the same time. Above this limit the oldest are dropped; only
# the workers that produced them still have them.
MAX_RESULT_BYTES = 32 << 20


class Retention:
    """Removes items from the given jobs and claims when their retention expires.

    Removal depends only on the items, so that a state restored from a snapshot behaves
    in the same way. Heap entries whose item has changed since are skipped.
    """

    def __init__(self, jobs: dict[str, Job], claims: dict[str, Claim]) -> None:
        self._jobs = jobs
        self._claims = claims
        # Heaps of (time to remove or offset of the end, job id or key, is a job).
        self._expiry_heap: list[tuple[int, str, bool]] = []
        self._result_heap: list[tuple[int, str, bool]] = []
        self.result_bytes = 0
        for job in jobs.values():
            self._schedule(job)
        for claim in claims.values():
            self._schedule(claim)

    def add(self, item: Job | Claim) -> None:
        """Add an item whose `forget_at_ms` has been set."""
        self._schedule(item)
        self._limit_results()

    def _schedule(self, item: Job | Claim) -> None:
        if item.forget_at_ms is None:
            return
        is_job = isinstance(item, Job)
        name = item.job if isinstance(item, Job) else item.key
        heapq.heappush(self._expiry_heap, (item.forget_at_ms, name, is_job))
        size = _size_result(item)
        if size:
            self.result_bytes += size
            heapq.heappush(self._result_heap, (item.ended_offset, name, is_job))

    def remove_expired(self, log_ms: int) -> list[Job]:
        """Remove the items due by the log's clock and return the removed jobs."""
        removed = []
        while self._expiry_heap and self._expiry_heap[0][0] <= log_ms:
            due_ms, name, is_job = heapq.heappop(self._expiry_heap)
            item = self._find(name, is_job)
            if item is None or item.forget_at_ms != due_ms:
                continue
            self.result_bytes -= _size_result(item)
            if isinstance(item, Job):
                del self._jobs[name]
                removed.append(item)
            else:
                del self._claims[name]
        return removed

    def _find(self, name: str, is_job: bool) -> Job | Claim | None:
        return self._jobs.get(name) if is_job else self._claims.get(name)

    def _limit_results(self) -> None:
        while self.result_bytes > MAX_RESULT_BYTES:
            offset, name, is_job = heapq.heappop(self._result_heap)
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
