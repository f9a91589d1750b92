"""What the node needs from workers."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker's own word; `time_ms` is its clock, `arrived_ms` ours (monotonic)."""

    worker: str
    time_ms: int
    arrived_ms: int
    boot_id: str
    pool: str | None
    epoch: int
    state: str
    slots: int
    busy: int
    used_cpus: float
    used_memory_mb: int
    usage_as_of_ms: int


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """A task to run: its id, fencing values and declared size."""

    task: str
    entry: str
    urgency: str
    epoch: int
    boot_id: str | None
    start_before_ms: int | None
    lease_ms: int
    cpus: float
    memory_mb: int
    accelerators: int
    body: bytes


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """What a worker knows of a task.

    `state` is one of unknown, running, done, failed, stopped, refused.
    """

    state: str
    size: int
    boot_id: str
    started: bool


@dataclass(frozen=True, slots=True)
class ListedTask:
    """A running task in a worker's own list, whichever entry host sent it.

    `cpus` and `memory_mb` are its use, which the worker reports with a lag; None until
    then.
    """

    task: str
    entry: str
    urgency: str
    cpus: float | None = None
    memory_mb: float | None = None


class WorkerError(Exception):
    """Base of the worker port's errors."""


class TaskRefusedError(WorkerError):
    """The worker refused the task before its start; `code` tells why."""

    def __init__(
        self, code: str, busy: int | None = None, boot_id: str | None = None
    ) -> None:
        super().__init__(code)
        self.code = code
        self.busy = busy
        self.boot_id = boot_id


class WorkerUnreachableError(WorkerError):
    """No connection was established, so nothing was sent."""


class TaskOutcomeUnknownError(WorkerError):
    """The order may have arrived; the answer is missing or cut short."""


class ResultGoneError(TaskOutcomeUnknownError):
    """The worker says that it has no result of the task."""


class TaskAnswer(Protocol):
    """A task's answer while it arrives."""

    @property
    def is_failure(self) -> bool:
        """Return whether the worker reports that the task failed."""

    @property
    def size(self) -> int | None:
        """Return the announced length in bytes, if any."""

    @property
    def busy(self) -> int | None:
        """Return the worker's running tasks, as told with the answer."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises TaskFateUnknownError when it is cut short."""


class WorkerAnswer(TaskAnswer, Protocol):
    """A task's answer while it arrives from its worker."""

    @property
    def boot_id(self) -> str | None:
        """Return the worker's boot id, as told with the answer."""

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body was read."""

    async def read(self, limit_bytes: int) -> bytes:
        """Return the next part; raises TaskFateUnknownError when it is cut short."""


class WorkerClient(Protocol):
    """Talk to workers by address."""

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Ask a worker for its own state."""

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        """Tell a worker its pool and epoch; raises TaskRefusedError if it is stale."""

    def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Send a task; no progress within `progress_ms` raises TaskFateUnknownError."""

    async def list_tasks(self, address: str) -> Sequence[ListedTask]:
        """Ask for the running tasks, paused ones included."""

    async def fetch_task(self, address: str, task: str) -> TaskStatus:
        """Ask for a task over a new connection."""

    def fetch_result(
        self, address: str, task: str
    ) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Stream the result of a finished task over a new connection."""

    async def cancel(self, address: str, task: str) -> TaskStatus:
        """Refuse the task for good if it has not started; return what is known."""

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Renew, checkpoint, throttle or stop a running task."""

    async def drain(self, address: str, boot_id: str) -> None:
        """Tell the worker to refuse new tasks.

        Raises TaskRefusedError `wrong_boot` when it has restarted since.
        """

    async def reboot(self, address: str, boot_id: str) -> None:
        """Tell the worker to restart; raises as `drain` does."""
