"""Persists a pool's learned run times in its partition, one record for each queue."""

from collections.abc import Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.run_time_estimates import RunTimeEstimates
from bergamotgap.domain.run_time_records import RunTimeRecord
from bergamotgap.pools.job_journal import RecordKind, format_record_key
from bergamotgap.pools.journal import Journal

# Shortest time between two records of one queue; a successor lacks the runs of this
# time at most.
WRITE_GAP_MS = 5000

log = get_logger(__name__)


class RunTimeStore:
    """Restore the estimates of a pool, and write them when there are new runs."""

    def __init__(
        self, pool: str, estimates: RunTimeEstimates, journal: Journal, clock: Clock
    ) -> None:
        self._pool = pool
        self._estimates = estimates
        self._journal = journal
        self._clock = clock
        # By queue: the number of runs recorded last, and when.
        self._written: dict[str, tuple[int, int]] = {}

    def restore(self, values: Mapping[str, bytes]) -> None:
        """Restore the estimates from the partition; ignores records of no use."""
        prefix = format_record_key(self._pool, RecordKind.RUN_TIMES, "")
        now_ms, wall_ms = self._clock.monotonic_ms(), self._clock.wall_ms()
        for key, value in values.items():
            if not key.startswith(prefix):
                continue
            queue = key[len(prefix) :]
            try:
                record = msgspec.msgpack.decode(value, type=RunTimeRecord)
            except (msgspec.MsgspecError, ValueError) as error:
                log.error("run times not decoded", key=key, error=str(error))
                continue
            self._estimates.restore(queue, record, wall_ms, now_ms)
            self._written[queue] = (self._count_runs(queue), now_ms)
        queues = list(self._estimates.queues)
        if queues:
            log.info(
                "run times restored",
                pool=self._pool,
                queues=len(queues),
                runs=sum(self._count_runs(queue) for queue in queues),
            )

    def _count_runs(self, queue: str) -> int:
        return self._estimates.summarize(queue).runs

    def write_changes(self) -> None:
        """Write the queues that have new runs and were not written lately."""
        now_ms = self._clock.monotonic_ms()
        queues = set(self._estimates.queues)
        for queue in queues:
            runs, written_ms = self._written.get(queue, (0, now_ms - WRITE_GAP_MS))
            if now_ms - written_ms < WRITE_GAP_MS:
                continue
            count = self._count_runs(queue)
            if count != runs:
                self._put(queue)
                self._written[queue] = (count, now_ms)
        for queue in self._written.keys() - queues:
            # The queue has had no runs for long.
            self._put(queue)
            del self._written[queue]

    def _put(self, queue: str) -> None:
        def encode() -> bytes | None:
            record = self._estimates.save(queue, self._clock.wall_ms())
            return msgspec.msgpack.encode(record) if record else None

        key = format_record_key(self._pool, RecordKind.RUN_TIMES, queue)
        self._journal.put(key, encode)
