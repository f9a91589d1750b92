"""The runs of one task as the nodes' logs tell them, and which of them overlapped."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import inf

from bergamotgap.adapters.log_lines import LogLine
from bergamotgap.adapters.run_spans import (
    BEGIN_EVENTS,
    END_EVENTS,
    RunHistory,
    Span,
    apply_doubt,
    apply_line,
    apply_settled,
)

JOB_END_EVENT = "ended"
SETTLED_EVENT = "settled"
RESTART_EVENTS = frozenset({"listed as restarted", "worker restarted"})
# Events of a worker that concern all runs that may be there.
WORKER_EVENTS = RESTART_EVENTS | {
    "lease may be misread",
    "lease sent",
    "worker silent",
}
# Events of a job or of its pool that concern all runs of a task.
OWNER_EVENTS = frozenset({JOB_END_EVENT, SETTLED_EVENT, "former runs assumed"})
ANSWER_EVENTS = frozenset({"start accepted", "start unanswered"})
# Events that tell of a run without a beginning or an end.
NOTE_EVENTS = frozenset({"run stopped", "run ended by crash"})
RUN_EVENTS = NOTE_EVENTS | END_EVENTS | BEGIN_EVENTS.keys()

_TaskRuns = dict[tuple[str, str], RunHistory]


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
    runs: dict[str, _TaskRuns] = {}
    placed: LogLine | None = None
    restarts: list[LogLine] = []
    for line in lines:
        if line.event == "job placed":
            placed = line
            restarts.clear()
        if line.event in RESTART_EVENTS:
            restarts.append(line)
        task = line.fields.get("task", "")
        if task and line.event in RUN_EVENTS:
            _add_line(runs.setdefault(task, {}), line, restarts, placed)
        elif line.event in OWNER_EVENTS or line.event in WORKER_EVENTS:
            _add_line_to_open_runs(runs, line)
    for found in runs.values():
        for run in found.values():
            apply_doubt(run, lines)
    return [
        TaskHistory(task, tuple(found.values()), tuple(_list_overlaps(found)))
        for task, found in runs.items()
        if found
    ]


def _add_line(
    found: _TaskRuns,
    line: LogLine,
    restarts: Sequence[LogLine],
    placed: LogLine | None,
) -> None:
    """Add a line to the runs of a task that it names."""
    for run in _find_runs(found, line):
        if not run.lines:
            # Its worker was seen to restart between its placement and this line.
            run.lines += [
                one for one in restarts if one.fields.get("worker") == run.worker
            ]
        run.lines.append(line)
        is_answer = line.event in ANSWER_EVENTS and not run.spans
        if is_answer and placed is not None and placed.node == line.node:
            # It was sent and may have begun some time before the answer came.
            run.spans.append(Span(placed.time_ms, False, line.time_ms))
        apply_line(run, line)


def _add_line_to_open_runs(runs: Mapping[str, _TaskRuns], line: LogLine) -> None:
    """Add a line about a worker or the job to the runs that it concerns."""
    worker = line.fields.get("worker", "")
    for found in runs.values():
        for run in found.values():
            if worker not in ("", run.worker) or not run.is_open:
                continue
            run.lines.append(line)
            if line.event == SETTLED_EVENT:
                apply_settled(run, line)


def _find_runs(found: _TaskRuns, line: LogLine) -> list[RunHistory]:
    """Return the run that a line names; without a number, those on its worker."""
    worker, number = line.fields.get("worker", ""), line.fields.get("run", "")
    if not number:
        return [run for run in found.values() if run.worker == worker]
    return [found.setdefault((number, worker), RunHistory(number, worker))]


def _list_overlaps(found: _TaskRuns) -> Iterator[Overlap]:
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
    first: RunHistory, second: RunHistory, one: Span, other: Span
) -> Overlap:
    earlier = min(one, other, key=lambda span: span.begin_ms)
    return Overlap(
        first,
        second,
        one.is_certain and other.is_certain and earlier.end_ms < inf,
        max(one.begin_ms, other.begin_ms),
        min(one.end_ms, other.end_ms),
    )
