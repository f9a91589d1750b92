"""Queues, services, workers and jobs of several steps."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec

NO_LIMIT = 0


class Size(NamedTuple):
    """What a task asks for, or a worker has: 1/1000 cores, MB, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


class TaskId(NamedTuple):
    """Names one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return the name as logs show it; it begins with the job's id."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Describe the equal tasks of one step; times in ms."""

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_single_rack: bool = False
    requirement: str = ""
    data_rack: str = ""
    max_per_host: int = NO_LIMIT
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def size(self) -> Size:
        """Return what counts against a worker's capacity; a filler's CPU does not."""
        return Size(0 if self.is_filler else self.cpu, self.memory_mb, self.gpus)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Describe a job as its caller submitted it; start times in Unix ms."""

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    repetitions: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repetitions)

    def estimate_work(self) -> float:
        """Return the declared work of one occurrence that ends, in 1/1000 core-ms."""
        return sum(
            step.count * step.size.cpu * step.estimated_ms
            for step in self.steps
            if not step.is_long_running
        )

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix ms before which an occurrence must not start."""
        if not self.repetitions:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


@dataclass(frozen=True)
class Queue:
    """Route jobs of one path to the workers of one service."""

    name: str
    host: str
    path_prefix: str
    service: str
    urgency: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    needs_advice: bool = False


@dataclass(frozen=True)
class FleetConfig:
    """Hold one accepted version of the queues and services."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[str, ...]
    spare_services: frozenset[str] = frozenset()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path on a host."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

    def get_queue(self, name: str) -> Queue | None:
        """Return the queue of a name."""
        return next((queue for queue in self.queues if queue.name == name), None)


class WorkerState(StrEnum):
    """Tell whether a worker takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class WorkerInfo:
    """Report of one life of a host; `born_ms` tells lives of one id apart."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    state: WorkerState
    capacity: Size
    labels: frozenset[str]
    rack: str
    incarnation_ms: int
    host: str


class JobPhase(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Tell whether the state can't change any more."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@dataclass(frozen=True)
class Wave:
    """Request upkeep of hosts within a time, at most `cap` at once."""

    number: int
    hosts: tuple[str, ...]
    duration_ms: int
    cap: int


@dataclass(frozen=True)
class HostInfo:
    """State of one host in the list of the machines' service."""

    host: str
    pool: str
    state: str
    worker_id: str
    data_centre: str
    cpu: int = 0
    labels: frozenset[str] = frozenset()
