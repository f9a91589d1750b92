"""Parse log lines of several nodes and sort them on one common clock."""

import shlex
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import UTC, datetime

# Events that all nodes log within milliseconds of each other, because all read the same
# record at that time, and the fields that identify the record.
SHARED_EVENTS = {"owner": ("pool", "token"), "configuration": ("version",)}


@dataclass(frozen=True)
class LogLine:
    """One event of a node; `time_ms` is Unix ms by the node's clock until aligned."""

    time_ms: float
    node: str
    event: str
    level: str
    fields: Mapping[str, str]


def format_time(time_ms: float) -> str:
    """Return the time of day of a Unix time."""
    when = datetime.fromtimestamp(time_ms / 1000, UTC)
    return f"{when:%H:%M:%S}.{when.microsecond // 1000:03}"


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that are events; skips other lines and truncated ones."""
    lines = []
    for text in texts:
        start = text.find("time=")
        if start < 0:
            continue
        try:
            words = shlex.split(text[start:])
            fields = dict(word.split("=", 1) for word in words if "=" in word)
            when = datetime.fromisoformat(fields.pop("time"))
        except ValueError:
            continue
        lines.append(
            LogLine(
                when.timestamp() * 1000,
                fields.pop("node", ""),
                fields.pop("event", ""),
                fields.pop("level", ""),
                fields,
            )
        )
    return lines


def align_clocks(lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines sorted by time after correcting for clock differences.

    `lines` must contain the lines of each node in the order of writing. The offset of
    a node's clock is taken from the last shared record that it logged, so that jumps
    of a clock are corrected too.
    """
    shared_ms: dict[tuple[str, ...], dict[str, float]] = defaultdict(dict)
    for line in lines:
        key = _find_shared_key(line)
        if key is not None:
            shared_ms[key].setdefault(line.node, line.time_ms)
    counts = Counter(node for times in shared_ms.values() for node in times)
    # The reference clock is that of the node that logged the most shared records.
    reference_node = max(sorted(counts), key=counts.__getitem__, default="")
    clock_offsets: dict[str, float] = {}
    aligned: list[LogLine] = []
    # The backward pass provides offsets for lines before a node's first shared record.
    for line in reversed(lines):
        _record_clock_offset(clock_offsets, shared_ms, reference_node, line)
    for line in lines:
        _record_clock_offset(clock_offsets, shared_ms, reference_node, line)
        offset_ms = clock_offsets.get(line.node, 0.0)
        aligned.append(replace(line, time_ms=line.time_ms + offset_ms))
    return sorted(aligned, key=lambda line: line.time_ms)


def _find_shared_key(line: LogLine) -> tuple[str, ...] | None:
    names = SHARED_EVENTS.get(line.event)
    if names is None:
        return None
    return (line.event, *(line.fields.get(name, "") for name in names))


def _record_clock_offset(
    clock_offsets: dict[str, float],
    shared_ms: Mapping[tuple[str, ...], Mapping[str, float]],
    reference_node: str,
    line: LogLine,
) -> None:
    key = _find_shared_key(line)
    if key is not None and reference_node in shared_ms[key]:
        times = shared_ms[key]
        clock_offsets[line.node] = times[reference_node] - times[line.node]
