"""Carry out maintenance waves: drain, wait, reboot, record.

Each step follows from the folded state and the worker's own status, so that another
planner can go on at any point. A drain is in the log before the worker hears of it.
Drains and reboots name the boot id of that status: a planner that was paused after the
status must not drain or reboot a host that another one has maintained since.
"""

import asyncio
from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.records import DrainStarted, HostMaintained
from bergamotgap.domain.waves import choose_drains
from bergamotgap.node.worker_steps import AppendRecord, end_tasks, is_applied
from bergamotgap.node.workers import WorkerView
from bergamotgap.ports.worker import WorkerClient, WorkerError, WorkerStatus

# After this time a drained host reboots even if tasks still run on it.
REBOOT_AFTER_MS = 600_000

log = get_logger(__name__)


class MaintenanceRunner:
    """Take the next step of every open wave and of every draining host.

    `is_planner` is asked again before each act, because each wait may be long.
    """

    def __init__(
        self,
        control: Callable[[], ControlState],
        append: AppendRecord,
        client: WorkerClient,
        view: Callable[[str], WorkerView],
        is_planner: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._control = control
        self._append = append
        self._client = client
        self._view = view
        self._is_planner = is_planner
        self._clock = clock

    async def step(self) -> None:
        """Continue begun drains, then begin those that the budgets allow."""
        draining = [
            name
            for name, host in self._control().hosts.items()
            if host.draining_in is not None
        ]
        await asyncio.gather(*(self._advance(name) for name in sorted(draining)))
        for drain in choose_drains(self._control(), self._is_reachable):
            plan_base = self._control().plan_revision
            record = DrainStarted(drain.host, drain.wave, plan_base)
            if not self._is_planner() or not is_applied(await self._append(record)):
                return
            log.info("drain started", host=drain.host, wave=drain.wave)
            await self._advance(drain.host)

    def _is_reachable(self, host: HostState) -> bool:
        view = self._view(host.facts.host)
        return (
            view.status is not None
            and view.failures == 0
            and view.status.state == "serving"
            and view.status.boot_id == host.boot_id
        )

    async def _advance(self, name: str) -> None:
        """Take one step with a draining host, if its worker answers."""
        host = self._control().hosts.get(name)
        if host is None or host.draining_in is None:
            return
        try:
            status = await self._client.fetch_status(host.facts.address)
            host = self._control().hosts.get(name)
            if host is None or host.draining_in is None or not self._is_planner():
                return
            if status.boot_id == host.boot_id:
                await self._empty_and_reboot(host, status)
            elif status.state == "serving":
                await self._return_to_service(host, status)
        except WorkerError as error:
            log.info("maintenance step failed", host=name, error=repr(error))

    async def _empty_and_reboot(self, host: HostState, status: WorkerStatus) -> None:
        address = host.facts.address
        if status.state == "serving":
            await self._client.drain(address, status.boot_id)
            return
        if status.state != "draining":
            return
        waited_ms = self._clock.wall_ms() - host.changed_ms
        if status.busy == 0 or waited_ms >= REBOOT_AFTER_MS:
            log.info("rebooting", host=host.facts.host, wave=host.draining_in)
            await self._client.reboot(address, status.boot_id)
            return
        catalogue = self._control().catalogue
        await end_tasks(self._client, address, catalogue, waited_ms)

    async def _return_to_service(self, host: HostState, status: WorkerStatus) -> None:
        assert host.draining_in is not None
        if (status.pool, status.epoch) != (host.pool, host.epoch):
            await self._client.assign(host.facts.address, host.pool, host.epoch)
        record = HostMaintained(host.facts.host, host.draining_in, status.boot_id)
        if is_applied(await self._append(record)):
            log.info("host maintained", host=host.facts.host, wave=host.draining_in)
