"""Start a fleet node as the only job of its process."""

import gc

import uvloop

from bergamotgap.adapters.logs import configure_bounded_logs
from bergamotgap.domain.clock import SystemClock
from bergamotgap.platform.node import load_settings, run_node

# Allocations between two garbage collections, as for `serve`.
GC_THRESHOLD = 20_000


def run_process(log_level: str = "info") -> None:
    """Run a node until SIGTERM; raises PlatformSettingsError."""
    file = load_settings()
    configure_bounded_logs(log_level, SystemClock(), node=file.node)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(run_node(file))
