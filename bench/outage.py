"""Measure the answers to callers during and after an outage of the platform.

The platform process is suspended for some seconds: connections to it open, but no call
is answered. Idempotent requests must still succeed; callers of non-idempotent ones must
learn within the deadline that their request was not run.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from bench.figures import Figure, print_figures
from bench.fleet_load import format_outcomes, list_starts, run_plan
from bench.flood_load import LoadPlan, RequestStream, SentRequest
from tools.demo import list_entry_uses
from tools.fleet import Fleet

RUN_MS = 50
RATE = 20.0
DEADLINE_MS = 3000
BEFORE_S = 4.0
OUTAGE_S = 8.0
LOAD_S = 24.0
# Both kinds of requests must succeed again this long after the outage.
RECOVERY_MS = 4000
SETTLE_S = 4.0
SEED = 20_261_204
GIVE_UP_MS = 20_000


@dataclass(frozen=True)
class Result:
    """All requests and task starts, and the Unix times of the outage in ms."""

    sent: list[SentRequest]
    starts: list[dict[str, Any]]
    non_idempotent_entries: frozenset[str]
    from_ms: float
    until_ms: float

    def list_sent(self, is_non_idempotent: bool) -> list[SentRequest]:
        """Return the idempotent or the non-idempotent requests."""
        return [
            sent
            for sent in self.sent
            if (sent.entry in self.non_idempotent_entries) == is_non_idempotent
        ]

    def list_recovered(self, is_non_idempotent: bool) -> list[SentRequest]:
        """Return those that were due at least `RECOVERY_MS` after the outage."""
        first_ms = self.until_ms + RECOVERY_MS
        return [
            sent
            for sent in self.list_sent(is_non_idempotent)
            if sent.due_ms >= first_ms
        ]


async def measure() -> Result:
    """Suspend the platform of a fleet under load for `OUTAGE_S`."""
    async with Fleet(run_ms=RUN_MS, workers_per_process=6) as fleet:
        await fleet.publish()
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        await asyncio.sleep(SETTLE_S)
        plan = build_plan(fleet)
        load = asyncio.create_task(run_plan(fleet, plan))
        await asyncio.sleep(BEFORE_S)
        from_ms = time.time() * 1000
        fleet.freeze("platform")
        await asyncio.sleep(OUTAGE_S)
        fleet.unfreeze("platform")
        until_ms = time.time() * 1000
        sent = await load
        await asyncio.sleep(SETTLE_S)
        uses = list_entry_uses(fleet.document, 1)
        non_idempotent_entries = frozenset(
            use.name for use in uses if not use.entry["idempotent"]
        )
        return Result(
            sent, list_starts(fleet, plan), non_idempotent_entries, from_ms, until_ms
        )


def build_plan(fleet: Fleet) -> LoadPlan:
    """Return a plan with a light load on every entry."""
    keys = {use.name: use.key for use in list_entry_uses(fleet.document, 1)}
    return LoadPlan(
        name="outage",
        addresses=[node.caller for node in fleet.nodes],
        streams=[
            RequestStream(name, key, RATE, DEADLINE_MS) for name, key in keys.items()
        ],
        seconds=LOAD_S,
        seed=SEED,
        run_ms=RUN_MS,
        give_up_ms=GIVE_UP_MS,
    )


def build_figures(result: Result) -> list[Figure]:
    """Return the figures of one outage."""
    idempotent, non_idempotent = result.list_sent(False), result.list_sent(True)
    lost = sum(sent.outcome != "done" for sent in idempotent)
    unclear = sum(sent.outcome not in ("done", "not_run") for sent in non_idempotent)
    without_code = sum(s.outcome == "not_run" and not s.code for s in non_idempotent)
    late = sum(sent.latency_ms > sent.deadline_ms for sent in non_idempotent)
    counts = Counter(start["key"] for start in result.starts)
    not_run = {sent.key for sent in result.sent if sent.outcome == "not_run"}
    twice = sum(counts[sent.key] > 1 for sent in non_idempotent)
    false = sum(counts[key] > 0 for key in not_run)
    latest = max(sent.latency_ms for sent in non_idempotent)
    figures = [
        Figure("outage: idempotent not done", lost, "requests", 0, "at most"),
        Figure("outage: non-idempotent unclear", unclear, "requests", 0),
        Figure("outage: refusals without code", without_code, "requests", 0),
        Figure("outage: non-idempotent answers late", late, "requests", 0),
        Figure("outage: longest non-idempotent answer", latest, "ms"),
        Figure("outage: non-idempotent run twice", twice, "requests", 0),
        Figure("outage: not run, but started", false, "requests", 0),
    ]
    notes = [format_outcomes(idempotent), format_outcomes(non_idempotent)]
    figures[:2] = [
        Figure(f.measure, f.value, f.unit, f.bound, f.side, note)
        for f, note in zip(figures[:2], notes, strict=True)
    ]
    for name, is_non_idempotent in (("idempotent", False), ("non-idempotent", True)):
        after = result.list_recovered(is_non_idempotent)
        done = sum(sent.outcome == "done" for sent in after) / max(1, len(after))
        figures.append(
            Figure(f"outage: {name} done after", done, "ratio", 1, "at least")
        )
    return figures


def main() -> list[Figure]:
    """Return the outcomes of requests during and after the outage."""
    return build_figures(asyncio.run(measure()))


if __name__ == "__main__":
    print_figures(main())
