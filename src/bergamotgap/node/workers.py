"""Keep a view of the workers: their own status, assignments and load."""

import asyncio
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.node.streams import Stream
from bergamotgap.ports.worker import WorkerClient, WorkerError, WorkerStatus

STATUS_INTERVAL_MS = 1000

log = get_logger(__name__)


@dataclass(slots=True)
class WorkerView:
    """What this node believes of one worker."""

    status: WorkerStatus | None = None
    failures: int = 0
    running: int = 0


class Workers:
    """Own the views of all workers and the task that refreshes them."""

    def __init__(
        self, control: Stream[ControlState], client: WorkerClient, clock: Clock
    ) -> None:
        self._control = control
        self._client = client
        self._clock = clock
        self._views: dict[str, WorkerView] = {}

    def view(self, host: str) -> WorkerView:
        """Return the view of a host."""
        return self._views.setdefault(host, WorkerView())

    def pool_capacity(self, pool: str) -> int:
        """Return the slots of a pool's workers that can take tasks."""
        return sum(
            host.facts.slots
            for name, host in self._control.state.hosts.items()
            if host.pool == pool and self.view(name).status is not None
        )

    async def run(self) -> None:
        """Refresh all views for good."""
        while True:
            hosts = list(self._control.state.hosts.items())
            await asyncio.gather(*(self._refresh(name, host) for name, host in hosts))
            await self._clock.sleep_ms(STATUS_INTERVAL_MS)

    async def _refresh(self, name: str, host: HostState) -> None:
        view = self.view(name)
        address = host.facts.address
        try:
            view.status = await self._client.fetch_status(address)
            view.failures = 0
            if view.status.epoch < host.epoch:
                await self._client.assign(address, host.pool, host.epoch)
        except WorkerError as error:
            view.failures += 1
            log.info("worker status failed", host=name, error=repr(error))
