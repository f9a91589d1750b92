"""The host controller: carries out maintenance waves and moves hosts between pools."""

from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.fleet import HostInfo, Wave
from bergamotgap.domain.maintenance_plan import (
    WaveProgress,
    is_wave_completed,
    list_drain_candidates,
    record_hosts_in_maintenance,
    record_returned_hosts,
)
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.wave_records import save_wave_progress
from bergamotgap.ports.fleet import (
    MachineService,
    MachineServiceUnavailableError,
    StoreError,
)
from bergamotgap.ports.pool_peer import DrainCall, DrainReply

HOSTS_POOL = "@hosts"
ROUND_INTERVAL_MS = 100
# Time limit for writing a wave's progress, so that moves of hosts don't wait for
# maintenance that the log can't record.
SAVE_TIMEOUT_MS = 300

log = get_logger(__name__)
ReportWave = Callable[[Wave, bool], Awaitable[None]]


class HostController:
    """Order moves and maintenance of hosts; only one node in the fleet does so.

    `delay_ms` is how long orders of the former controller may still arrive; nothing is
    ordered before.
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
        self._token = token
        self._machines = machines
        self._fleet_view = fleet_view
        self._call_owner = call_owner
        self._report_wave = report_wave
        self._may_act = may_act
        self._settings = settings
        self._clock = clock
        self._may_order_from_ms = clock.monotonic_ms() + delay_ms
        self._journal = journal
        self._wave_progress = wave_progress
        self._reported_waves: dict[int, bool] = {}
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
        while True:
            await self._clock.sleep_ms(ROUND_INTERVAL_MS)
            if not self._may_order():
                continue
            try:
                hosts = {i.host: i for i in await self._machines.list_hosts()}
                pinned_hosts = await self._run_waves(hosts)
                if self._fleet_view.config is not None:
                    await self._host_mover.run_round(
                        self._fleet_view.config, hosts, pinned_hosts
                    )
            except MachineServiceUnavailableError as error:
                log.warning("host service unavailable", error=str(error))

    def _may_order(self) -> bool:
        """Return whether no other host controller can give orders now."""
        is_past = self._clock.monotonic_ms() >= self._may_order_from_ms
        return is_past and self._may_act()

    async def _run_waves(self, hosts: dict[str, HostInfo]) -> set[str]:
        """Carry out maintenance; return the hosts that must not be moved meanwhile."""
        open_waves = [
            wave
            for wave in self._fleet_view.waves.values()
            if not self._reported_waves.get(wave.number, False)
        ]
        pinned_hosts: set[str] = set()
        for wave in open_waves:
            pinned_hosts |= await self._run_wave(wave, hosts)
        return pinned_hosts

    async def _run_wave(self, wave: Wave, hosts: dict[str, HostInfo]) -> set[str]:
        """Advance one wave; return its hosts that must not be moved meanwhile."""
        progress = self._wave_progress.setdefault(wave.number, WaveProgress())
        now_ms = self._clock.monotonic_ms()
        record_hosts_in_maintenance(wave, progress, hosts, now_ms)
        done_before = len(progress.done)
        record_returned_hosts(progress, hosts, now_ms, self._settings.maintenance_ms)
        if len(progress.done) > done_before:
            save_wave_progress(self._journal, wave.number, progress)
        if is_wave_completed(wave, progress, hosts):
            await self._report_wave_status(wave, is_completed=True)
            return set()
        if wave.number not in self._reported_waves:
            await self._report_wave_status(wave, is_completed=False)
        config = self._fleet_view.config
        spare = config.spare_services if config else frozenset()
        candidates = list_drain_candidates(wave, progress, hosts, spare)
        for info in candidates:
            is_empty = info.pool in spare or await self._drain_worker(info)
            is_repeated = info.host in progress.unanswered
            is_cap_reached = len(progress.list_hosts_in_maintenance()) >= wave.cap
            if (is_cap_reached and not is_repeated) or not is_empty:
                continue
            await self._order_maintenance(wave, info, progress, spare)
        return progress.list_hosts_in_maintenance() | {info.host for info in candidates}

    async def _order_maintenance(
        self,
        wave: Wave,
        info: HostInfo,
        progress: WaveProgress,
        spare: frozenset[str],
    ) -> None:
        # An order without an answer may still be executed. So the host counts against
        # the wave's cap from now on, and the order is repeated until it is answered.
        progress.begun_ms[info.host] = self._clock.monotonic_ms()
        is_repeated = info.host in progress.unanswered
        progress.unanswered.add(info.host)
        may_order = await self._save_progress(wave, progress)
        # The pool may have changed its owner while the progress was written, and the
        # new owner may have given the worker tasks.
        may_order = may_order and (info.pool in spare or await self._drain_worker(info))
        # This process may have been paused since the round began, and another node may
        # have become the controller.
        if not may_order or not self._may_order():
            if not is_repeated:
                del progress.begun_ms[info.host]
                progress.unanswered.discard(info.host)
            return
        reason = await self._machines.start_maintenance(
            info.host, wave.number, self._token
        )
        progress.unanswered.discard(info.host)
        progress.begun_ms[info.host] = self._clock.monotonic_ms()
        log.info(
            "maintenance ordered",
            wave=wave.number,
            host=info.host,
            pool=info.pool,
            refused=reason,
        )
        if reason:
            del progress.begun_ms[info.host]
        save_wave_progress(self._journal, wave.number, progress)

    async def _save_progress(self, wave: Wave, progress: WaveProgress) -> bool:
        """Write the wave's progress; return whether it was committed in time."""
        change = save_wave_progress(self._journal, wave.number, progress)
        if await self._journal.wait_committed_within(change, SAVE_TIMEOUT_MS):
            return True
        log.warning("maintenance postponed", wave=wave.number, reason="log_lost")
        return False

    async def _drain_worker(self, info: HostInfo) -> bool:
        if not info.worker_id:
            return True
        reply = await self._call_owner(
            DrainCall(info.pool, info.worker_id, may_stop=True)
        )
        return isinstance(reply, DrainReply) and reply.is_empty

    async def _report_wave_status(self, wave: Wave, is_completed: bool) -> None:
        try:
            await self._report_wave(wave, is_completed)
        except StoreError as error:
            log.warning("wave not reported", wave=wave.number, error=str(error))
            return
        self._reported_waves[wave.number] = is_completed
        log.info("wave reported", wave=wave.number, completed=is_completed)
