"""Tell which hosts are down, up or leaving, from their workers and the host list."""

from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import HostDown, HostRemoved, HostUp, Record
from bergamotgap.node.workers import WorkerView
from bergamotgap.ports.platform import HostDirectory, HostListing, PlatformError

# One host is about 200 bytes of the list; reading it takes at most 5 KB/s.
LIST_INTERVAL_MS_PER_HOST = 40
MIN_LIST_INTERVAL_MS = 2000
# The platform counts as reachable while its list was fetched within this time and
# one interval.
LIST_FRESH_MS = 3000
# Failed status calls in a row, one a second, before a host is recorded as down.
DOWN_AFTER_FAILURES = 4
# A host that reboots for maintenance doesn't answer for a while.
DOWN_AFTER_FAILURES_DRAINING = 300
# Above this part of silent hosts it is more likely that this node is cut off: one of
# three data centres can fail at once, more than that has not been seen.
MAX_SILENT_FRACTION = 0.5
# Above this part of leaving hosts, the list is taken to be wrong for workers that
# serve by their own word.
MAX_LEAVING_FRACTION = 0.5
REMOVE_AFTER_LISTINGS = 30

log = get_logger(__name__)


class HostList:
    """Own the latest host list of the platform and the task that fetches it.

    `observe` is given each new listing.

    The list lags. Listings that are older than the latest one are passed over, and
    the latest one stays in use while the platform can't be reached.
    """

    def __init__(
        self,
        directory: HostDirectory,
        clock: Clock,
        observe: Callable[[HostListing], None] = lambda listing: None,
    ) -> None:
        self._directory = directory
        self._observe = observe
        self._clock = clock
        self._as_of_ms = -1
        self._fetched_ms: int | None = None
        self._hosts: Mapping[str, HostFacts] = {}
        self._is_leaving_plausible = True
        self._absent: dict[str, int] = {}

    @property
    def is_fresh(self) -> bool:
        """Return whether the platform answered lately."""
        if self._fetched_ms is None:
            return False
        age_ms = self._clock.monotonic_ms() - self._fetched_ms
        return age_ms <= LIST_FRESH_MS + self._interval_ms

    @property
    def _interval_ms(self) -> int:
        return max(MIN_LIST_INTERVAL_MS, LIST_INTERVAL_MS_PER_HOST * len(self._hosts))

    @property
    def hosts(self) -> Mapping[str, HostFacts]:
        """Return the listed hosts by name."""
        return self._hosts

    def is_leaving(self, host: str, view: WorkerView) -> bool:
        """Return whether a host must get no new work because it leaves.

        Either the worker says so itself, or the list does. A list that shows most of
        the fleet as leaving counts only for workers that don't say that they serve.
        """
        state = view.status.state if view.status is not None else None
        if state == "leaving":
            return True
        facts = self._hosts.get(host)
        if facts is None or not facts.is_leaving:
            return False
        return self._is_leaving_plausible or state != "serving"

    def count_missed_listings(self, host: str) -> int:
        """Return how many listings in a row did not show a host."""
        return self._absent.get(host, 0)

    async def run(self) -> None:
        """Fetch the list for good."""
        while True:
            await self.refresh()
            await self._clock.sleep_ms(self._interval_ms)

    async def refresh(self) -> None:
        """Fetch the list once; keep the last one when that fails."""
        try:
            listing = await self._directory.list_hosts()
        except PlatformError as error:
            log.info("host list failed", error=str(error))
            return
        self._fetched_ms = self._clock.monotonic_ms()
        if listing.as_of_ms > self._as_of_ms:
            self._take(listing)

    def _take(self, listing: HostListing) -> None:
        former = set(self._hosts) | set(self._absent)
        self._as_of_ms = listing.as_of_ms
        self._observe(listing)
        self._hosts = {facts.host: facts for facts in listing.hosts}
        leaving = sum(facts.is_leaving for facts in listing.hosts)
        limit = MAX_LEAVING_FRACTION * max(1, len(listing.hosts))
        self._is_leaving_plausible = len(listing.hosts) < 3 or leaving <= limit
        self._absent = {
            host: self._absent.get(host, 0) + 1 for host in former - set(self._hosts)
        }


def is_worker_silent(host: HostState, view: WorkerView) -> bool:
    """Return whether a worker failed so many status calls that it counts as down."""
    is_draining = host.draining_in is not None
    limit = DOWN_AFTER_FAILURES_DRAINING if is_draining else DOWN_AFTER_FAILURES
    return view.failures >= limit


def is_node_isolated(state: ControlState, view: Callable[[str], WorkerView]) -> bool:
    """Return whether this node rather than the hosts seems to be unreachable."""
    expected = [name for name, host in state.hosts.items() if not host.is_down]
    silent = sum(view(name).failures > 0 for name in expected)
    return silent > max(1, MAX_SILENT_FRACTION * len(expected))


def list_host_changes(
    state: ControlState, view: Callable[[str], WorkerView], hosts: HostList
) -> list[Record]:
    """Return records of hosts that went down, came up, rebooted or left for good.

    A worker that leaves, or that drains without a recorded drain, takes no work, so it
    counts as down for the budgets.
    """
    if is_node_isolated(state, view):
        return []
    changes: list[Record] = []
    for name in sorted(state.hosts):
        host = state.hosts[name]
        change = _find_change(host, view(name), hosts)
        if change is not None:
            changes.append(change)
    return changes


def _find_change(host: HostState, view: WorkerView, hosts: HostList) -> Record | None:
    name = host.facts.host
    if is_worker_silent(host, view):
        if host.is_down and hosts.count_missed_listings(name) >= REMOVE_AFTER_LISTINGS:
            return HostRemoved(name)
        return None if host.is_down else HostDown(name, host.boot_id or "")
    status = view.status
    if status is None or view.failures > 0:
        return None
    is_idle = host.draining_in is None and status.state != "serving"
    if is_idle and host.boot_id is not None:
        return None if host.is_down else HostDown(name, host.boot_id)
    is_new_boot = host.draining_in is None and status.boot_id != host.boot_id
    if host.is_down or is_new_boot:
        return HostUp(name, status.boot_id)
    return None
