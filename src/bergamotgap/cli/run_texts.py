"""Texts of the `explain` command about the runs of a task."""

from collections.abc import Iterator
from math import isinf

from bergamotgap.adapters.lease_doubt import read_number
from bergamotgap.adapters.log_lines import LogLine, format_time
from bergamotgap.adapters.overlap_causes import describe_release
from bergamotgap.adapters.run_history import (
    JOB_END_EVENT,
    Overlap,
    TaskHistory,
)
from bergamotgap.adapters.run_spans import RunHistory

# Fields that count the time from a line until a lease ends, in ms.
END_FIELDS = ("ends_in_ms", "until_ms")
# Fields of the lines that tell what an operator asks about a run.
DETAILS = {
    "lease sent": ("order", "life"),
    "lease may be misread": ("cause", "life"),
    "worker silent": ("life", "bound"),
    "start unanswered": ("life", "bound"),
    "former runs assumed": (
        "bound_ms",
        "is_former_owner_stopped",
        "are_starts_recorded",
    ),
    "settled": ("proof", "unseen", "unseen_workers", "waited_ms", "bound_ms"),
    "start accepted": ("life", "is_life_certain", "is_held"),
    "start of a former life stopped": ("sent_ms_ago",),
    "start refused": ("reason",),
    "run stopped": ("reason", "phase", "is_held"),
    "run ended": ("outcome", "is_current"),
    "run lost": ("reason", "is_current", "bound"),
    "run ended by crash": ("evidence",),
    "job ended": ("phase", "reason"),
    "task may run twice": ("others",),
}


def describe_task(task: TaskHistory) -> Iterator[str]:
    """Return the lines about the runs of a task and about those that overlapped."""
    yield f"task {task.task}: {len(task.runs)} runs"
    for run in task.runs:
        yield f"  {_name_run(run)}"
        for line in run.lines:
            yield f"    {_describe_line(line)}"
        for release in run.releases:
            yield f"    {describe_release(release)}"
    for overlap in task.overlaps:
        yield f"  {_describe_overlap(overlap)}"
    if not task.overlaps:
        yield "  by the log, no two of its runs overlapped"


def _name_run(run: RunHistory) -> str:
    return f"run {run.run} on {run.worker}"


def _describe_line(line: LogLine) -> str:
    event = "job ended" if line.event == JOB_END_EVENT else line.event
    names = DETAILS.get(event, ())
    shown = [f"{n} {line.fields[n]}" for n in names if line.fields.get(n)]
    ends_ms = (read_number(line, name) for name in END_FIELDS)
    shown += [f"ends {format_time(line.time_ms + n)}" for n in ends_ms if n is not None]
    details = f" ({', '.join(shown)})" if shown else ""
    return f"{format_time(line.time_ms)} {event}{details}, by {line.node}"


def _describe_overlap(overlap: Overlap) -> str:
    names = f"{_name_run(overlap.first)} and {_name_run(overlap.second)}"
    begin = format_time(overlap.begin_ms)
    if isinf(overlap.end_ms):
        return (
            f"MAY HAVE OVERLAPPED: {names} from {begin}; the log has no end of either"
        )
    verb = "OVERLAPPED" if overlap.is_certain else "MAY HAVE OVERLAPPED"
    duration_ms = overlap.end_ms - overlap.begin_ms
    return f"{verb}: {names} for up to {duration_ms:.0f} ms from {begin}"
