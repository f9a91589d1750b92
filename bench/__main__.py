"""Run the named benchmarks, or all, and print a table: `python -m bench [NAME ...]`."""

import sys
import time
from collections.abc import Callable
from pathlib import Path

from bench import (
    admission_cost,
    division_shift,
    flood,
    flood_policy,
    forwarder,
    headroom_price,
    job_records,
    moves,
    outage,
    roll_out,
    urgent_start,
    wave,
    work_stream,
)
from bench.figures import Figure, print_figures, write_figures

RESULTS = Path(__file__).parent / "results" / "latest.json"
BENCHMARKS: dict[str, Callable[[], list[Figure]]] = {
    "moves": moves.main,
    "flood_policy": flood_policy.main,
    "headroom_price": headroom_price.main,
    "division_shift": division_shift.main,
    "admission_cost": admission_cost.main,
    "work_stream": work_stream.main,
    "roll_out": roll_out.main,
    "forwarder": forwarder.main,
    "flood": flood.main,
    "urgent_start": urgent_start.main,
    "outage": outage.main,
    "job_records": job_records.main,
    "wave": wave.main,
}


def run(names: list[str]) -> int:
    """Run the named benchmarks, or all; return 1 if any target is missed."""
    figures: list[Figure] = []
    for name in names or list(BENCHMARKS):
        started = time.monotonic()
        figures += BENCHMARKS[name]()
        print(f"{name}: {time.monotonic() - started:.0f} s", file=sys.stderr)
    print_figures(figures)
    write_figures(figures, RESULTS)
    return int(not all(figure.is_met for figure in figures))


sys.exit(run(sys.argv[1:]))
