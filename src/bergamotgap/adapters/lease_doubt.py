"""Until when a run may have lasted by its lease after an owner took it for gone."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import inf

from bergamotgap.adapters.log_lines import LogLine

# The longest lease that a worker grants, by the slowest clock.
LONGEST_LEASE_MS = 10_205
# Bounds of a lost run that outlast a lease in whatever clock.
SAFE_BOUNDS = frozenset({"misread", "life_ended"})


@dataclass(frozen=True)
class LeaseDoubt:
    """A lease that may have been granted in the clock of another life.

    `evidence` is the line that tells of the later life or of the misread lease.
    """

    until_ms: float
    lease: LogLine
    evidence: LogLine


def find_lease_doubt(
    worker: str,
    run_lines: Sequence[LogLine],
    release: LogLine,
    lines: Sequence[LogLine],
) -> LeaseDoubt | None:
    """Return until when a run may have lasted; None if nothing tells of it.

    `release` is the line by which an owner took the run for gone, `run_lines` are those
    about the run, and `lines` all lines.
    """
    assumption = _find_ignorance(worker, run_lines, release)
    if assumption is None and not _is_bound_by_lease(worker, release, lines):
        return None
    leases = [one for one in run_lines if one.event == "lease sent" and _names_run(one)]
    if not leases:
        return None
    lease = leases[-1]
    worker_lines = [
        one
        for one in lines
        if one.fields.get("worker") == worker and one.time_ms >= lease.time_ms
    ]
    answers_ms = _list_answers(worker_lines, release)
    latest_ms = min(answers_ms, default=inf)
    doubts = [*_list_misreads(worker_lines, release, lease)]
    if not _is_life_certain(run_lines):
        doubts += _list_later_lives(worker_lines, release, lease)
    if assumption is not None:
        doubts.append(_build_own_bound(lines, release, lease, assumption))
    if not doubts:
        return None
    doubt = max(doubts, key=lambda one: one.until_ms)
    until_ms = min(doubt.until_ms, latest_ms)
    if until_ms <= release.time_ms:
        return None
    return LeaseDoubt(until_ms, lease, doubt.evidence)


def read_number(line: LogLine, name: str) -> int | None:
    """Return a whole number of a line; None if there is none."""
    try:
        return int(line.fields[name])
    except (KeyError, ValueError):
        return None


def _names_run(line: LogLine) -> bool:
    return "run" in line.fields


def _is_bound_by_lease(worker: str, release: LogLine, lines: Sequence[LogLine]) -> bool:
    """Return whether the run was taken for gone without an answer of its worker."""
    fields = release.fields
    if release.event == "run lost":
        is_lease_ended = fields.get("reason") == "lease_ended"
        return is_lease_ended and fields.get("bound") not in SAFE_BOUNDS
    if release.event != "settled":
        return False
    names = [name for name in fields.get("unseen_workers", "").split(",") if name]
    # A line names the first of many workers only.
    if worker in names or (read_number(release, "unseen") or 0) > len(names):
        return True
    begin_ms = release.time_ms - (read_number(release, "waited_ms") or 0)
    return any(
        one.event == "worker silent"
        and one.node == release.node
        and one.fields.get("worker") == worker
        and begin_ms <= one.time_ms <= release.time_ms
        for one in lines
    )


def _find_ignorance(
    worker: str, run_lines: Sequence[LogLine], release: LogLine
) -> LogLine | None:
    """Return the line by which a successor knew of no run on the worker."""
    for line in run_lines:
        if line.event != "former runs assumed" or line.node != release.node:
            continue
        names = [name for name in line.fields.get("workers", "").split(",") if name]
        are_all_named = read_number(line, "worker_count") == len(names)
        if release.event == "settled" and are_all_named and worker not in names:
            return line
    return None


def _build_own_bound(
    lines: Sequence[LogLine], release: LogLine, lease: LogLine, assumption: LogLine
) -> LeaseDoubt:
    """Return the doubt that the lease itself leaves; its owner renewed it by polls."""
    renewed_ms = max(
        one.time_ms
        for one in lines
        if one.node == lease.node and one.time_ms <= release.time_ms
    )
    ends_in_ms = read_number(lease, "ends_in_ms") or 0
    return LeaseDoubt(renewed_ms + ends_in_ms, lease, assumption)


def _is_life_certain(run_lines: Sequence[LogLine]) -> bool:
    """Return whether an answer showed that the life of the lease took the start."""
    return any(
        one.event == "start accepted"
        and one.fields.get("is_life_certain", "").lower() == "true"
        for one in run_lines
    )


def _list_answers(worker_lines: Sequence[LogLine], release: LogLine) -> Iterator[float]:
    """Yield when a clock was read, after the release, by the owner that wrote it.

    A run that was there then has a line of its own.
    """
    for line in worker_lines:
        age_ms = read_number(line, "age_ms")
        if line.event != "lease sent" or line.node != release.node:
            continue
        if age_ms is not None and age_ms >= 0:
            read_ms = line.time_ms - age_ms
            if read_ms > release.time_ms:
                yield read_ms


def _list_misreads(
    worker_lines: Sequence[LogLine], release: LogLine, lease: LogLine
) -> Iterator[LeaseDoubt]:
    for line in worker_lines:
        until_ms = read_number(line, "until_ms")
        is_told = line.event == "lease may be misread" and until_ms is not None
        if is_told and line.time_ms <= release.time_ms:
            yield LeaseDoubt(line.time_ms + (until_ms or 0), lease, line)


def _list_later_lives(
    worker_lines: Sequence[LogLine], release: LogLine, lease: LogLine
) -> Iterator[LeaseDoubt]:
    """Yield a doubt if a line shows a later life than the one the lease was for."""
    life = read_number(lease, "life")
    later = [
        one
        for one in worker_lines
        if life is not None and (read_number(one, "life") or 0) > life
    ]
    if not later:
        return
    # Until it counts a worker as silent, an owner sends the lease with polls too.
    sent_ms = max(
        one.time_ms
        for one in (lease, *worker_lines)
        if one is lease
        or (
            one.event == "worker silent"
            and one.node == lease.node
            and one.time_ms <= release.time_ms
        )
    )
    yield LeaseDoubt(sent_ms + LONGEST_LEASE_MS, lease, later[0])
