"""Opens links to a pool's workers as they are listed and closes them as they leave."""

import asyncio
from collections.abc import Callable, Mapping

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import WorkerInfo
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.worker_link import WorkerLink

log = get_logger(__name__)


class LinkManager:
    """Keep the links in `links` and the two asyncio tasks of each."""

    def __init__(
        self,
        links: dict[str, WorkerLink],
        build_link: Callable[[WorkerInfo], WorkerLink],
    ) -> None:
        self._links = links
        self._build_link = build_link
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}

    async def close(self) -> None:
        """Cancel the orders and polls of all links."""
        tasks = [task for link_tasks in self._tasks.values() for task in link_tasks]
        await cancel_tasks(tasks)

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Open, update or unlist links by the current list of the pool's workers."""
        for worker_id, info in workers.items():
            link = self._links.get(worker_id)
            if link is None:
                self._open_link(info)
                continue
            if link.info.incarnation_ms != info.incarnation_ms:
                link.handle_restart(info)
            if link.info.state is not info.state:
                log.info(
                    "worker state changed", worker=worker_id, state=info.state.value
                )
            link.info = link.capacity.info = info
            link.is_listed = True
        for link in self._links.values():
            if link.worker_id not in workers and link.is_listed:
                log.info(
                    "worker no longer listed",
                    worker=link.worker_id,
                    runs=len(link.runs),
                )
                link.is_listed = False
                link.request_poll()

    def _open_link(self, info: WorkerInfo) -> None:
        worker_id = info.worker_id
        link = self._links[worker_id] = self._build_link(info)
        self._tasks[worker_id] = [
            asyncio.create_task(supervise(f"orders {worker_id}", link.run_orders)),
            asyncio.create_task(supervise(f"looks {worker_id}", link.run_polls)),
        ]
        log.info("worker listed", worker=worker_id, host=info.host, rack=info.rack)

    async def close_removable_links(self) -> list[str]:
        """Close links to workers that left and hold no runs; return their ids."""
        closed = []
        for link in list(self._links.values()):
            # A worker may be listed again while the tasks of another are cancelled.
            if link.is_removable:
                del self._links[link.worker_id]
                closed.append(link.worker_id)
                await cancel_tasks(self._tasks.pop(link.worker_id))
        return closed
