"""Settings of a node that owns pools."""

from dataclasses import dataclass

from bergamotgap.domain.client_limits import ClientBudget, divide_memory
from bergamotgap.domain.record_limits import USUAL_RECORD_LIMITS, RecordLimits
from bergamotgap.pools.run_lease import (
    CLOCK_TTL_MS,
    READING_DELAY_MS,
    measure_longest_ms,
)

# For a process with 1 GiB of memory and 1024 descriptors.
DEFAULT_CLIENT_BUDGET = divide_memory(memory_mb=1024, descriptors=1024)


@dataclass(frozen=True)
class PoolSettings:
    """Addresses and limits of a deployment; durations are in ms."""

    node_id: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    # Share of a core that the node may use, in 1/1000.
    cpu: int = 1000
    log_parts: int = 16
    # Three renewals fit into the TTL even if the log takes five times as long as its
    # slowest answer under normal conditions.
    member_ttl_ms: int = 1200
    shutdown_grace_ms: int = 6000
    max_lease_ms: int = 10_000
    job_retention_ms: int = 120_000
    stop_timeout_ms: int = 200
    move_duration_ms: int = 1500
    maintenance_ms: int = 2000
    heartbeat_interval_ms: int = 1500
    # Orders that the host service accepts per second from all nodes together.
    host_orders_per_s: float = 64.0
    # Time over which the jobs of a customer are counted against its weight.
    share_window_ms: int = 1000
    # Whether jobs that can't be served while they have value are refused at once.
    refuses_early: bool = False
    # Longer than a takeover of a pool, which takes about two member TTLs.
    lease_ms: int = 4000
    # How long an owner acts on one confirmation that it still is the owner. Two
    # membership renewals fit into it, and a successor waits as long before it repeats
    # work.
    confirmation_ttl_ms: int = 1000
    # How long an owner that has lost the log renews leases of workers: long enough to
    # find out whether the log is down for all nodes. A successor waits that much longer
    # for the leases to expire.
    isolated_renewal_ms: int = 2000
    # The log's limits of one record and of one call.
    record_limits: RecordLimits = USUAL_RECORD_LIMITS
    # What clients may make the node hold.
    client_budget: ClientBudget = DEFAULT_CLIENT_BUDGET

    @property
    def run_lease_ms(self) -> int:
        """Duration of the lease of a worker's runs."""
        return min(self.lease_ms, self.max_lease_ms)

    @property
    def former_lease_ms(self) -> int:
        """How long leases given by a superseded owner may last after it is fenced."""
        return self.isolated_renewal_ms + measure_longest_ms(self.run_lease_ms)

    @property
    def restarted_lease_ms(self) -> int:
        """How long a lease in the clock of a former life may last after a restart.

        An owner that has not heard of the new life may send it the longest lease until
        its reading of the former clock is too old.
        """
        longest_ms = measure_longest_ms(self.max_lease_ms)
        return CLOCK_TTL_MS + READING_DELAY_MS + longest_ms

    def find_restart_bound_ms(self, restarted_ms: int | None) -> int:
        """Return when leases in the clock of a former life have ended, 0 for none.

        At `restarted_ms` this node first heard of a worker's present life, if it knew
        another one.
        """
        if restarted_ms is None:
            return 0
        return restarted_ms + self.restarted_lease_ms
