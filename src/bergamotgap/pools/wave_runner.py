"""Carries out one maintenance wave: drains its hosts and orders their maintenance."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import HostInfo, Wave
from bergamotgap.domain.maintenance_plan import (
    LEFT_MS,
    MOVING,
    UP,
    WavePlan,
    WaveProgress,
    is_wave_completed,
    plan_wave,
    record_hosts_in_maintenance,
    record_returned_hosts,
)
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.wave_records import save_wave_progress
from bergamotgap.pools.wave_view import HostsView, list_absent_hosts
from bergamotgap.pools.wave_waits import REASON_TURN, WaitLog
from bergamotgap.ports.fleet import (
    MachineService,
    MachineServiceUnavailableError,
    StoreError,
)
from bergamotgap.ports.pool_peer import DrainCall, DrainReply

# Time limit for writing a wave's progress, so that a host does not stay drained for
# maintenance that the log can't record.
SAVE_TIMEOUT_MS = 300
# Hosts whose load is unknown are drained only this long after the first round, so that
# the owners' first reports tell which hosts are nearly empty.
FIRST_LOADS_MS = 300

NO_PLAN = WavePlan((), (), {}, 0)

log = get_logger(__name__)
ReportWave = Callable[[Wave, bool], Awaitable[None]]


@dataclass(frozen=True)
class WavePorts:
    """What the waves of one host controller share."""

    token: int
    journal: Journal
    machines: MachineService
    call_owner: CallOwner
    report_wave: ReportWave
    may_order: Callable[[], bool]
    settings: PoolSettings
    clock: Clock


class WaveRunner:
    """Carry out one wave; orders run as asyncio tasks, one for each host."""

    def __init__(
        self, wave: Wave, progress: WaveProgress, seen_ms: int, ports: WavePorts
    ) -> None:
        self.wave = wave
        self.progress = progress
        self.plan = NO_PLAN
        self._ports = ports
        self._clock = ports.clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._report_task: asyncio.Task[None] | None = None
        self._is_reported: bool | None = None
        # Hosts that are being drained, and since when; `_empty` are those found empty.
        self._draining: dict[str, int] = {}
        self._empty: set[str] = set()
        # Hosts that were not up during the wave, and since when others are not listed.
        self._was_away: set[str] = set()
        self._unlisted_since_ms: dict[str, int] = {}
        self._waits = WaitLog(wave.number)
        if not progress.started_wall_ms:
            passed_ms = self._clock.monotonic_ms() - seen_ms
            progress.started_wall_ms = self._clock.wall_ms() - passed_ms
            self._save()
        self._seen_ms = seen_ms
        self._first_round_ms = self._clock.monotonic_ms()

    async def close(self) -> None:
        """Cancel the orders and reports under way."""
        await cancel_tasks([*self._tasks.values()])
        if self._report_task is not None:
            await cancel_tasks([self._report_task])

    @property
    def is_completed(self) -> bool:
        """Whether all hosts have returned from maintenance or left."""
        return is_wave_completed(self.wave, self.progress, ())

    def update_wave(self, wave: Wave) -> None:
        """Apply a newer version of the wave."""
        if wave != self.wave:
            self.wave, self._is_reported = wave, None

    @property
    def is_reported_completed(self) -> bool:
        """Whether the wave's completion was reported."""
        return self._is_reported is True

    def measure_left_ms(self) -> int:
        """Return the time left, negative if the wave is late."""
        passed_ms = max(
            self._clock.monotonic_ms() - self._seen_ms,
            self._clock.wall_ms() - self.progress.started_wall_ms,
        )
        return self.wave.duration_ms - passed_ms

    def count_hosts_left(self) -> int:
        """Return how many hosts have not returned from maintenance."""
        return len(set(self.wave.hosts) - self.progress.done)

    def list_pinned_hosts(self) -> set[str]:
        """Return the hosts that must not be moved."""
        in_maintenance = self.progress.list_hosts_in_maintenance()
        return in_maintenance | set(self._draining) | set(self._tasks)

    def list_turns_ms(self) -> dict[str, int]:
        """Return the time until the turn of each host that still has to begin.

        Hosts that are not up have theirs at the end as long as they don't return.
        """
        if self.is_completed:
            return {}
        waiting = set(self.wave.hosts) - set(self.progress.begun_ms)
        last_ms = self.plan.finish_ms
        return {host: self.plan.turns_ms.get(host, last_ms) for host in waiting}

    def run_round(self, view: HostsView) -> None:
        """Advance the wave by the newest list of hosts."""
        progress, now_ms = self.progress, self._clock.monotonic_ms()
        self._record_states(view, now_ms)
        if self.is_completed:
            self._draining.clear()
            self.plan = NO_PLAN
            self._start_report(is_completed=True)
            return
        if self._is_reported is None:
            self._start_report(is_completed=False)
        self._update_plan(view, now_ms)
        for host in (*sorted(progress.unanswered), *self._draining):
            info = view.hosts.get(host)
            if info is None or info.state != UP or host in view.busy:
                continue
            if host not in self._tasks:
                self._start_advance(info, view)
        self._log_waits(view, now_ms)

    def _record_states(self, view: HostsView, now_ms: int) -> None:
        progress = self.progress
        listed = {
            host: info for host, info in view.hosts.items() if host not in view.busy
        }
        record_hosts_in_maintenance(self.wave, progress, listed, now_ms)
        done_before = len(progress.done)
        # An order may have been answered since the list was asked for.
        record_returned_hosts(
            progress, view.hosts, view.listed_ms, self._ports.settings.maintenance_ms
        )
        for host in self.wave.hosts:
            if host in view.hosts:
                self._unlisted_since_ms.pop(host, None)
            else:
                self._unlisted_since_ms.setdefault(host, now_ms)
            if host not in view.hosts or view.hosts[host].state not in (UP, MOVING):
                self._was_away.add(host)
        left = {
            host
            for host, since_ms in self._unlisted_since_ms.items()
            if now_ms - since_ms >= LEFT_MS and host not in progress.unanswered
        }
        if is_wave_completed(self.wave, progress, left):
            # A host that is added later under the name of one that left is not due.
            progress.done |= left
        if len(progress.done) > done_before:
            self._save()

    def _update_plan(self, view: HostsView, now_ms: int) -> None:
        progress = self.progress
        waiting = [host for host in self.wave.hosts if host not in progress.begun_ms]
        pending = [
            view.describe_host(
                view.hosts[host], self._drained_ms(host, now_ms), host in self._was_away
            )
            for host in waiting
            if host in view.hosts
            and view.hosts[host].state == UP
            and host not in view.busy
        ]
        in_maintenance = progress.list_hosts_in_maintenance()
        duration_ms = self._ports.settings.maintenance_ms
        slots_ms = [
            max(0, progress.begun_ms[host] + duration_ms - now_ms)
            for host in in_maintenance
        ]
        slots_ms += [0] * (self.wave.cap - len(in_maintenance))
        self.plan = plan_wave(
            pending,
            slots_ms,
            len(waiting) - len(pending),
            self.measure_left_ms(),
            duration_ms,
        )
        is_early = now_ms - self._first_round_ms < FIRST_LOADS_MS
        self._draining = {
            host: self._draining.get(host, now_ms)
            for host in self.plan.drains
            if not is_early or view.is_load_known(view.hosts[host])
        }
        self._empty &= set(self._draining)

    def _drained_ms(self, host: str, now_ms: int) -> int | None:
        """Return how long a host has been drained: None if not, 0 if it is empty."""
        if host not in self._draining:
            return None
        return 0 if host in self._empty else max(1, now_ms - self._draining[host])

    def _start_advance(self, info: HostInfo, view: HostsView) -> None:
        task = asyncio.create_task(self._advance_host(info, view))
        self._tasks[info.host] = task

        def handle_end(ended: asyncio.Task[None]) -> None:
            self._tasks.pop(info.host, None)
            if not ended.cancelled() and (error := ended.exception()) is not None:
                log.error("maintenance failed", host=info.host, error=repr(error))

        task.add_done_callback(handle_end)

    async def _advance_host(self, info: HostInfo, view: HostsView) -> None:
        """Drain a host, and order its maintenance once it is empty and has its turn."""
        if not await self._drain(info, view):
            return
        is_repeated = info.host in self.progress.unanswered
        in_maintenance = self.progress.list_hosts_in_maintenance()
        if len(in_maintenance) >= self.wave.cap and not is_repeated:
            self._waits.reasons[info.host] = "cap"
            return
        await self._order_maintenance(info, view, is_repeated)

    async def _drain(self, info: HostInfo, view: HostsView) -> bool:
        if info.pool in view.spare or not info.worker_id:
            return True
        reply = await self._ports.call_owner(
            DrainCall(
                info.pool,
                info.worker_id,
                may_stop=True,
                stops_late=info.host in self.plan.stops,
                absent=list_absent_hosts(view.hosts, info.pool),
                host=info.host,
            )
        )
        if not isinstance(reply, DrainReply):
            self._waits.reasons[info.host] = "owner_silent"
            return False
        if reply.is_empty:
            self._empty.add(info.host)
        else:
            self._empty.discard(info.host)
            load = view.loads.get(info.worker_id)
            has_long_tasks = load is not None and bool(load.long_tasks)
            self._waits.reasons[info.host] = (
                "long_tasks" if has_long_tasks else "short_tasks"
            )
        return reply.is_empty

    async def _order_maintenance(
        self, info: HostInfo, view: HostsView, is_repeated: bool
    ) -> None:
        # An order without an answer may still be executed. So the host counts against
        # the wave's cap from now on, and the order is repeated until it is answered.
        progress, host = self.progress, info.host
        progress.begun_ms[host] = self._clock.monotonic_ms()
        progress.unanswered.add(host)
        may_order = await self._save_in_time(host)
        # The pool may have changed its owner while the progress was written, and the
        # new owner may have given the worker tasks.
        may_order = may_order and await self._drain(info, view)
        # This process may have been paused since the round began, and another node may
        # have become the controller.
        if not may_order or not self._ports.may_order():
            if not is_repeated:
                self._withdraw(host)
            return
        try:
            reason = await self._ports.machines.start_maintenance(
                host, self.wave.number, self._ports.token
            )
        except MachineServiceUnavailableError as error:
            log.warning(
                "maintenance unanswered",
                wave=self.wave.number,
                host=host,
                error=str(error),
                may_have_executed=error.may_have_executed,
            )
            if not error.may_have_executed and not is_repeated:
                self._withdraw(host)
                self._save()
            return
        progress.unanswered.discard(host)
        progress.begun_ms[host] = self._clock.monotonic_ms()
        log.info(
            "maintenance ordered",
            wave=self.wave.number,
            host=host,
            pool=info.pool,
            refused=reason,
        )
        if reason:
            self._waits.reasons[host] = "refused"
            self._withdraw(host)
        self._save()

    def _withdraw(self, host: str) -> None:
        self.progress.begun_ms.pop(host, None)
        self.progress.unanswered.discard(host)

    def _save(self) -> int:
        return save_wave_progress(self._ports.journal, self.wave.number, self.progress)

    async def _save_in_time(self, host: str) -> bool:
        """Write the wave's progress; return whether it was committed in time."""
        change = self._save()
        if await self._ports.journal.wait_committed_within(change, SAVE_TIMEOUT_MS):
            return True
        self._waits.reasons[host] = "log_lost"
        return False

    def _start_report(self, is_completed: bool) -> None:
        is_under_way = self._report_task is not None and not self._report_task.done()
        if self._is_reported is is_completed or is_under_way:
            return
        self._report_task = asyncio.create_task(self._report(is_completed))

    async def _report(self, is_completed: bool) -> None:
        try:
            await self._ports.report_wave(self.wave, is_completed)
        except StoreError as error:
            log.warning("wave not reported", wave=self.wave.number, error=str(error))
            return
        self._is_reported = is_completed
        log.info(
            "wave reported",
            wave=self.wave.number,
            completed=is_completed,
            left_ms=self.measure_left_ms(),
        )

    def _log_waits(self, view: HostsView, now_ms: int) -> None:
        left_ms = self.measure_left_ms()
        for host in self.wave.hosts:
            if host in self.progress.begun_ms and host not in self.progress.unanswered:
                self._waits.forget(host)
                continue
            turn_ms = self.plan.turns_ms.get(host, -1)
            reason = self._explain_wait(host, view)
            self._waits.record(host, reason, turn_ms, left_ms, now_ms)

    def _explain_wait(self, host: str, view: HostsView) -> str:
        info = view.hosts.get(host)
        if info is None:
            return "unlisted"
        if host in self.progress.unanswered:
            return "order_unanswered"
        if info.state != UP:
            return info.state
        if host in view.busy:
            return MOVING
        if host in self._draining:
            return self._waits.reasons.get(host, "draining")
        return "long_tasks" if host in self.plan.vacates else REASON_TURN
