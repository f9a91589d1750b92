"""Data types of the fleet: queues, services, workers, hosts and multi-step jobs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from bergamotgap.domain.amounts import Amount, measure_work, total
from bergamotgap.domain.client_limits import ClientLimits

if TYPE_CHECKING:
    from bergamotgap.domain.customers import Customers

NO_LIMIT = 0


class Size(NamedTuple):
    """Resources of a task or a worker: 1/1000 cores, MB of memory, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


NO_SIZE = Size()


def sum_sizes(*sizes: Sequence[int]) -> Size:
    """Return the sum of sizes."""
    return Size(*(sum(parts) for parts in zip(NO_SIZE, *sizes, strict=True)))


class TaskId(NamedTuple):
    """Identifies one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return the id as shown in logs; it begins with the job's id."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Specification of one step, which has `count` identical tasks; times in ms.

    `after` lists the numbers of the steps that must be done first. `estimated_ms` is
    the declared run time, `target_ms` the target for a task's tail latency, if any.
    A filler runs on CPU that other tasks leave unused. The tasks of a gang start
    together. `max_unavailable` limits how many tasks of a long-running step may be down
    at once because their workers are drained; one may be in any case.
    """

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
        """Return what a task reserves on a worker; fillers reserve no CPU."""
        return Size(0 if self.is_filler else self.cpu, self.memory_mb, self.gpus)

    @property
    def is_lasting(self) -> bool:
        """Return whether a task keeps memory or accelerators until it is cancelled.

        Long-running tasks that reserve only cores are placed and counted like others.
        """
        return self.is_long_running and bool(self.memory_mb or self.gpus)


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """What a job keeps of the queue that it was accepted in; fields as in `Queue`."""

    urgency: int
    attempts: int
    stretch: float
    target_latency_ms: int
    needs_advice: bool


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Specification of a job as submitted by its caller; start times in Unix ms."""

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    repetitions: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    # Name of the customer that submitted the job; empty if its queue needs no key.
    customer: str = ""
    # Whether the pool's owner accepted the job beyond its customer's weight.
    is_excess: bool = False
    # Set when the pool's owner accepts the job.
    terms: QueueTerms | None = None

    @property
    def occurrences(self) -> int:
        """Return how many times the job's steps run."""
        return max(1, self.repetitions)

    def estimate_work(self, expect_ms: Callable[[StepSpec], float]) -> Amount:
        """Return the work of one occurrence, as an amount in ms.

        `expect_ms` returns the run time of one task of a step. Long-running steps never
        end and are left out.
        """
        return total(
            [
                measure_work(step.size, expect_ms(step), step.count)
                for step in self.steps
                if not step.is_long_running
            ]
        )

    def build_queue(self) -> "Queue | None":
        """Return the queue by the job's terms, for a job whose queue was removed."""
        if self.terms is None:
            return None
        return Queue(
            self.queue,
            host="",
            path_prefix="",
            service="",
            **msgspec.structs.asdict(self.terms),
        )

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start time of an occurrence, in Unix ms."""
        if not self.repetitions:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


@dataclass(frozen=True)
class Queue:
    """Routes jobs of one host and path prefix to the workers of one service.

    A job is on time if it ends within `stretch` times its critical path plus
    `target_latency_ms`. A job fails once one of its tasks has failed `attempts` times;
    failures of long-running tasks are not limited. With `needs_advice`, tasks run only
    on workers for which there is a ticket of the advice service. A call to a queue that
    `is_public` needs no key, and its jobs belong to no customer.
    """

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
    is_public: bool = False

    @property
    def terms(self) -> QueueTerms:
        """What a job keeps when it is accepted."""
        return QueueTerms(
            self.urgency,
            self.attempts,
            self.stretch,
            self.target_latency_ms,
            self.needs_advice,
        )


@dataclass(frozen=True)
class FleetConfig:
    """One accepted version of the queues, services and customers.

    `customers` is None where callers need no keys, `client_limits` where nothing is
    said of callers' requests.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[str, ...]
    spare_services: frozenset[str] = frozenset()
    customers: "Customers | None" = None
    client_limits: ClientLimits | None = None

    @property
    def pools(self) -> tuple[str, ...]:
        """The services whose pools have owners."""
        return tuple(s for s in self.services if s not in self.spare_services)

    def list_other_pools(self, pool: str) -> tuple[str, ...]:
        """Return the pools without the named one."""
        return tuple(other for other in self.pools if other != pool)

    def needs_key(self, queue: Queue) -> bool:
        """Return whether calls to a queue must carry a customer's key."""
        return self.customers is not None and not queue.is_public

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix that matches the path."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

    def get_queue(self, name: str) -> Queue | None:
        """Return the queue with the given name."""
        return next((queue for queue in self.queues if queue.name == name), None)


class WorkerState(StrEnum):
    """Whether a worker accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class WorkerInfo:
    """Report of a worker; `incarnation_ms` distinguishes restarts under one id.

    `restarted_ms` is when this node first heard of the present life, on its monotonic
    clock, if it knew an earlier one.
    """

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
    restarted_ms: int | None = None


class JobPhase(StrEnum):
    """Phase of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the phase can no longer change."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@dataclass(frozen=True)
class Wave:
    """Maintenance requested for hosts within `duration_ms`, at most `cap` at once."""

    number: int
    hosts: tuple[str, ...]
    duration_ms: int
    cap: int


@dataclass(frozen=True)
class HostInfo:
    """One host as listed by the platform's machine service."""

    host: str
    pool: str
    state: str
    worker_id: str
    data_centre: str
    cpu: int = 0
    labels: frozenset[str] = frozenset()
    memory_mb: int = 0
    gpus: int = 0

    @property
    def size(self) -> Size:
        """Return all of the host's capacity."""
        return Size(self.cpu, self.memory_mb, self.gpus)
