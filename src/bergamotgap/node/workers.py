"""Track the workers: their reported status, assignment and load."""

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.health import HealthTracker
from bergamotgap.domain.routing import estimate_load
from bergamotgap.node.streams import Stream
from bergamotgap.ports.platform import HostListing
from bergamotgap.ports.worker import (
    TaskRefusedError,
    WorkerClient,
    WorkerError,
    WorkerStatus,
    WorkerUnreachableError,
)

POLL_TICK_MS = 100
# Interval of status requests to workers that are not routable or failed the last one.
STATUS_INTERVAL_MS = 1000
# Longer for the others: with 30 workers and an interval of 1 s, statuses alone took 15
# of the 20 KB/s allowed for control traffic.
ROUTABLE_STATUS_INTERVAL_MS = 2500
# A status request transfers about 0.5 KB, and a node may use 20 KB/s for control
# traffic. Above 100 workers the interval therefore grows; answers and refusals of tasks
# keep the views of workers in use fresh.
MAX_STATUSES_PER_SECOND = 40
MAX_CONCURRENT_POLLS = 64
# One lost status may be transient; a refused connection is not.
FAILURES_UNTIL_UNREACHABLE = 2
# The host list may wrongly show a host as leaving. After this time the status that the
# worker reports is trusted again.
LISTED_LEAVING_TTL_MS = 60_000

log = get_logger(__name__)


@dataclass(slots=True)
class WorkerView:
    """What this node knows of one worker; reservations are for this node's tasks.

    `failures` counts the failed calls since the last answer. `running` counts this
    node's tasks, `busy` the running tasks that the worker last reported, and
    `sent_since_report` the tasks that this node sent after that report.
    `is_unreachable` and `is_refusing` exclude the worker from routing until its next
    status. `listed_leaving_ms` is the monotonic time since which the platform's host
    list shows the host as leaving.
    """

    status: WorkerStatus | None = None
    failures: int = 0
    running: int = 0
    busy: int = 0
    sent_since_report: int = 0
    reserved_cpus: float = 0.0
    reserved_memory_mb: float = 0.0
    reserved_accelerators: int = 0
    is_unreachable: bool = False
    is_refusing: bool = False
    listed_leaving_ms: int | None = None
    next_poll_ms: int = 0
    is_poll_in_flight: bool = False

    @property
    def load(self) -> int:
        """Return the estimated number of tasks that the worker runs."""
        return estimate_load(self.running, self.busy, self.sent_since_report)

    def record_busy(self, busy: int) -> None:
        """Record the number of running tasks that the worker reported."""
        self.busy = busy
        self.sent_since_report = 0


