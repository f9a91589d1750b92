"""The runs of one task as the nodes' logs tell them, and which of them overlapped."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import combinations
from math import inf

from bergamotgap.adapters.log_lines import LogLine

JOB_END_EVENT = "ended"
RESTART_EVENTS = frozenset({"listed as restarted", "worker restarted"})
# Events from which on a run is on its worker (True) or may be (False).
BEGIN_EVENTS = {
    "start accepted": True,
    "run adopted": True,
    "unknown run": True,
    "start unanswered": False,
    "start of a former life stopped": False,
    "task may run twice": False,
}
ANSWER_EVENTS = frozenset({"start accepted", "start unanswered"})
# A poll lists the run.
SEEN_EVENTS = frozenset({"run adopted", "unknown run", "run stopped"})
END_EVENTS = frozenset({"start refused", "run ended", "run failed", "run lost"})
# Events that tell of a run without a beginning or an end.
NOTE_EVENTS = frozenset({"run stopped", "run ended by crash"})
# Ends that a worker may list long after the run ended, and runs that it didn't list.
LATE_OUTCOMES = frozenset({"lapsed", "not_listed"})


@dataclass
class _Span:
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
    spans: list[_Span] = field(default_factory=list)
    has_listed_end: bool = False


@dataclass(frozen=True)
class Overlap:
    """Two runs that were, or may have been, on workers at the same time.

    `end_ms` is infinite if the log has the end of neither run, and a bound if it has
    one of them only.
    """

    first: RunHistory
    second: RunHistory
    is_certain: bool
    begin_ms: float
    end_ms: float


@dataclass(frozen=True)
class TaskHistory:
    """The runs of one task in the order of their first lines, and their overlaps."""

    task: str
    runs: tuple[RunHistory, ...]
    overlaps: tuple[Overlap, ...]


def list_task_histories(lines: Sequence[LogLine]) -> list[TaskHistory]:
    """Return the runs of each task that lines name; `lines` are sorted by time."""
    runs: dict[str, dict[tuple[str, str], RunHistory]] = {}
    placed_ms: float | None = None
    restarts: list[LogLine] = []
    for line in lines:
        if line.event == "job placed":
            placed_ms = line.time_ms
            restarts.clear()
        if line.event in RESTART_EVENTS:
            restarts.append(line)
        if line.event in RESTART_EVENTS or line.event == JOB_END_EVENT:
            for run in _list_open_runs(runs, line):
                run.lines.append(line)
            continue
        task = line.fields.get("task", "")
        if not task or line.event not in NOTE_EVENTS | END_EVENTS | BEGIN_EVENTS.keys():
            continue
        for run in _find_runs(runs.setdefault(task, {}), line):
            if not run.lines:
                # Its worker was seen to restart between its placement and this line.
                run.lines += [
                    one for one in restarts if one.fields.get("worker") == run.worker
                ]
            run.lines.append(line)
            if not run.spans and line.event in ANSWER_EVENTS and placed_ms is not None:
                # It was sent and may have begun some time before the answer came.
                run.spans.append(_Span(placed_ms, False, line.time_ms))
            _apply_line(run, line)
    return [
        TaskHistory(task, tuple(found.values()), tuple(_list_overlaps(found)))
        for task, found in runs.items()
        if found
    ]


def _list_open_runs(
    runs: Mapping[str, Mapping[tuple[str, str], RunHistory]], line: LogLine
) -> list[RunHistory]:
    """Return the runs that a restart of their worker or the job's end concerns."""
    worker = line.fields.get("worker", "")
    return [
        run
        for found in runs.values()
        for run in found.values()
        if worker in ("", run.worker) and run.spans and run.spans[-1].end_ms == inf
    ]


def _find_runs(
    found: dict[tuple[str, str], RunHistory], line: LogLine
) -> list[RunHistory]:
    """Return the run that a line names; without a number, those on its worker."""
    worker, number = line.fields.get("worker", ""), line.fields.get("run", "")
    if not number:
        return [run for run in found.values() if run.worker == worker]
    return [found.setdefault((number, worker), RunHistory(number, worker))]


def _apply_line(run: RunHistory, line: LogLine) -> None:
    last = run.spans[-1] if run.spans else None
    is_open = last is not None and last.end_ms == inf
    is_certain = BEGIN_EVENTS.get(line.event)
    if line.event == "run stopped" and line.fields.get("is_held", "").lower() == "true":
        # A start that got no answer yet is held too.
        is_certain = line.fields.get("phase") in ("running", "unknown")
    if line.event == "start accepted" and run.has_listed_end:
        return
    if is_certain is not None:
        if last is not None and is_open:
            last.is_certain |= is_certain
        elif last is not None and last.is_taken_for_lost and line.event in SEEN_EVENTS:
            # A worker that began the run, and has it, had it in between.
            last.end_ms, last.is_taken_for_lost = inf, False
        else:
            run.spans.append(_Span(line.time_ms, is_certain))
        return
    if line.event not in END_EVENTS or last is None:
        return
    outcome = line.fields.get("outcome", "")
    is_listed = line.event in ("run ended", "run failed")
    run.has_listed_end |= is_listed and outcome != "not_listed"
    if is_open:
        last.end_ms = line.time_ms
        last.is_taken_for_lost = last.is_certain and line.event == "run lost"
        last.is_certain |= is_listed and outcome != "not_listed"
    elif is_listed and outcome not in LATE_OUTCOMES:
        # It ended at an unknown time up to now.
        run.spans.append(_Span(last.end_ms, False, line.time_ms))


def _list_overlaps(found: Mapping[tuple[str, str], RunHistory]) -> Iterator[Overlap]:
    for first, second in combinations(found.values(), 2):
        overlaps = [
            _build_overlap(first, second, one, other)
            for one in first.spans
            for other in second.spans
            if one.begin_ms < other.end_ms and other.begin_ms < one.end_ms
        ]
        if overlaps:
            yield max(
                overlaps, key=lambda one: (one.is_certain, one.end_ms - one.begin_ms)
            )


def _build_overlap(
    first: RunHistory, second: RunHistory, one: _Span, other: _Span
) -> Overlap:
    earlier = min(one, other, key=lambda span: span.begin_ms)
    return Overlap(
        first,
        second,
        one.is_certain and other.is_certain and earlier.end_ms < inf,
        max(one.begin_ms, other.begin_ms),
        min(one.end_ms, other.end_ms),
    )
