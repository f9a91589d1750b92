"""Protocol for the calls of an entry host (`bergamotgap serve`) to workers."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """Status reported by a worker.

    `time_ms` is the worker's clock, `arrived_ms` the local monotonic clock on arrival.
    """

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
    """A task to run: its id, fencing values and declared size.

    The worker refuses it if `epoch` is stale, if `boot_id` is not its own, or after
    `start_before_ms` on its clock. `lease_ms` is the time that it may run unrenewed.
    """

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
    """State of a task as reported by its worker.

    `state` is one of unknown, running, done, failed, stopped, refused.
    """

    state: str
    size: int
    boot_id: str
    started: bool


@dataclass(frozen=True, slots=True)
class ListedTask:
    """A running task in a worker's list, whichever entry host sent it.

    `cpus` and `memory_mb` are the resources it uses. The worker measures them with a
    delay; they are None until then.
    """

    task: str
    entry: str
    urgency: str
    cpus: float | None = None
    memory_mb: float | None = None


class WorkerError(Exception):
    """Base of the worker port's errors."""


class TaskRefusedError(WorkerError):
    """The worker refused the task before its start; `code` is the reason."""

    def __init__(
        self, code: str, busy: int | None = None, boot_id: str | None = None
    ) -> None:
        super().__init__(code)
        self.code = code
        self.busy = busy
        self.boot_id = boot_id


class WorkerUnreachableError(WorkerError):
    """No connection was established, so nothing was sent."""


class TaskFateUnknownError(WorkerError):
    """The order may have arrived; the response is missing or cut short."""


class ResultGoneError(TaskFateUnknownError):
    """The worker reports that it no longer has the task's result."""


class TaskAnswer(Protocol):
    """A task's response, which may be read while it arrives."""

    @property
    def is_failure(self) -> bool:
        """Return whether the worker reports that the task failed."""

    @property
    def size(self) -> int | None:
        """Return the announced body length in bytes, if any."""

    @property
    def busy(self) -> int | None:
        """Return the worker's number of running tasks, as reported in the response."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises TaskFateUnknownError when it is cut short."""


class WorkerAnswer(TaskAnswer, Protocol):
    """A task's response that comes directly from its worker."""

    @property
    def boot_id(self) -> str | None:
        """Return the worker's boot id, as reported in the response."""

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body was read."""

    async def read(self, limit_bytes: int) -> bytes:
        """Return the next part; raises TaskFateUnknownError when it is cut short."""


class WorkerClient(Protocol):
    """Client for workers, by address."""

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Return the status that a worker reports."""

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        """Assign a worker to a pool; raises TaskRefusedError if the epoch is stale."""

    def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Send a task.

        Raises TaskFateUnknownError if there is no progress within `progress_ms`.
        """

    async def list_tasks(self, address: str) -> Sequence[ListedTask]:
        """Return the worker's running tasks, paused ones included."""

    async def fetch_task(self, address: str, task: str) -> TaskStatus:
        """Return a task's status, queried over a new connection."""

    def fetch_result(
        self, address: str, task: str
    ) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Stream the result of a finished task over a new connection."""

    async def cancel(self, address: str, task: str) -> TaskStatus:
        """Keep the task from ever starting if it has not started; return its status."""

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Change a running task; `verb` is renew, checkpoint, throttle or stop."""

    async def drain(self, address: str, boot_id: str) -> None:
        """Make the worker refuse new tasks.

        Raises TaskRefusedError with code `wrong_boot` if it has restarted since.
        """

    async def reboot(self, address: str, boot_id: str) -> None:
        """Restart the worker; raises the same errors as `drain`."""
