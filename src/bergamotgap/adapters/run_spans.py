"""When a run of a task was on its worker, or may have been, by the nodes' logs."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from bergamotgap.adapters.lease_doubt import LeaseDoubt, find_lease_doubt, read_number
from bergamotgap.adapters.log_lines import LogLine

# Events from which on a run is on its worker (True) or may be (False).
BEGIN_EVENTS = {
    "lease sent": False,
    "start accepted": True,
    "run adopted": True,
    "unknown run": True,
    "start unanswered": False,
    "start of a former life stopped": False,
    "task may run twice": False,
}
# A poll lists the run.
SEEN_EVENTS = frozenset({"run adopted", "unknown run", "run stopped"})
END_EVENTS = frozenset({"start refused", "run ended", "run failed", "run lost"})
# Ends that a worker may list long after the run ended, and runs that it didn't list.
LATE_OUTCOMES = frozenset({"lapsed", "not_listed"})


@dataclass
class Span:
    """Times between which a run was on its worker, or may have been."""

    begin_ms: float
    is_certain: bool
    end_ms: float = inf
    # Whether the owner took the run for gone without an end that the worker listed.
    is_taken_for_lost: bool = False


@dataclass
class RunHistory:
    """One run of a task on one worker, and the lines about it in time order.

    The end of the job is among the lines if the end of the run is not.
    """

    run: str
    worker: str
    lines: list[LogLine] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    has_listed_end: bool = False
    # The lines by which owners took the run for gone.
    releases: list[LogLine] = field(default_factory=list)
    # What the leases of its worker don't rule out after that.
    doubt: LeaseDoubt | None = None

    @property
    def is_open(self) -> bool:
        """Whether the run may be on its worker by the lines so far."""
        return bool(self.spans) and self.spans[-1].end_ms == inf

    @property
    def owner(self) -> str:
        """The node that wrote the first line about the run."""
        return next((o.node for o in self.lines if "run" in o.fields), "")


def apply_line(run: RunHistory, line: LogLine) -> None:
    """Apply a line that names the run."""
    if line.event in END_EVENTS:
        _apply_end(run, line)
        return
    is_certain = BEGIN_EVENTS.get(line.event)
    if line.event == "run stopped" and line.fields.get("is_held", "").lower() == "true":
        # A start that got no answer yet is held too.
        is_certain = line.fields.get("phase") in ("running", "unknown")
    if is_certain is None or (line.event == "start accepted" and run.has_listed_end):
        return
    last = run.spans[-1] if run.spans else None
    if last is None:
        run.spans.append(Span(line.time_ms, is_certain))
    elif run.is_open:
        if is_certain and not last.is_certain:
            # Up to now it was not known whether its worker had it.
            last.end_ms = line.time_ms
            run.spans.append(Span(line.time_ms, True))
    elif last.is_taken_for_lost and line.event in SEEN_EVENTS:
        # A worker that began the run, and has it, had it in between.
        last.end_ms, last.is_taken_for_lost, last.is_certain = inf, False, True
    else:
        run.spans.append(Span(line.time_ms, is_certain))


def _apply_end(run: RunHistory, line: LogLine) -> None:
    if not run.spans:
        return
    outcome = line.fields.get("outcome", "")
    is_listed = line.event in ("run ended", "run failed")
    run.has_listed_end |= is_listed and outcome != "not_listed"
    last = run.spans[-1]
    if not run.is_open:
        if is_listed and outcome not in LATE_OUTCOMES:
            # It ended at an unknown time up to now.
            run.spans.append(Span(last.end_ms, False, line.time_ms))
        return
    run.releases.append(line)
    if outcome == "lapsed":
        last = _doubt_since_last_line(run, line)
    last.end_ms = line.time_ms
    last.is_taken_for_lost = last.is_certain and line.event == "run lost"


def _doubt_since_last_line(run: RunHistory, end: LogLine) -> Span:
    """Return the span that may have ended at any time since the last line of its run.

    `end` is the line that tells of its end.
    """
    last = run.spans[-1]
    if not last.is_certain:
        return last
    told_ms = [
        one.time_ms for one in run.lines if "run" in one.fields and one is not end
    ]
    last.end_ms = max((last.begin_ms, *told_ms))
    run.spans.append(Span(last.end_ms, False))
    return run.spans[-1]


def apply_settled(run: RunHistory, line: LogLine) -> None:
    """End a run that the new owner, which may start its task again, doesn't know."""
    waited_ms = read_number(line, "waited_ms")
    if waited_ms is None or any(
        one.node == line.node
        and one.time_ms >= line.time_ms - waited_ms
        and "run" in one.fields
        for one in run.lines
    ):
        return
    was_certain = run.spans[-1].is_certain
    last = _doubt_since_last_line(run, line)
    last.end_ms, last.is_taken_for_lost = line.time_ms, was_certain
    run.releases.append(line)


def apply_doubt(run: RunHistory, lines: Sequence[LogLine]) -> None:
    """Add the time for which a run may have lasted after an owner took it for gone."""
    for release in run.releases:
        doubt = find_lease_doubt(run.worker, run.lines, release, lines)
        if doubt is not None:
            run.doubt = doubt
            run.spans.append(Span(release.time_ms, False, doubt.until_ms))