class Workers:
    """Keeps the views of all workers and refreshes them by polling.

    Whether a worker is leaving is determined from its own reports, from the host list
    given to `record_listing` and from refused connections.
    """

    def __init__(
        self,
        control: Stream[ControlState],
        client: WorkerClient,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._control = control
        self._client = client
        self._clock = clock
        self._rng = rng or random.Random()
        self._views: dict[str, WorkerView] = {}
        self._polls: set[asyncio.Task[None]] = set()
        self._pools: dict[str, list[HostState]] = {}
        self._pools_cache_key: tuple[int, int] | None = None
        self._routable: dict[str, list[HostState]] = {}
        self.health = HealthTracker(clock)

    def view(self, host: str) -> WorkerView:
        """Return the view of a host's worker; create it if there is none."""
        view = self._views.get(host)
        if view is None:
            view = self._views[host] = WorkerView()
        return view

    def list_pool_hosts(self, pool: str) -> list[HostState]:
        """Return the hosts of a pool according to the folded state."""
        key = (id(self._control.state), self._control.next_offset)
        if key != self._pools_cache_key:
            self._pools_cache_key = key
            self._pools = {}
            self._routable = {}
            for host in self._control.state.hosts.values():
                if host.pool is not None:
                    self._pools.setdefault(host.pool, []).append(host)
        return self._pools.get(pool, [])

    def is_routable(self, host: HostState) -> bool:
        """Return whether a worker may be given new tasks of its pool.

        It must have answered recently, report that it serves in the pool and epoch of
        the folded state, and be neither draining nor listed as leaving.
        """
        view = self.view(host.facts.host)
        status = view.status
        return (
            status is not None
            and not view.is_unreachable
            and not view.is_refusing
            and status.state == "serving"
            and status.epoch == host.epoch
            and status.pool == host.pool
            and host.is_serving
            and not self._is_listed_leaving(view)
        )

    def _is_listed_leaving(self, view: WorkerView) -> bool:
        if view.listed_leaving_ms is None:
            return False
        age_ms = self._clock.monotonic_ms() - view.listed_leaving_ms
        return age_ms < LISTED_LEAVING_TTL_MS

    def list_routable_hosts(self, pool: str) -> list[HostState]:
        """Return the routable workers of a pool.

        Each change produces a new list; callers must not modify it.
        """
        hosts = self.list_pool_hosts(pool)
        routable = self._routable.get(pool)
        if routable is None:
            routable = [host for host in hosts if self.is_routable(host)]
            self._routable[pool] = routable
        return routable

    def pool_capacity(self, pool: str) -> int:
        """Return the slots of a pool's routable workers that are not ejected."""
        return sum(
            host.facts.slots
            for host in self.list_routable_hosts(pool)
            if not self.health.is_ejected(host.facts.host)
        )

    def record_answer(self, host: str, busy: int | None, boot_id: str | None) -> None:
        """Record the headers of a worker's answer or refusal."""
        view = self.view(host)
        view.failures = 0
        if busy is not None:
            view.record_busy(busy)
        if view.status is not None and boot_id not in (None, view.status.boot_id):
            log.info("worker restarted", host=host, boot_id=boot_id)
            self._forget_status(view)

    def record_refusal(self, host: str, code: str) -> None:
        """Record that a worker refused a task before its start."""
        view = self.view(host)
        if code in ("leaving", "draining"):
            view.is_refusing = True
        if code in ("leaving", "draining", "stale_epoch", "wrong_boot"):
            view.next_poll_ms = 0
            self._routable.clear()

    def record_unreachable(self, host: str) -> None:
        """Record that no connection to a worker could be established."""
        view = self.view(host)
        if not view.is_unreachable:
            log.warning("worker unreachable", host=host)
        view.is_unreachable = True
        view.failures += 1
        view.next_poll_ms = 0
        self._routable.clear()

    def record_failure(self, entry: str, host: str, pool: str) -> None:
        """Count a failed task against a worker."""
        names = [item.facts.host for item in self.list_pool_hosts(pool)]
        if self.health.record_failure(entry, host, names):
            log.warning("worker ejected", host=host, pool=pool, entry=entry)

    def record_listing(self, listing: HostListing) -> None:
        """Record which hosts the platform lists as leaving."""
        now_ms = self._clock.monotonic_ms()
        leaving = {facts.host for facts in listing.hosts if facts.is_leaving}
        for name in self._control.state.hosts:
            view = self.view(name)
            if name not in leaving:
                view.listed_leaving_ms = None
            elif view.listed_leaving_ms is None:
                view.listed_leaving_ms = now_ms
        self._routable.clear()

    async def run(self) -> None:
        """Poll all workers at their intervals until cancelled."""
        try:
            while True:
                self._start_due_polls()
                await self._clock.sleep_ms(POLL_TICK_MS)
        finally:
            for poll in self._polls:
                poll.cancel()

    def _start_due_polls(self) -> None:
        # The cache must be dropped because a listing as leaving may just have expired.
        self._routable.clear()
        self._drop_removed_hosts(self._control.state.hosts)
        now_ms = self._clock.monotonic_ms()
        for name, host in self._control.state.hosts.items():
            view = self.view(name)
            if view.next_poll_ms > now_ms or view.is_poll_in_flight:
                continue
            if len(self._polls) >= MAX_CONCURRENT_POLLS:
                return
            view.is_poll_in_flight = True
            poll = asyncio.create_task(self._poll_worker(name, host, view))
            self._polls.add(poll)
            poll.add_done_callback(self._polls.discard)

    def _drop_removed_hosts(self, known: Collection[str]) -> None:
        for name in [name for name in self._views if name not in known]:
            if self._views[name].running == 0:
                del self._views[name]
                self.health.forget_worker(name)

    async def _poll_worker(self, name: str, host: HostState, view: WorkerView) -> None:
        try:
            await self.refresh_status(name, host)
        finally:
            view.is_poll_in_flight = False
            interval_ms = self._poll_interval_ms(host)
            jitter_ms = self._rng.uniform(-0.2, 0.2) * interval_ms
            view.next_poll_ms = int(
                self._clock.monotonic_ms() + interval_ms + jitter_ms
            )

    def _poll_interval_ms(self, host: HostState) -> float:
        # A worker stays routable after one lost status. At the long interval, the next
        # request followed up to 51 s later with 1700 hosts.
        is_suspect = self.view(host.facts.host).failures > 0
        if is_suspect or not self.is_routable(host):
            return STATUS_INTERVAL_MS
        count = len(self._control.state.hosts)
        return max(ROUTABLE_STATUS_INTERVAL_MS, 1000 * count / MAX_STATUSES_PER_SECOND)

    async def refresh_status(self, name: str, host: HostState) -> None:
        """Fetch a worker's status; assign its pool if its epoch is out of date."""
        view = self.view(name)
        address = host.facts.address
        try:
            status = await self._client.fetch_status(address)
            self._record_status(view, status)
            self._routable.clear()
            if status.epoch < host.epoch:
                await self._client.assign(address, host.pool, host.epoch)
                view.status = replace(status, pool=host.pool, epoch=host.epoch)
        except TaskRefusedError as error:
            log.info("assignment refused", host=name, code=error.code)
        except WorkerError as error:
            self._record_failed_status(name, view, error)
        self._routable.clear()

    def _record_status(self, view: WorkerView, status: WorkerStatus) -> None:
        if view.status is not None and view.status.boot_id != status.boot_id:
            self._forget_status(view)
        view.status = status
        view.failures = 0
        view.is_unreachable = False
        view.is_refusing = False
        view.record_busy(status.busy)

    def _record_failed_status(
        self, name: str, view: WorkerView, error: WorkerError
    ) -> None:
        log.info("worker status not fetched", host=name, error=repr(error))
        view.failures += 1
        is_refused = isinstance(error, WorkerUnreachableError)
        if is_refused or view.failures >= FAILURES_UNTIL_UNREACHABLE:
            view.is_unreachable = True

    def _forget_status(self, view: WorkerView) -> None:
        view.status = None
        view.next_poll_ms = 0
        view.record_busy(0)
        self._routable.clear()
