"""Links to a pool's workers: opened as workers are listed, closed as they leave."""

import asyncio
from collections.abc import Callable, Mapping

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import WorkerInfo
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.worker_link import WorkerLink

log = get_logger(__name__)


class LinkManager:
    """Own the tasks of each link in `links`."""

    def __init__(
        self,
        links: dict[str, WorkerLink],
        build_link: Callable[[WorkerInfo], WorkerLink],
    ) -> None:
        self._links = links
        self._build_link = build_link
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    async def close(self) -> None:
        """Stop all orders and looks."""
        tasks = [task for pair in self._tasks.values() for task in pair]
        await cancel_tasks(tasks)

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Take over the list of the pool's workers."""
        for worker_id, info in workers.items():
            link = self._links.get(worker_id)
            if link is None:
                self._add(info)
                continue
            if link.info.incarnation_ms != info.incarnation_ms:
                link.handle_restart(info)
            if link.info.state is not info.state:
                log.info("worker state", worker=worker_id, state=info.state.value)
            link.info = link.capacity.info = info
            link.is_listed = True
        for link in self._links.values():
            if link.worker_id not in workers and link.is_listed:
                log.info("worker gone", worker=link.worker_id, runs=len(link.live_runs))
                link.is_listed = False
                link.request_poll()

    def _add(self, info: WorkerInfo) -> None:
        worker_id = info.worker_id
        link = self._links[worker_id] = self._build_link(info)
        self._tasks[worker_id] = [
            asyncio.create_task(supervise(f"orders {worker_id}", link.run_orders)),
            asyncio.create_task(supervise(f"looks {worker_id}", link.run_polls)),
        ]
        log.info("worker found", worker=worker_id, host=info.host, rack=info.rack)

    async def close_removable(self) -> list[str]:
        """Close the links to workers that left and hold nothing; return their ids."""
        over = [link.worker_id for link in self._links.values() if link.is_removable]
        for worker_id in over:
            del self._links[worker_id]
            await cancel_tasks(self._tasks.pop(worker_id))
        return over
