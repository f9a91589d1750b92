"""Metrics gauges of what clients make the process hold."""

from bergamotgap.adapters.client_guard import ClientGuard
from bergamotgap.adapters.metrics import Metrics


def register_client_gauges(metrics: Metrics, guard: ClientGuard) -> None:
    """Register the gauges of a guard; closed connections are labelled by reason."""
    observe = metrics.observe_gauge
    observe(
        "client_connections",
        "Open connections of clients",
        lambda: [(guard.connection_count, {})],
    )
    observe(
        "client_held_bytes",
        "Bytes that clients make the process hold",
        lambda: [(guard.held_bytes, {})],
    )
    observe(
        "client_budget_bytes",
        "Bytes that clients may make the process hold",
        lambda: [(guard.budget.held_bytes, {})],
    )
    observe(
        "client_connections_closed",
        "Connections closed before their clients closed them, since the start",
        lambda: [(count, {"reason": key}) for key, count in guard.closed.items()],
    )
