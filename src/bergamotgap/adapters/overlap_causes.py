"""Why runs of one task overlapped or may have: leases, and what owners assumed."""

from collections.abc import Iterator
from math import inf

from bergamotgap.adapters.lease_doubt import LeaseDoubt
from bergamotgap.adapters.log_lines import LogLine, format_time
from bergamotgap.adapters.run_history import Overlap, TaskHistory
from bergamotgap.adapters.run_spans import RunHistory


def explain_overlaps(task: TaskHistory) -> Iterator[str]:
    """Yield the cause of each overlap of runs of two owners, or beyond a lease."""
    for overlap in task.overlaps:
        first, second = sorted((overlap.first, overlap.second), key=_find_begin)
        is_from_two_owners = first.owner != second.owner
        if not is_from_two_owners and first.doubt is None:
            continue
        name = f"{_name_run(first)} ({_name_owner(first, is_from_two_owners)})"
        yield (
            f"{task.task}: {name} {_describe_end(first, overlap)}; "
            f"{_describe_start(first, second)}"
        )


def describe_release(line: LogLine) -> str:
    """Return when, by whom and by which proof a run was taken for gone."""
    return f"freed {format_time(line.time_ms)} by {line.node}: {_describe_proof(line)}"


def _find_begin(run: RunHistory) -> float:
    return min((span.begin_ms for span in run.spans), default=0.0)


def _name_run(run: RunHistory) -> str:
    return f"run {run.run} on {run.worker}"


def _name_owner(run: RunHistory, is_former: bool) -> str:
    return f"former owner {run.owner}" if is_former else f"owner {run.owner}"


def _describe_end(run: RunHistory, overlap: Overlap) -> str:
    doubt = run.doubt
    if doubt is not None and not overlap.is_certain:
        until = format_time(doubt.until_ms)
        return f"may have lasted until {until}: {_describe_doubt(doubt)}"
    verb = "lasted" if overlap.is_certain else "may have lasted"
    ends_ms = [span.end_ms for span in run.spans]
    if not ends_ms or max(ends_ms) == inf:
        return f"{verb} and has no end in the log"
    return f"{verb} until {format_time(max(ends_ms))}"


def _describe_doubt(doubt: LeaseDoubt) -> str:
    line = doubt.evidence
    at = f"{line.node} at {format_time(line.time_ms)}"
    if line.event == "former runs assumed":
        return f"its lease, while the successor knew of no run on its worker ({at})"
    sent = (
        f"its lease was sent in the clock of life {doubt.lease.fields.get('life', '')}"
    )
    if line.event == "lease may be misread":
        return f"{sent}, which may be misread ({line.fields.get('cause', '')}, {at})"
    life = line.fields.get("life", "")
    return f"{sent}, and life {life} has a line ({line.event}, {at})"


def _describe_start(first: RunHistory, second: RunHistory) -> str:
    begin = format_time(_find_begin(second))
    started = f"{second.owner} started {_name_run(second)} at {begin}"
    releases = [one for one in first.releases if one.time_ms <= _find_begin(second)]
    if first.owner != second.owner:
        started = f"the successor {started}"
    if not releases:
        return f"{started}, and no line before tells that the first was gone"
    return f"{started} after {_describe_proof(releases[-1])}"


def _describe_proof(line: LogLine) -> str:
    fields = line.fields
    if line.event == "settled":
        unseen = fields.get("unseen_workers") or "none"
        return (
            f"settled, {fields.get('proof', 'no proof told')}, "
            f"waited {fields.get('waited_ms', '?')} of {fields.get('bound_ms', '?')} "
            f"ms, unseen workers: {unseen}"
        )
    names = ("reason", "bound", "outcome")
    details = [f"{name} {fields[name]}" for name in names if fields.get(name)]
    return ", ".join([line.event, *details])
