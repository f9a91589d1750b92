"""Tells crashes of a pool's workers from other reasons why their runs were lost."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import WorkerInfo
from bergamotgap.pools.link_interface import LiveRun

# A loss without evidence is forgotten after this time.
WATCH_MS = 30_000

log = get_logger(__name__)


@dataclass(frozen=True)
class LostWorker:
    """One life of a worker whose runs were lost at `lost_ms` (monotonic)."""

    worker: WorkerInfo
    runs: tuple[LiveRun, ...]
    lost_ms: int


class CrashWatch:
    """Watch workers that were lost with their runs until it is known why.

    A crash is proven by a later life of the same host, and disproven by an answer of
    the life that was lost. `crashes` counts the proven ones.
    """

    def __init__(self, pool: str, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._lost: dict[tuple[str, int], LostWorker] = {}
        self.crashes = 0

    def record_loss(
        self, worker: WorkerInfo, runs: Sequence[LiveRun], reason: str
    ) -> None:
        """Watch a worker whose runs were lost."""
        started = tuple(live for live in runs if live.is_start_sent)
        log.warning(
            "worker lost",
            pool=self._pool,
            worker=worker.worker_id,
            host=worker.host,
            reason=reason,
            runs=len(started),
            starting=sum(not live.has_survived_start for live in started),
        )
        if started:
            key = (worker.worker_id, worker.incarnation_ms)
            now_ms = self._clock.monotonic_ms()
            self._lost[key] = LostWorker(worker, started, now_ms)

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Look for later lives of the hosts of lost workers."""
        if not self._lost:
            return
        born_ms: dict[str, int] = {}
        for info in workers.values():
            born_ms[info.host] = max(born_ms.get(info.host, 0), info.incarnation_ms)
        now_ms = self._clock.monotonic_ms()
        for key, lost in list(self._lost.items()):
            if born_ms.get(lost.worker.host, 0) > lost.worker.incarnation_ms:
                del self._lost[key]
                self._record_crash(lost)
            elif now_ms - lost.lost_ms > WATCH_MS:
                del self._lost[key]
                log.info("loss unexplained", **self._build_log_fields(lost))

    def record_answer(self, worker: WorkerInfo) -> None:
        """Record an answer of a life that counted as lost: it has not crashed."""
        lost = self._lost.pop((worker.worker_id, worker.incarnation_ms), None)
        if lost is not None:
            log.info("lost worker answers", **self._build_log_fields(lost))

    def _record_crash(self, lost: LostWorker) -> None:
        self.crashes += 1
        log.warning("worker crashed", **self._build_log_fields(lost))
        for live in lost.runs:
            log.warning(
                "run ended by crash",
                task=live.task.task_id,
                run=live.run,
                worker=lost.worker.worker_id,
                evidence="later_life",
            )

    def _build_log_fields(self, lost: LostWorker) -> dict[str, str | int]:
        return {
            "pool": self._pool,
            "worker": lost.worker.worker_id,
            "host": lost.worker.host,
            "runs": len(lost.runs),
            "after_ms": self._clock.monotonic_ms() - lost.lost_ms,
        }
