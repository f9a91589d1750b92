"""This node's view of the fleet: configuration, workers and maintenance waves."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, Wave, WorkerInfo
from bergamotgap.ports.fleet import KeyedRecord

# Workers that left the list and are remembered, as they may come back under their ids.
MAX_REMOVED_WORKERS = 1000

log = get_logger(__name__)


class UnreadableDocumentError(Exception):
    """A document of the platform could not be decoded."""


@dataclass(frozen=True)
class DocumentFormat:
    """Keys and decoders of the platform's documents.

    The decoders raise UnreadableDocumentError.
    """

    config_key: str
    wave_prefix: str
    decode_config: Callable[[bytes], FleetConfig]
    decode_wave: Callable[[bytes], Wave]
    decode_worker: Callable[[str, bytes], WorkerInfo]


class FleetView:
    """Build the view by folding the records of operators and workers."""

    def __init__(self, document_format: DocumentFormat, clock: Clock) -> None:
        self._document_format = document_format
        self._clock = clock
        self.config: FleetConfig | None = None
        self.workers: dict[str, WorkerInfo] = {}
        self.waves: dict[int, Wave] = {}
        self.wave_first_seen_ms: dict[int, int] = {}
        # By worker: why its report could not be decoded, so that it is logged once.
        self._unreadable_reports: dict[str, str] = {}
        # The last reports of workers that left the list, oldest first.
        self._removed_workers: dict[str, WorkerInfo] = {}

    def apply_operator_record(self, record: KeyedRecord) -> None:
        """Fold an operators' record; ignores a configuration that is not newer."""
        if record.value is None:
            return
        try:
            if record.key == self._document_format.config_key:
                self._apply_config(self._document_format.decode_config(record.value))
            elif record.key.startswith(self._document_format.wave_prefix):
                self._apply_wave(self._document_format.decode_wave(record.value))
        except UnreadableDocumentError as error:
            log.error("document not decoded", key=record.key, error=str(error))

    def _apply_config(self, config: FleetConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        log.info("configuration", version=config.version, queues=len(config.queues))

    def _apply_wave(self, wave: Wave) -> None:
        if self.waves.get(wave.number) != wave:
            self.waves[wave.number] = wave
            self.wave_first_seen_ms.setdefault(wave.number, self._clock.monotonic_ms())
            log.info(
                "wave received", wave=wave.number, hosts=len(wave.hosts), cap=wave.cap
            )

    def apply_worker_record(self, record: KeyedRecord) -> None:
        """Fold a worker's report; a report that can't be decoded removes the worker."""
        if record.value is None:
            self._remove_worker(record.key)
            self._unreadable_reports.pop(record.key, None)
            return
        try:
            info = self._document_format.decode_worker(record.key, record.value)
        except UnreadableDocumentError as error:
            self._remove_worker(record.key)
            if self._unreadable_reports.get(record.key) != str(error):
                self._unreadable_reports[record.key] = str(error)
                log.warning(
                    "worker report not decoded", worker=record.key, error=str(error)
                )
            return
        self._unreadable_reports.pop(record.key, None)
        self.workers[record.key] = self._add_restart(info)

    def _remove_worker(self, worker_id: str) -> None:
        """Remove a worker, which may come back under its id as another life."""
        info = self.workers.pop(worker_id, None)
        if info is None:
            return
        self._removed_workers[worker_id] = info
        if len(self._removed_workers) > MAX_REMOVED_WORKERS:
            del self._removed_workers[next(iter(self._removed_workers))]

    def _add_restart(self, info: WorkerInfo) -> WorkerInfo:
        """Add to a report when this node heard of the life, if it knew another one."""
        removed = self._removed_workers.pop(info.worker_id, None)
        former = self.workers.get(info.worker_id, removed)
        if former is None:
            return info
        is_same_life = former.incarnation_ms == info.incarnation_ms
        restarted_ms = (
            former.restarted_ms if is_same_life else self._clock.monotonic_ms()
        )
        return replace(info, restarted_ms=restarted_ms)

    def list_pool_workers(self, pool: str) -> dict[str, WorkerInfo]:
        """Return the workers of a pool by id."""
        return {
            worker_id: info
            for worker_id, info in self.workers.items()
            if info.service == pool
        }
