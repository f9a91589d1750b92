"""The host controller: carries out maintenance waves and moves hosts between pools."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.fleet import FleetConfig, HostInfo, Wave
from bergamotgap.domain.maintenance_plan import WaveProgress, WorkerLoad
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.wave_runner import ReportWave, WavePorts, WaveRunner
from bergamotgap.pools.wave_view import HostsView, list_absent_hosts
from bergamotgap.ports.fleet import MachineService, MachineServiceUnavailableError
from bergamotgap.ports.pool_peer import MaintenanceCall, MaintenanceReply

HOSTS_POOL = "@hosts"
ROUND_INTERVAL_MS = 100
# An owner's report of its workers' loads is used for this long.
LOAD_TTL_MS = 1500

log = get_logger(__name__)


class HostController:
    """Order moves and maintenance of hosts; only one node in the fleet does so.

    `delay_ms` is how long orders of the former controller may still arrive; nothing is
    ordered before. Calls to owners and orders run beside the rounds, so that an owner
    or a service that is slow to answer delays no others.
    """

    def __init__(
        self,
        token: int,
        delay_ms: int,
        journal: Journal,
        wave_progress: dict[int, WaveProgress],
        machines: MachineService,
        fleet_view: FleetView,
        call_owner: CallOwner,
        report_wave: ReportWave,
        may_act: Callable[[], bool],
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._machines = machines
        self._fleet_view = fleet_view
        self._call_owner = call_owner
        self._may_act = may_act
        self._clock = clock
        self._may_order_from_ms = clock.monotonic_ms() + delay_ms
        self._wave_progress = wave_progress
        self._wave_ports = WavePorts(
            token,
            journal,
            machines,
            call_owner,
            report_wave,
            self._may_order,
            settings,
            clock,
        )
        self._runners: dict[int, WaveRunner] = {}
        # Reported loads by worker, and when each was reported.
        self._loads: dict[str, tuple[WorkerLoad, int]] = {}
        self._notice_tasks: dict[str, asyncio.Task[None]] = {}
        self._has_sent_notices = False
        self._move_task: asyncio.Task[None] | None = None
        # The mover reads this set during its rounds.
        self._pinned_hosts: set[str] = set()
        self._host_mover = HostMover(
            machines,
            call_owner,
            self._may_order,
            token,
            max(1, int(settings.host_orders_per_s * ROUND_INTERVAL_MS / MS_PER_SECOND)),
            settings.move_duration_ms,
            clock,
        )

    async def run(self) -> None:
        """Run rounds of maintenance and moves until cancelled."""
        try:
            while True:
                await self._clock.sleep_ms(ROUND_INTERVAL_MS)
                if not self._may_order():
                    continue
                listed_ms = self._clock.monotonic_ms()
                try:
                    hosts = {i.host: i for i in await self._machines.list_hosts()}
                except MachineServiceUnavailableError as error:
                    log.warning("host service unavailable", error=str(error))
                    continue
                self._run_waves(hosts, listed_ms)
                if self._fleet_view.config is not None:
                    self._start_moves(self._fleet_view.config, hosts)
        finally:
            await self._close()

    async def _close(self) -> None:
        tasks = [*self._notice_tasks.values()]
        if self._move_task is not None:
            tasks.append(self._move_task)
        await cancel_tasks(tasks)
        for runner in self._runners.values():
            await runner.close()

    def measure_waves(self) -> list[tuple[int, int, int]]:
        """Return the number, hosts left and time left in ms of each open wave."""
        return [
            (number, runner.count_hosts_left(), runner.measure_left_ms())
            for number, runner in self._runners.items()
            if not runner.is_reported_completed
        ]

    def _may_order(self) -> bool:
        """Return whether no other host controller can give orders now."""
        is_past = self._clock.monotonic_ms() >= self._may_order_from_ms
        return is_past and self._may_act()

    def _start_moves(self, config: FleetConfig, hosts: Mapping[str, HostInfo]) -> None:
        """Start a round of moves unless the last one is still under way."""
        if self._move_task is not None:
            if not self._move_task.done():
                return
            is_cancelled = self._move_task.cancelled()
            if not is_cancelled and (error := self._move_task.exception()):
                log.error("moves failed", error=repr(error))
        self._move_task = asyncio.create_task(
            self._host_mover.run_round(config, hosts, self._pinned_hosts)
        )

    def _run_waves(self, hosts: Mapping[str, HostInfo], listed_ms: int) -> None:
        """Advance all open waves, and update the hosts that must not be moved."""
        runners = [
            runner
            for wave in self._fleet_view.waves.values()
            if not (runner := self._get_runner(wave)).is_reported_completed
        ]
        config = self._fleet_view.config
        spare = config.spare_services if config else frozenset()
        now_ms = self._clock.monotonic_ms()
        loads = {
            worker_id: load
            for worker_id, (load, at_ms) in self._loads.items()
            if now_ms - at_ms <= LOAD_TTL_MS
        }
        moving = self._host_mover.list_moving_hosts()
        for runner in runners:
            others = [other for other in runners if other is not runner]
            elsewhere = set().union(*(other.list_pinned_hosts() for other in others))
            busy = moving | elsewhere
            runner.run_round(HostsView(hosts, listed_ms, loads, busy, spare))
        pinned = set().union(*(runner.list_pinned_hosts() for runner in runners))
        self._pinned_hosts.clear()
        self._pinned_hosts.update(pinned)
        self._send_notices(hosts, [r for r in runners if not r.is_completed])

    def _get_runner(self, wave: Wave) -> WaveRunner:
        runner = self._runners.get(wave.number)
        if runner is None:
            progress = self._wave_progress.setdefault(wave.number, WaveProgress())
            seen_ms = self._fleet_view.wave_first_seen_ms.get(
                wave.number, self._clock.monotonic_ms()
            )
            runner = WaveRunner(wave, progress, seen_ms, self._wave_ports)
            self._runners[wave.number] = runner
        runner.update_wave(wave)
        return runner

    def _send_notices(
        self, hosts: Mapping[str, HostInfo], runners: list[WaveRunner]
    ) -> None:
        """Tell the owners of pools which hosts are due, and when."""
        turns_ms: dict[str, int] = {}
        vacates: defaultdict[str, list[str]] = defaultdict(list)
        longest_ms = min((r.plan.longest_task_ms for r in runners), default=0)
        for runner in runners:
            for host, turn_ms in runner.list_turns_ms().items():
                turns_ms[host] = min(turn_ms, turns_ms.get(host, turn_ms))
            for host in runner.plan.vacates:
                vacates[hosts[host].pool].append(host)
        config = self._fleet_view.config
        pools = set(config.services) - config.spare_services if config else set()
        # A last notice without hosts ends the preparation at once.
        for pool in sorted(pools) if turns_ms or self._has_sent_notices else ():
            if pool in self._notice_tasks and not self._notice_tasks[pool].done():
                continue
            absent = list_absent_hosts(hosts, pool)
            call = MaintenanceCall(
                pool, turns_ms, longest_ms, tuple(vacates[pool]), absent
            )
            self._notice_tasks[pool] = asyncio.create_task(self._send_notice(call))
        self._has_sent_notices = bool(turns_ms)

    async def _send_notice(self, call: MaintenanceCall) -> None:
        reply = await self._call_owner(call)
        if not isinstance(reply, MaintenanceReply):
            return
        now_ms = self._clock.monotonic_ms()
        for load in reply.loads:
            self._loads[load.worker_id] = (load, now_ms)
