"""Protocols for the services that a fleet node (`bergamotgap join`) uses.

These are the keyed log, the workers, the machine service and the advice service.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.fleet import HostInfo, TaskId, WorkerInfo


class StoreError(Exception):
    """Base of the errors of calls to the platform's log."""


class StoreUnavailableError(StoreError):
    """The call had no effect: the log refused it or could not be reached."""


class AppendRejectedError(StoreError):
    """The log rejects the records themselves, so repeating the append is of no use."""


class StoreOutcomeUnknownError(StoreError):
    """The call got no response and may still take effect."""


class AppendConflictError(StoreError):
    """A conditional append failed: the partition ends at another offset."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"partition ends at {end_offset}")
        self.end_offset = end_offset


class FencedError(StoreError):
    """The append was rejected because a producer with a newer epoch has appended."""


class SequenceError(StoreError):
    """The append is out of order; `expected` is the next valid sequence number."""

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected sequence {expected}")
        self.expected = expected


class HistoryGoneError(StoreError):
    """The log no longer retains the offset; `first_offset` is the oldest retained."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"first retained offset is {first_offset}")
        self.first_offset = first_offset


@dataclass(frozen=True)
class Fence:
    """Producer, epoch and sequence number by which the log orders and fences appends.

    `epoch` is the fencing token of the pool's owner.
    """

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class KeyedRecord:
    """A key with its new value; a value of None deletes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class KeyedLogPage:
    """Records from `start_offset` on; `end_offset` is where the partition ends."""

    start_offset: int
    end_offset: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True)
class NewestValues:
    """Newest value of each key, read in pages.

    `end_offset` is the partition's end as of the first page.
    """

    values: Mapping[str, bytes]
    end_offset: int


class Store(Protocol):
    """Client of a partitioned log of keyed records and of its membership group.

    `part` is the number of a partition. Appends can be conditional on the partition's
    end, and fenced by an owner's epoch.
    """

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append all records or none; return the offset of the first.

        With `expected_end` set, the append fails unless the partition ends there.
        """

    async def read(
        self, topic: str, part: int, start_offset: int, wait_ms: int
    ) -> KeyedLogPage:
        """Return records from an offset on, waiting up to `wait_ms` for the first."""

    async def read_newest_values(self, topic: str, part: int) -> NewestValues:
        """Return the newest value of each key."""

    async def join(self, member: str, generation: int) -> int:
        """Join the group or renew the membership; return the group's generation.

        `generation` is the one that the previous call returned.
        """

    async def list_members(self) -> frozenset[str]:
        """Return the members whose membership has not expired."""

    async def leave(self, member: str) -> None:
        """Leave the group."""


@dataclass(frozen=True)
class Lease:
    """Fencing token of the sender, and the lease's end in ms on the worker's clock.

    A poll with a `deadline_ms` of 0 renews nothing. `life_ms` is the life whose clock
    that is, by its start; no other may receive the lease. 0: lives are not told apart.
    """

    token: int
    deadline_ms: int
    life_ms: int = 0


@dataclass(frozen=True)
class StartOrder:
    """Order to start one run of a task.

    `payload` is the job's specification, `checkpoint` the progress to resume from, and
    `ticket` the advice service's permission, for queues that need one.
    """

    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True)
class Accepted:
    """The worker carried out the order; `clock_ms` is its clock at that time."""

    clock_ms: int


@dataclass(frozen=True)
class Refused:
    """The worker rejected the order and did nothing.

    `reason` is fence (a newer token is known), old (this or a later run of the task was
    ended), late (the lease's end has passed), room (the free capacity is too small),
    ticket (a valid ticket is missing) or busy (also where the worker gave no reason).
    """

    reason: str
    clock_ms: int | None = None


@dataclass(frozen=True)
class OtherInstance:
    """Another incarnation of the worker answers at its address."""


@dataclass(frozen=True)
class Unanswered:
    """No response; an order that was sent may still be carried out.

    `is_cut_off`: the connection was closed or reset while it was waited for.
    """

    was_sent: bool
    is_cut_off: bool = False


@dataclass(frozen=True)
class LifeEnded:
    """Another life answers than the one that an order is for; it was not sent."""


OrderOutcome = Accepted | Refused | OtherInstance | LifeEnded | Unanswered


@dataclass(frozen=True)
class RunReport:
    """A run at work on a worker.

    `percent` is its progress. `latency_or_cpu` is the tail latency in ms or the CPU use
    in 1/1000 cores, depending on the kind of task.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    latency_or_cpu: int


@dataclass(frozen=True)
class EndReport:
    """The end of a run, which the worker reports until it is acknowledged.

    Ends are acknowledged by their `sequence` number. `outcome` is done, failed,
    stopped, lapsed (the lease expired), broken or alone.
    """

    sequence: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True)
class PollReply:
    """Running tasks and unacknowledged ends of a worker at its `clock_ms`.

    `incarnation_ms` distinguishes restarts of the worker under one id. With
    `may_have_more_ends`, the worker may list others once these are acknowledged, and a
    run in neither list may be among them.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    may_have_more_ends: bool = False


PollOutcome = PollReply | Refused | OtherInstance | Unanswered


class WorkerOrders(Protocol):
    """Client for orders to the platform's workers."""

    async def start(
        self, worker: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        """Stop a run; the worker refuses any later order to start it."""

    async def poll(
        self, worker: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        """Renew the lease and return what runs and what ended.

        Waits up to `wait_ms` for an end. Acknowledges the ends up to sequence number
        `acked_through`.
        """

    async def pace(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderOutcome:
        """Limit a task to `percent` of its full speed."""


class MachineServiceUnavailableError(Exception):
    """The machine service refused a call or did not respond.

    An order may have been executed all the same if `may_have_executed` is set.
    """

    def __init__(self, reason: str, may_have_executed: bool = True) -> None:
        super().__init__(reason)
        self.may_have_executed = may_have_executed


class MachineService(Protocol):
    """Client for operations on hosts, fenced by the host controller's `token`."""

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts; raises MachineServiceUnavailableError."""

    async def move(self, host: str, pool: str, token: int) -> str:
        """Move a host to a pool; return "" or the reason for a refusal."""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Start a host's maintenance; return "" or the reason for a refusal."""


@dataclass(frozen=True)
class Tickets:
    """Tickets by worker id, valid for `validity_ms` from the request for them."""

    by_worker: Mapping[str, str]
    validity_ms: int


class AdviceService(Protocol):
    """Client of the advice service, which alone knows which workers may run a step."""

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        """Return a ticket for each of the workers that may run the task's step."""
