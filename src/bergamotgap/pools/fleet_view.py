"""The fleet as this node knows it: configuration, workers, waves of upkeep."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, Wave, WorkerInfo
from bergamotgap.ports.fleet import KeyedRecord

log = get_logger(__name__)


class UnreadableDocumentError(Exception):
    """A document of the platform can't be read."""


@dataclass(frozen=True)
class DocumentFormat:
    """Keys and decoders of the platform's documents; decoders raise UnreadableError."""

    config_key: str
    wave_prefix: str
    decode_config: Callable[[bytes], FleetConfig]
    decode_wave: Callable[[bytes], Wave]
    decode_worker: Callable[[str, bytes], WorkerInfo]


class FleetView:
    """Fold the operators' and the workers' records."""

    def __init__(self, documents: DocumentFormat, clock: Clock) -> None:
        self._documents = documents
        self._clock = clock
        self.config: FleetConfig | None = None
        self.workers: dict[str, WorkerInfo] = {}
        self.waves: dict[int, Wave] = {}
        self.wave_first_seen_ms: dict[int, int] = {}

    def apply_operator_record(self, record: KeyedRecord) -> None:
        """Fold a record of the operators; a configuration never goes back."""
        if record.value is None:
            return
        try:
            if record.key == self._documents.config_key:
                self._apply_config(self._documents.decode_config(record.value))
            elif record.key.startswith(self._documents.wave_prefix):
                self._apply_wave(self._documents.decode_wave(record.value))
        except UnreadableDocumentError as error:
            log.error("document can't be read", key=record.key, error=str(error))

    def _apply_config(self, config: FleetConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        log.info("configuration", version=config.version, queues=len(config.queues))

    def _apply_wave(self, wave: Wave) -> None:
        if self.waves.get(wave.number) != wave:
            self.waves[wave.number] = wave
            self.wave_first_seen_ms.setdefault(wave.number, self._clock.monotonic_ms())
            log.info("wave", wave=wave.number, hosts=len(wave.hosts), cap=wave.cap)

    def apply_worker_record(self, record: KeyedRecord) -> None:
        """Fold a record of a worker; one that can't be read names no worker."""
        if record.value is None:
            self.workers.pop(record.key, None)
            return
        try:
            info = self._documents.decode_worker(record.key, record.value)
        except UnreadableDocumentError as error:
            if self.workers.pop(record.key, None) is not None:
                log.warning("report can't be read", worker=record.key, error=str(error))
            return
        self.workers[record.key] = info

    def list_pool_workers(self, pool: str) -> dict[str, WorkerInfo]:
        """Return the workers of a pool by id."""
        return {
            worker_id: info
            for worker_id, info in self.workers.items()
            if info.service == pool
        }
