"""Measure costs and benefits of preemption and of headroom for urgent requests.

All urgencies share one pool, the flood consists of long batch tasks, and urgent
requests arrive within their share.
"""

import numpy as np

from bench.figures import Figure, list_figures, print_figures
from bench.flood_catalogues import build_mixed_catalogue
from bench.flood_policy import (
    POOL_SLOTS,
    Simulation,
    pick_flood,
)
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry, Urgency

NEVER_MS = 10**9
LONG_RUN_MS = 5000
FLOOD_FACTOR = 5
VARIANTS = {
    "no headroom, no preemption": AdmissionLimits(
        headroom_part=0.0, preempt_after_ms=NEVER_MS
    ),
    "headroom 0.1, no preemption": AdmissionLimits(preempt_after_ms=NEVER_MS),
    "headroom 0.2, no preemption": AdmissionLimits(
        headroom_part=0.2, preempt_after_ms=NEVER_MS
    ),
    "headroom 0.3, no preemption": AdmissionLimits(
        headroom_part=0.3, preempt_after_ms=NEVER_MS
    ),
    "no headroom, preemption": AdmissionLimits(headroom_part=0.0),
    "headroom 0.1, preemption": AdmissionLimits(),
    "headroom 0.2, preemption": AdmissionLimits(headroom_part=0.2),
}


def build_long_batch_catalogue() -> Catalogue:
    """Return the mixed catalogue with long batch tasks."""
    base = build_mixed_catalogue()

    def lengthen(entry: Entry) -> Entry:
        if entry.urgency is not Urgency.BATCH:
            return entry
        return entry.model_copy(update={"run_ms": LONG_RUN_MS})

    return base.model_copy(update={"entries": tuple(map(lengthen, base.entries))})


def measure(limits: AdmissionLimits) -> dict[str, float]:
    """Return the latency of urgent requests and the fraction of slots in use."""
    catalogue = build_long_batch_catalogue()
    flood = pick_flood(catalogue, Urgency.BATCH)
    counts = Simulation(catalogue, True, flood, FLOOD_FACTOR, limits).run()
    urgent = [e.name for e in catalogue.entries if e.urgency is Urgency.URGENT]
    waits = [wait for name in urgent for wait in counts.waits_ms[name]]
    offered = sum(counts.offered[name] for name in urgent)
    pools = len(catalogue.pools)
    return {
        "urgent_in_time": sum(counts.on_time[name] for name in urgent) / offered,
        "urgent_start_p50_ms": float(np.percentile(waits, 50)),
        "urgent_start_p99_ms": float(np.percentile(waits, 99)),
        "slots_in_use": counts.slot_ms / counts.measured_ms / (POOL_SLOTS * pools),
        "preempted": float(sum(counts.preempted.values())),
    }


def main() -> list[Figure]:
    """Return the figures of each variant."""
    figures = []
    for name, limits in VARIANTS.items():
        figures += list_figures(f"headroom, {name}", measure(limits))
    return figures


if __name__ == "__main__":
    print_figures(main())
