"""Detect hosts that are down, up or leaving.

The evidence is the status of their workers and the platform's host list.
"""

from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import HostDown, HostRemoved, HostUp, Record
from bergamotgap.node.workers import WorkerView
from bergamotgap.ports.platform import HostDirectory, HostListing, PlatformError

# A host takes about 200 bytes in the list, so fetching it uses at most 5 KB/s.
LIST_INTERVAL_MS_PER_HOST = 40
MIN_LIST_INTERVAL_MS = 2000
# The list is fresh, and so the platform counts as reachable, if it was fetched within
# this time plus one fetch interval.
LIST_FRESH_MS = 3000
# Consecutive failed status calls, one per second, before a host is recorded as down.
DOWN_AFTER_FAILURES = 4
# Higher for a draining host, which doesn't answer while it reboots for maintenance.
DOWN_AFTER_FAILURES_DRAINING = 300
# If more than this fraction of the hosts doesn't answer, this node is probably
# isolated itself: one of three data centres can fail at once, but a larger failure has
# not been observed.
MAX_SILENT_FRACTION = 0.5
# If the list shows more than this fraction of the hosts as leaving, it is assumed to be
# wrong about workers that report that they serve.
MAX_LEAVING_FRACTION = 0.5
# A host that is down is removed once this many listings in a row don't contain it.
REMOVE_AFTER_LISTINGS = 30

log = get_logger(__name__)


class HostList:
    """Fetches the platform's host list periodically and keeps the latest one.

    `on_listing` is called with each new listing.

    The list lags behind the hosts. Listings older than the latest one are ignored, and
    the latest one stays in use while the platform is unreachable.
    """

    def __init__(
        self,
        directory: HostDirectory,
        clock: Clock,
        on_listing: Callable[[HostListing], None] = lambda listing: None,
    ) -> None:
        self._directory = directory
        self._on_listing = on_listing
        self._clock = clock
        self._as_of_ms = -1
        self._fetched_ms: int | None = None
        self._hosts: Mapping[str, HostFacts] = {}
        self._is_leaving_plausible = True
        self._missed_listings: dict[str, int] = {}

    @property
    def is_fresh(self) -> bool:
        """Return whether the list was fetched recently."""
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
        """Return whether a host must get no new work because it is leaving.

        Either the worker reports it or the list shows it. A list that shows most of the
        fleet as leaving is ignored for workers that report that they serve.
        """
        state = view.status.state if view.status is not None else None
        if state == "leaving":
            return True
        facts = self._hosts.get(host)
        if facts is None or not facts.is_leaving:
            return False
        return self._is_leaving_plausible or state != "serving"

    def count_missed_listings(self, host: str) -> int:
        """Return how many of the latest listings in a row did not contain the host."""
        return self._missed_listings.get(host, 0)

    async def run(self) -> None:
        """Fetch the list at intervals until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep_ms(self._interval_ms)

    async def refresh(self) -> None:
        """Fetch the list once; keep the latest one if that fails."""
        try:
            listing = await self._directory.list_hosts()
        except PlatformError as error:
            log.info("host list not fetched", error=str(error))
            return
        self._fetched_ms = self._clock.monotonic_ms()
        if listing.as_of_ms > self._as_of_ms:
            self._apply_listing(listing)

    def _apply_listing(self, listing: HostListing) -> None:
        former = set(self._hosts) | set(self._missed_listings)
        self._as_of_ms = listing.as_of_ms
        self._on_listing(listing)
        self._hosts = {facts.host: facts for facts in listing.hosts}
        leaving = sum(facts.is_leaving for facts in listing.hosts)
        limit = MAX_LEAVING_FRACTION * max(1, len(listing.hosts))
        self._is_leaving_plausible = len(listing.hosts) < 3 or leaving <= limit
        self._missed_listings = {
            host: self._missed_listings.get(host, 0) + 1
            for host in former - set(self._hosts)
        }


def is_worker_silent(host: HostState, view: WorkerView) -> bool:
    """Return whether enough status calls to a worker failed to count it as down."""
    is_draining = host.draining_in is not None
    limit = DOWN_AFTER_FAILURES_DRAINING if is_draining else DOWN_AFTER_FAILURES
    return view.failures >= limit


def is_node_isolated(state: ControlState, view: Callable[[str], WorkerView]) -> bool:
    """Return whether this node seems to be isolated, rather than the hosts down."""
    expected = [name for name, host in state.hosts.items() if not host.is_down]
    silent = sum(view(name).failures > 0 for name in expected)
    return silent > max(1, MAX_SILENT_FRACTION * len(expected))


def list_host_changes(
    state: ControlState, view: Callable[[str], WorkerView], hosts: HostList
) -> list[Record]:
    """Return records of hosts that went down, came up, rebooted or were removed.

    A worker that is leaving, or draining without a recorded drain, takes no work, so
    its host counts as down in the availability budgets.
    """
    if is_node_isolated(state, view):
        return []
    changes: list[Record] = []
    for name in sorted(state.hosts):
        host = state.hosts[name]
        change = _find_host_change(host, view(name), hosts)
        if change is not None:
            changes.append(change)
    return changes


def _find_host_change(
    host: HostState, view: WorkerView, hosts: HostList
) -> Record | None:
    name = host.facts.host
    if is_worker_silent(host, view):
        if host.is_down and hosts.count_missed_listings(name) >= REMOVE_AFTER_LISTINGS:
            return HostRemoved(name)
        return None if host.is_down else HostDown(name, host.boot_id or "")
    status = view.status
    if status is None or view.failures > 0:
        return None
    is_not_serving = host.draining_in is None and status.state != "serving"
    if is_not_serving and host.boot_id is not None:
        return None if host.is_down else HostDown(name, host.boot_id)
    is_new_boot = host.draining_in is None and status.boot_id != host.boot_id
    if host.is_down or is_new_boot:
        return HostUp(name, status.boot_id)
    return None
