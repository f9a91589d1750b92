"""Give a task a slot and a worker."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.outcomes import NotRun
from bergamotgap.node.admission import Admission, NotAdmittedError
from bergamotgap.node.workers import Workers


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker chosen for one task, with the values that fence the task.

    `worker_time_ms` is the worker's clock in its last status, which arrived at
    `arrived_ms` of our monotonic clock.
    """

    host: str
    address: str
    pool: str
    epoch: int
    boot_id: str
    worker_time_ms: int
    arrived_ms: int

    def translate_ms(self, monotonic_ms: int) -> int:
        """Return our monotonic time on the worker's clock; never too late."""
        return self.worker_time_ms + (monotonic_ms - self.arrived_ms)


class Placer:
    """Choose workers for tasks and learn from how the tasks ended."""

    def __init__(
        self,
        control: Callable[[], ControlState],
        workers: Workers,
        admission: Admission,
    ) -> None:
        self._control = control
        self._workers = workers
        self._admission = admission

    @asynccontextmanager
    async def place(
        self,
        entry: Entry,
        deadline_at_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> AsyncIterator[Placement]:
        """Hold a slot and a chosen worker; raises NotAdmittedError.

        Hosts in `avoid` are used only when there is no other.
        """
        async with self._admission.admit(entry, deadline_at_ms) as slot:
            host = self._choose(slot.pool, avoid)
            view = self._workers.view(host.facts.host)
            status = view.status
            assert status is not None
            view.running += 1
            try:
                yield Placement(
                    host=host.facts.host,
                    address=host.facts.address,
                    pool=slot.pool,
                    epoch=host.epoch,
                    boot_id=status.boot_id,
                    worker_time_ms=status.time_ms,
                    arrived_ms=status.arrived_ms,
                )
            finally:
                view.running -= 1

    def _choose(self, pool: str, avoid: frozenset[str]) -> HostState:
        hosts = [
            host
            for name, host in self._control().hosts.items()
            if host.pool == pool and self._workers.view(name).status is not None
        ]
        if not hosts:
            raise NotAdmittedError(NotRun("no_worker"))
        return min(
            hosts,
            key=lambda host: (
                host.facts.host in avoid,
                self._workers.view(host.facts.host).running,
            ),
        )

    def note_success(self, entry: Entry, host: str, run_ms: float) -> None:
        """Learn that a task ended well after `run_ms`."""
        self._admission.note_run(entry, run_ms)

    def note_failure(self, entry: Entry, host: str, code: str) -> None:
        """Learn that a task failed at a host, or that the host refused it."""
