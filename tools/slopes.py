"""Measure how the cost of each component grows: `python -m tools.slopes [PART ...]`.

Each measurement varies one dimension, with real objects and processes on this machine.
`docs/CAPACITY.md` extrapolates from the printed table.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

from bergamotgap.adapters.logs import configure_logs
from tools import slopes_messages, slopes_requests, slopes_state, slopes_workers
from tools.slope_fit import Slope, print_slopes, save_slopes

RESULTS_DIRECTORY = Path(__file__).resolve().parent.parent / "bench" / "results"
PARTS: dict[str, Callable[[], list[Slope]]] = {
    "control": slopes_state.measure_control_state,
    "catalogue": slopes_state.measure_catalogue,
    "work": slopes_state.measure_work_state,
    "planner": slopes_state.measure_planner,
    "heartbeats": lambda: asyncio.run(slopes_messages.measure_heartbeats()),
    "division": slopes_messages.measure_division,
    "relay": lambda: asyncio.run(slopes_messages.measure_relay()),
    "statuses": lambda: asyncio.run(slopes_workers.measure_statuses()),
    "views": slopes_workers.measure_views,
    "hosts": lambda: asyncio.run(slopes_workers.measure_host_list()),
    "requests": lambda: asyncio.run(slopes_requests.measure_requests()),
}


def main(names: list[str]) -> None:
    """Run the named measurements, or all; print the table, save points and plots."""
    configure_logs("error")
    slopes: list[Slope] = []
    for name in names or list(PARTS):
        started = time.monotonic()
        slopes += PARTS[name]()
        print(f"{name}: {time.monotonic() - started:.0f} s", file=sys.stderr)
    print_slopes(slopes)
    sizes = slopes_state.list_record_sizes()
    print("bytes of an append with one record: " + str(sizes))
    save_slopes(slopes, RESULTS_DIRECTORY)


if __name__ == "__main__":
    main(sys.argv[1:])
