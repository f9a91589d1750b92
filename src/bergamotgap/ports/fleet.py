"""What pools need from the platform: its log, its workers and its machines."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.fleet import HostInfo, TaskId, WorkerInfo


class StoreError(Exception):
    """A call to the platform's log had no effect, or its effect is not known."""


class StoreUnavailableError(StoreError):
    """The call had no effect: the log refused it or was not reached."""


class StoreOutcomeUnknownError(StoreError):
    """The call got no answer and may take effect later."""


class AppendConflictError(StoreError):
    """The partition does not end at the expected offset."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"partition ends at {end_offset}")
        self.end_offset = end_offset


class FencedError(StoreError):
    """A newer owner appends to the partition."""


class SequenceError(StoreError):
    """The append is out of order; `expected` is the next number."""

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected sequence {expected}")
        self.expected = expected


class HistoryGoneError(StoreError):
    """Records before `first` were dropped."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"first retained offset is {first_offset}")
        self.first_offset = first_offset


@dataclass(frozen=True)
class Fence:
    """Order the appends of one owner; `epoch` is its fencing token."""

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class KeyedRecord:
    """Newest value of a key; None drops the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class LogPage:
    """Records from `start` on; `end` is the offset after the partition's last."""

    start_offset: int
    end_offset: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True)
class NewestValues:
    """Newest value of each key, read in pages; `end` is the end at the first page."""

    values: Mapping[str, bytes]
    end_offset: int


class Store(Protocol):
    """Keyed logs with conditional and fenced appends, and a group of members."""

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append all records or none; return the first one's offset."""

    async def read(
        self, topic: str, part: int, start_offset: int, wait_ms: int
    ) -> LogPage:
        """Return records from an offset on; wait for one at most `wait_ms`."""

    async def read_newest_values(self, topic: str, part: int) -> NewestValues:
        """Return the newest value of each key."""

    async def join(self, member: str, generation: int) -> int:
        """Join the group or stay in it; return its generation."""

    async def list_members(self) -> frozenset[str]:
        """Return the members that the log has heard of within their time to live."""

    async def leave(self, member: str) -> None:
        """Leave the group."""


@dataclass(frozen=True)
class Lease:
    """Fencing token of the sender and the lease's end on the worker's clock in ms."""

    token: int
    deadline_ms: int


@dataclass(frozen=True)
class StartOrder:
    """Start one run of a task."""

    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True)
class Accepted:
    """The worker did as told."""

    clock_ms: int


@dataclass(frozen=True)
class Refused:
    """The worker did nothing: `reason` is fence, old, late, room, ticket or busy."""

    reason: str
    clock_ms: int | None = None


@dataclass(frozen=True)
class OtherInstance:
    """Another life answers at the worker's address."""


@dataclass(frozen=True)
class Unanswered:
    """No answer; the order may be executed now or later, if it was sent."""

    was_sent: bool


OrderOutcome = Accepted | Refused | OtherInstance | Unanswered


@dataclass(frozen=True)
class RunReport:
    """One run on a worker; `figure` is a tail in ms or 1/1000 cores in use."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    latency_or_cpu: int


@dataclass(frozen=True)
class EndReport:
    """One end that the worker keeps until acknowledged.

    `how` is done, failed, stopped, lapsed, broken or alone.
    """

    sequence: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True)
class PollReply:
    """What runs and what ended on a worker at its `clock_ms`."""

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


PollOutcome = PollReply | Refused | OtherInstance | Unanswered


class WorkerOrders(Protocol):
    """Orders to workers."""

    async def start(
        self, worker: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        """Stop a run and bar it for good."""

    async def poll(
        self, worker: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        """Renew the lease and look; wait for an end at most `wait_ms`."""

    async def pace(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderOutcome:
        """Let a task work at a share of its speed."""


class MachineServiceUnavailableError(Exception):
    """The machines' service refused a call or did not answer."""


class MachineService(Protocol):
    """Orders to hosts, fenced by a duty's token."""

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts; raises MachinesUnavailableError."""

    async def move(self, host: str, pool: str, token: int) -> str:
        """Move a host; return "" or the reason of a refusal."""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Begin a host's upkeep; return "" or the reason of a refusal."""


@dataclass(frozen=True)
class Tickets:
    """Tickets by worker id, valid for a time from the call that asked for them."""

    by_worker: Mapping[str, str]
    validity_ms: int


class AdviceService(Protocol):
    """Service that alone knows which workers may run a step."""

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        """Return the tickets of the workers that may run the task's step."""
