"""Metrics gauges of customers' caps in the pools that a node owns."""

from collections.abc import Callable, Iterable

from bergamotgap.adapters.metrics import GaugeReading, Metrics
from bergamotgap.domain.customer_caps import CustomerUse
from bergamotgap.pools.fleet_node import FleetNode


def register_cap_gauges(metrics: Metrics, node: FleetNode) -> None:
    """Register the used and granted part of each cap, by pool and customer."""

    def observe(
        name: str, description: str, read: Callable[[CustomerUse], float]
    ) -> None:
        def read_uses() -> Iterable[GaugeReading]:
            for pool_name, pool in node.pools.items():
                for customer, use in pool.customer_usage.list_uses().items():
                    yield read(use), {"pool": pool_name, "customer": customer}

        metrics.observe_gauge(name, description, read_uses)

    observe(
        "customer_used", "Part of a customer's cap in use in a pool", lambda u: u.used
    )
    observe(
        "customer_granted",
        "Part of a customer's cap granted to a pool beyond its base share",
        lambda use: use.held,
    )
