"""The owner of the hosts: carries out waves of upkeep and moves hosts."""

from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import HostInfo, Wave
from bergamotgap.domain.maintenance_plan import (
    WaveProgress,
    is_wave_completed,
    list_drain_candidates,
    record_in_maintenance,
    record_returned,
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
# Moves must not wait for an upkeep that can't be written.
SAVE_TIMEOUT_MS = 300

log = get_logger(__name__)
ReportWave = Callable[[Wave, bool], Awaitable[None]]


class HostController:
    """Order moves and upkeep of hosts as the one holder of the duty."""

    def __init__(
        self,
        token: int,
        wait_ms: int,
        journal: Journal,
        progress: dict[int, WaveProgress],
        machines: MachineService,
        directory: FleetView,
        ask_owner: CallOwner,
        report_wave: ReportWave,
        is_confirmed: Callable[[], bool],
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._token = token
        self._machines = machines
        self._directory = directory
        self._ask_owner = ask_owner
        self._report_wave = report_wave
        self._is_confirmed = is_confirmed
        self._settings = settings
        self._clock = clock
        self._may_order_ms = clock.monotonic_ms() + wait_ms
        self._journal = journal
        self._progress = progress
        self._reported: dict[int, bool] = {}
        self._moves = HostMover(
            machines,
            ask_owner,
            self._may_order,
            token,
            settings.move_duration_ms,
            clock,
        )

    async def run(self) -> None:
        """Work on waves until cancelled."""
        while True:
            await self._clock.sleep_ms(ROUND_INTERVAL_MS)
            if not self._may_order():
                continue
            try:
                hosts = {i.host: i for i in await self._machines.list_hosts()}
                kept = await self._work_on_waves(hosts)
                if self._directory.config is not None:
                    await self._moves.run_round(self._directory.config, hosts, kept)
            except MachineServiceUnavailableError as error:
                log.warning("machines unavailable", error=str(error))

    def _may_order(self) -> bool:
        """Tell whether no other holder can give orders now."""
        is_past = self._clock.monotonic_ms() >= self._may_order_ms
        return is_past and self._is_confirmed()

    async def _work_on_waves(self, hosts: dict[str, HostInfo]) -> set[str]:
        """Carry out upkeep; return the hosts that must not move meanwhile."""
        open_waves = [
            wave
            for wave in self._directory.waves.values()
            if not self._reported.get(wave.number, False)
        ]
        kept: set[str] = set()
        for wave in open_waves:
            kept |= await self._work_on_wave(wave, hosts)
        return kept

    async def _work_on_wave(self, wave: Wave, hosts: dict[str, HostInfo]) -> set[str]:
        progress = self._progress.setdefault(wave.number, WaveProgress())
        now_ms = self._clock.monotonic_ms()
        record_in_maintenance(wave, progress, hosts, now_ms)
        done = len(progress.done)
        record_returned(progress, hosts, now_ms, self._settings.maintenance_ms)
        if len(progress.done) > done:
            save_wave_progress(self._journal, wave.number, progress)
        if is_wave_completed(wave, progress, hosts):
            await self._report(wave, is_completed=True)
            return set()
        if wave.number not in self._reported:
            await self._report(wave, is_completed=False)
        config = self._directory.config
        spare = config.spare_services if config else frozenset()
        candidates = list_drain_candidates(wave, progress, hosts, spare)
        for info in candidates:
            is_empty = info.pool in spare or await self._vacate(info)
            is_repeated = info.host in progress.unanswered
            is_full = len(progress.list_in_maintenance()) >= wave.cap
            if (is_full and not is_repeated) or not is_empty:
                continue
            await self._maintain(wave, info, progress, spare)
        return progress.list_in_maintenance() | {info.host for info in candidates}

    async def _maintain(
        self,
        wave: Wave,
        info: HostInfo,
        progress: WaveProgress,
        spare: frozenset[str],
    ) -> None:
        # An order without an answer may be executed, so the host counts from now on and
        # the order is repeated until it is answered.
        progress.begun_ms[info.host] = self._clock.monotonic_ms()
        is_repeated = info.host in progress.unanswered
        progress.unanswered.add(info.host)
        may_order = await self._save(wave, progress)
        # The pool may have got another owner meanwhile, which gives the worker work.
        may_order = may_order and (info.pool in spare or await self._vacate(info))
        # The holder may have been frozen since the round began.
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
            "upkeep", wave=wave.number, host=info.host, pool=info.pool, refused=reason
        )
        if reason:
            del progress.begun_ms[info.host]
        save_wave_progress(self._journal, wave.number, progress)

    async def _save(self, wave: Wave, progress: WaveProgress) -> bool:
        """Write the progress; tell whether it lasts within a bounded time."""
        change = save_wave_progress(self._journal, wave.number, progress)
        if await self._journal.wait_committed_within(change, SAVE_TIMEOUT_MS):
            return True
        log.warning("upkeep put off", wave=wave.number, reason="log_lost")
        return False

    async def _vacate(self, info: HostInfo) -> bool:
        if not info.worker_id:
            return True
        reply = await self._ask_owner(
            DrainCall(info.pool, info.worker_id, may_stop=True)
        )
        return isinstance(reply, DrainReply) and reply.is_empty

    async def _report(self, wave: Wave, is_completed: bool) -> None:
        try:
            await self._report_wave(wave, is_completed)
        except StoreError as error:
            log.warning("wave not reported", wave=wave.number, error=str(error))
            return
        self._reported[wave.number] = is_completed
        log.info("wave reported", wave=wave.number, completed=is_completed)
