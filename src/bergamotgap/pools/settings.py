"""Settings of a node that owns pools."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PoolSettings:
    """Hold addresses and bounds of a deployment; durations in ms."""

    node_id: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    # Share of a core that the node may use, in 1/1000.
    cpu: int = 1000
    log_parts: int = 16
    # Three renewals fit into the time to live, each with the log five times slower than
    # its slowest answer in calm.
    member_ttl_ms: int = 1200
    shutdown_grace_ms: int = 6000
    max_lease_ms: int = 10_000
    job_retention_ms: int = 120_000
    stop_timeout_ms: int = 200
    move_duration_ms: int = 1500
    maintenance_ms: int = 2000
    heartbeat_interval_ms: int = 1500
    # Outlives a take-over of the pool, which takes about two times to live.
    lease_ms: int = 4000
    # An owner acts this long on one sign that it still is the owner. Two renewals of
    # its membership fit into it; a successor waits as long before it repeats work.
    confirmation_ttl_ms: int = 1000
    # An owner that alone has lost the log renews leases this long, enough to find out
    # whether the log is away for all; a successor waits so much longer for leases.
    isolated_renewal_ms: int = 2000

    @property
    def run_lease_ms(self) -> int:
        """Return the lease of what runs on a worker."""
        return min(self.lease_ms, self.max_lease_ms)

    @property
    def former_lease_ms(self) -> int:
        """Return how long a superseded owner's leases may last after its fencing."""
        return self.isolated_renewal_ms + self.run_lease_ms
