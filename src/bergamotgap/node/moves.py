"""Move hosts between pools: release, acknowledgement by the worker, assignment.

A released host is in no pool. Its destination is chosen only when its worker has no
tasks left, so that another planner can continue at any point without knowing the plan.
"""

from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.budget import can_release
from bergamotgap.domain.catalogue import Catalogue, Pool
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_data import (
    HostState,
    count_serving_hosts,
    list_pool_hosts,
)
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.moves import (
    PoolLoad,
    ShortageTimer,
    choose_host,
    choose_receiver,
    choose_transfers,
)
from bergamotgap.domain.records import HostAssigned, HostReleased
from bergamotgap.node.worker_steps import AppendRecord, end_tasks, is_applied
from bergamotgap.node.workers import WorkerView
from bergamotgap.ports.worker import WorkerClient, WorkerError

log = get_logger(__name__)


class MoveRunner:
    """Advances every host move by one step at a time and starts the necessary ones.

    `pool_demand` returns running plus queued slots by pool over all entry hosts;
    `is_usable` returns whether a host answers, is serving and is not leaving.
    """

    def __init__(
        self,
        control: Callable[[], ControlState],
        append: AppendRecord,
        client: WorkerClient,
        view: Callable[[str], WorkerView],
        is_usable: Callable[[HostState], bool],
        pool_demand: Callable[[], Mapping[str, float]],
        is_planner: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._control = control
        self._append = append
        self._client = client
        self._view = view
        self._is_usable = is_usable
        self._pool_demand = pool_demand
        self._is_planner = is_planner
        self._clock = clock
        self._shortage_timer = ShortageTimer()

    async def step(self) -> None:
        """Advance moves in progress, then release hosts for pools that lack hosts."""
        hosts = self._control().hosts
        released = sorted(name for name, host in hosts.items() if host.pool is None)
        for name in released:
            await self._advance_host(name)
        catalogue = self._control().catalogue
        if catalogue is None:
            return
        await self._release_hosts_of_dropped_pools(catalogue)
        unassigned = sum(host.pool is None for host in hosts.values())
        now_ms = self._clock.monotonic_ms()
        loads = self._shortage_timer.measure(now_ms, self._build_pool_loads(catalogue))
        for donor, receiver in choose_transfers(loads, unassigned):
            if not await self._release_host_from(donor, receiver):
                return

    async def _advance_host(self, name: str) -> None:
        """Advance a released host by one step, if its worker answers."""
        host = self._control().hosts.get(name)
        if host is None or host.pool is not None:
            return
        address = host.facts.address
        try:
            status = await self._client.fetch_status(address)
            if (status.pool, status.epoch) != (None, host.epoch):
                await self._client.assign(address, None, host.epoch)
                status = await self._client.fetch_status(address)
            if (status.pool, status.epoch) != (None, host.epoch):
                return
            if status.busy > 0:
                waited_ms = self._clock.wall_ms() - host.changed_ms
                catalogue = self._control().catalogue
                await end_tasks(self._client, address, catalogue, waited_ms)
            elif status.state == "serving":
                await self._assign_host(host)
        except WorkerError as error:
            log.info("host move step failed", host=name, error=repr(error))

    async def _assign_host(self, host: HostState) -> None:
        state = self._control()
        name, address = host.facts.host, host.facts.address
        if state.catalogue is None or not self._is_planner():
            return
        pool = choose_receiver(self._build_pool_loads(state.catalogue))
        if pool is None:
            log.warning("no pool has room for a host", host=name)
            return
        record = HostAssigned(name, pool, host.epoch, state.plan_revision)
        if is_applied(await self._append(record)):
            log.info("host assigned", host=name, pool=pool)
            await self._client.assign(address, pool, host.epoch + 1)

    async def _release_host_from(self, donor: str, receiver: str) -> bool:
        """Release one host of a pool; return whether the release took effect."""
        hosts = self._control().hosts
        host = choose_host(
            [host for host in list_pool_hosts(hosts, donor) if self._is_usable(host)],
            list_pool_hosts(hosts, receiver),
            {name: self._count_busy_slots(name) for name in hosts},
        )
        return host is not None and await self._release_host(host)

    async def _release_host(self, host: HostState) -> bool:
        name = host.facts.host
        plan_base = self._control().plan_revision
        record = HostReleased(name, host.epoch, plan_base)
        if not self._is_planner() or not is_applied(await self._append(record)):
            return False
        log.info("host released", host=name, pool=host.pool)
        await self._advance_host(name)
        return True

    async def _release_hosts_of_dropped_pools(self, catalogue: Catalogue) -> None:
        names = {pool.name for pool in catalogue.pools}
        hosts = self._control().hosts
        for name in sorted(hosts):
            host = hosts[name]
            if host.pool is None or host.pool in names or not self._is_usable(host):
                continue
            if not await self._release_host(host):
                return

    def _count_busy_slots(self, host: str) -> int:
        status = self._view(host).status
        return status.busy if status is not None else 0

    def _build_pool_loads(self, catalogue: Catalogue) -> list[PoolLoad]:
        hosts = self._control().hosts
        slots = [host.facts.slots for host in hosts.values()]
        slots_per_host = max(1.0, sum(slots) / max(1, len(slots)))
        demand = self._pool_demand()
        return [
            self._build_pool_load(
                catalogue, pool, demand.get(pool.name, 0) / slots_per_host
            )
            for pool in catalogue.pools
        ]

    def _build_pool_load(
        self, catalogue: Catalogue, pool: Pool, demand: float
    ) -> PoolLoad:
        hosts = list_pool_hosts(self._control().hosts, pool.name)
        usable = sum(self._is_usable(host) for host in hosts)
        received_ms = max((host.assigned_ms for host in hosts), default=0)
        return PoolLoad(
            name=pool.name,
            serving=usable,
            min_serving=usable
            - min(usable, _count_releasable_hosts(catalogue, pool.name, hosts)),
            addable_hosts=pool.max_hosts - len(hosts),
            demand=demand,
            is_spare=pool.spare,
            received_ms_ago=self._clock.wall_ms() - received_ms,
        )


def _count_releasable_hosts(
    catalogue: Catalogue, pool: str, hosts: list[HostState]
) -> int:
    """Return how many hosts can leave a pool within its minimum size and budgets."""
    serving = count_serving_hosts(hosts)
    count = 0
    while count < serving and can_release(
        catalogue, pool, len(hosts) - count, serving - count
    ):
        count += 1
    return count
