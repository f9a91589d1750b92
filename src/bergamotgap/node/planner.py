"""Plan the hosts: record them, detect failures, run maintenance waves and moves."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState, is_news
from bergamotgap.domain.folding import Effect, Rejected
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import HostSeen, Record
from bergamotgap.node.host_health import HostList, list_host_changes
from bergamotgap.node.maintenance import MaintenanceRunner
from bergamotgap.node.moves import MoveRunner
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.workers import WorkerView
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.worker import WorkerClient

PLAN_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 5000
# Limits concurrent appends when many hosts change, as at the first start.
MAX_CONCURRENT_APPENDS = 100

log = get_logger(__name__)


class Planner:
    """Manages the fleet's hosts while `is_planner` returns True.

    Concurrent planners are safe: the fold rejects records based on an old plan.
    """

    def __init__(
        self,
        control: Stream[ControlState],
        writer: StreamWriter,
        host_list: HostList,
        client: WorkerClient,
        view: Callable[[str], WorkerView],
        pool_demand: Callable[[], Mapping[str, float]],
        is_planner: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._control = control
        self._writer = writer
        self._host_list = host_list
        self._view = view
        self._is_planner = is_planner
        self._clock = clock
        self._maintenance_runner = MaintenanceRunner(
            lambda: control.state,
            self._append_record,
            client,
            view,
            is_planner,
            clock,
        )
        self._move_runner = MoveRunner(
            lambda: control.state,
            self._append_record,
            client,
            view,
            self.is_usable,
            pool_demand,
            is_planner,
            clock,
        )

    async def run(self) -> None:
        """Run planning rounds until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(PLAN_INTERVAL_MS)

    async def step(self) -> None:
        """Run one round: record hosts and failures, then maintenance and moves."""
        if not self._is_planner():
            return
        await self._record_hosts()
        state = self._control.state
        await self._append_all(list_host_changes(state, self._view, self._host_list))
        await self._maintenance_runner.step()
        if self._is_planner():
            await self._move_runner.step()

    def is_usable(self, host: HostState) -> bool:
        """Return whether a host may get new work, given all that this node knows."""
        view = self._view(host.facts.host)
        return (
            host.is_serving
            and view.status is not None
            and view.status.state == "serving"
            and view.failures == 0
            and not self._host_list.is_leaving(host.facts.host, view)
        )

    async def _record_hosts(self) -> None:
        known = self._control.state.hosts
        records = [_build_host_seen(facts) for facts in self._host_list.hosts.values()]
        await self._append_all(
            [record for record in records if is_news(known.get(record.host), record)]
        )

    async def _append_all(self, records: Sequence[Record]) -> None:
        for start in range(0, len(records), MAX_CONCURRENT_APPENDS):
            chunk = records[start : start + MAX_CONCURRENT_APPENDS]
            await asyncio.gather(*(self._append_record(record) for record in chunk))

    async def _append_record(self, record: Record) -> Effect | None:
        """Append a record; return its effect, or None if the outcome is unknown."""
        kind = type(record).__name__
        try:
            effect = await self._writer.append(record, APPEND_TIMEOUT_MS)
        except AppendRefusedError as error:
            log.warning("append refused", kind=kind, error=str(error))
            return Rejected("not_appended", str(error))
        except AppendUnknownError as error:
            log.warning("append unknown", kind=kind, error=str(error))
            return None
        if isinstance(effect, Rejected):
            log.info("record had no effect", kind=kind, code=effect.code)
        return effect


def is_planner_node(own_id: str, can_plan: bool, peer_ids: Sequence[str]) -> bool:
    """Return whether this node is the planner: the lowest id that reaches the platform.

    `peer_ids` are the live peers that reach the platform; `can_plan` is whether this
    node does and is not leaving.
    """
    return can_plan and all(own_id < peer_id for peer_id in peer_ids)


def _build_host_seen(facts: HostFacts) -> HostSeen:
    return HostSeen(
        host=facts.host,
        address=facts.address,
        data_centre=facts.data_centre,
        rack=facts.rack,
        cpus=facts.cpus,
        memory_mb=facts.memory_mb,
        accelerators=facts.accelerators,
        slots=facts.slots,
        pool=facts.pool,
    )
