"""Explain one job or task from the nodes' logs: decisions, runs and the cause."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bergamotgap.adapters.log_lines import LogLine
from bergamotgap.adapters.overlap_causes import explain_overlaps
from bergamotgap.adapters.run_history import (
    WORKER_EVENTS,
    TaskHistory,
    list_task_histories,
)

# Events that help to explain a job without naming it: those of its pool, and those of
# all pools or of the log.
POOL_EVENTS = frozenset(
    {
        "owner",
        "pool gained",
        "pool lost",
        "superseded",
        "former runs assumed",
        "settled",
        "pool size",
    }
)
FLEET_EVENTS = frozenset(
    {
        "outage of the log for all",
        "log lost",
        "log regained",
        "membership lost",
        "owner acts",
        "owner waits",
        "connection outlived its life",
    }
)
# Pool sizes are logged while the job waits. Other context events may come earlier, so
# they are included from this long before the first line of the job.
CONTEXT_BEFORE_MS = 2000
# A pool counts as short of hosts if it wants more than this multiple of its capacity.
SHORTAGE_RATIO = 1.2
# Events after which a task has to be started again.
DELAY_EVENTS = frozenset(
    {
        "run ended by crash",
        "run lost",
        "run failed",
        "run stalled",
        "start refused",
        "start unanswered",
    }
)


@dataclass(frozen=True)
class Explanation:
    """The lines of a job and its context lines in time order, its runs, and the cause.

    `tasks` are those that had more than one run, or the one that was asked for.
    """

    lines: tuple[LogLine, ...]
    cause: str
    tasks: tuple[TaskHistory, ...] = ()


def explain_job(name: str, lines: Sequence[LogLine]) -> Explanation | None:
    """Explain a job, or one of its tasks, from aligned lines.

    Returns None if no line names it.
    """
    job_id, is_task = name.split(".")[0], "." in name
    job_lines = [
        line
        for line in lines
        if _names_job(line, job_id)
        and (not is_task or line.fields.get("task", name) == name)
    ]
    if not any(_names(line, name, is_task) for line in job_lines):
        return None
    pools = {line.fields["pool"] for line in job_lines if "pool" in line.fields}
    workers = {line.fields["worker"] for line in job_lines if "worker" in line.fields}
    first_ms, last_ms = job_lines[0].time_ms - CONTEXT_BEFORE_MS, job_lines[-1].time_ms
    context_lines = [
        line
        for line in lines
        if first_ms <= line.time_ms <= last_ms
        and (
            line.event in FLEET_EVENTS
            or (line.event in POOL_EVENTS and line.fields.get("pool") in pools)
            or (line.event in WORKER_EVENTS and line.fields.get("worker") in workers)
        )
        # Starts of other jobs' tasks have lines of the same name.
        and "task" not in line.fields
    ]
    # Lines of the same millisecond stay in the order of writing.
    chosen = {id(line) for line in (*job_lines, *context_lines)}
    sorted_lines = [line for line in lines if id(line) in chosen]
    tasks = [
        history
        for history in list_task_histories(sorted_lines)
        if is_task or len(history.runs) > 1
    ]
    causes = [_find_cause(job_lines, context_lines)]
    causes += [text for task in tasks for text in explain_overlaps(task)]
    return Explanation(tuple(sorted_lines), "; ".join(causes), tuple(tasks))


def _names(line: LogLine, name: str, is_task: bool) -> bool:
    return not is_task or line.fields.get("task") == name


def _names_job(line: LogLine, job_id: str) -> bool:
    task = line.fields.get("task", "")
    return line.fields.get("job") == job_id or task.startswith(f"{job_id}.")


def _find_cause(job_lines: Sequence[LogLine], context_lines: Sequence[LogLine]) -> str:
    ends = [line for line in job_lines if line.event == "ended"]
    if ends:
        return _explain_end(ends[-1].fields, job_lines, context_lines)
    if any(line.event == "accepted" for line in job_lines):
        return f"accepted and not ended yet; {_explain_delay(job_lines, context_lines)}"
    refusals = [line for line in job_lines if "reason" in line.fields]
    if refusals:
        last = refusals[-1]
        return f"not accepted: {last.fields['reason']} ({last.event}, {last.node})"
    return "not accepted; no line gives the reason"


def _explain_end(
    end: Mapping[str, str],
    job_lines: Sequence[LogLine],
    context_lines: Sequence[LogLine],
) -> str:
    phase = end.get("phase", "")
    if phase == "completed":
        age_ms = end.get("age_ms", "?")
        return (
            f"completed after {age_ms} ms; {_explain_delay(job_lines, context_lines)}"
        )
    reason = end.get("reason", "")
    return f"{phase}: {reason}; {_explain_delay(job_lines, context_lines)}"


def _explain_delay(
    job_lines: Sequence[LogLine], context_lines: Sequence[LogLine]
) -> str:
    causes = []
    waits = [line for line in job_lines if line.event == "job waits"]
    placed = [line for line in job_lines if line.event == "job placed"]
    if waits:
        until_ms = next(
            (line.time_ms for line in placed if line.time_ms > waits[0].time_ms),
            job_lines[-1].time_ms,
        )
        waited_ms = until_ms - waits[0].time_ms
        reason = waits[0].fields.get("reason", "")
        causes.append(f"waited {waited_ms:.0f} ms for {reason}")
    causes += _list_former_runs(waits)
    counts = Counter(
        (line.event, line.fields.get("reason", ""), line.fields.get("worker", ""))
        for line in job_lines
        if line.event in DELAY_EVENTS
    )
    for (event, reason, worker), count in counts.most_common():
        because = f" ({reason})" if reason else ""
        causes.append(f"{count} x {event} on {worker}{because}")
    owners = [line.event for line in context_lines if line.event == "pool gained"]
    if owners:
        causes.append(f"{len(owners)} x the pool got a new owner")
    if any(line.event == "owner waits" for line in context_lines):
        causes.append("the owner waited for confirmation that it still owns the pool")
    short = [
        line
        for line in context_lines
        if line.event == "pool size" and _is_pool_short(line)
    ]
    if short:
        worst = max(short, key=_measure_shortage)
        causes.append(
            f"the pool was short of hosts: wanted {worst.fields['wanted_cpu']}, had "
            f"{worst.fields['capacity_cpu']} of 1/1000 cores"
        )
        if "wanted_mb" in worst.fields:
            causes[-1] += (
                f"; wanted {worst.fields['wanted_mb']}, had "
                f"{worst.fields['capacity_mb']} MB"
            )
    return "; ".join(causes) or "nothing delayed it"


def _list_former_runs(waits: Sequence[LogLine]) -> list[str]:
    """Return the tasks that were held by runs of them that might still exist."""
    held = dict.fromkeys(
        (one.get("task", ""), one.get("former_run", ""), one.get("former_worker", ""))
        for one in (line.fields for line in waits)
        if one.get("reason") == "former_run"
    )
    return [
        f"{task} waited for the end of run {run} on {worker}"
        for task, run, worker in held
    ]


def _is_pool_short(line: LogLine) -> bool:
    return _measure_shortage(line) > SHORTAGE_RATIO


def _measure_shortage(line: LogLine) -> float:
    """Return the greatest ratio of need to capacity over the dimensions."""
    return max(
        int(line.fields.get(f"wanted_{unit}", 0))
        / max(1, int(line.fields.get(f"capacity_{unit}", 0)))
        for unit in ("cpu", "mb")
    )
