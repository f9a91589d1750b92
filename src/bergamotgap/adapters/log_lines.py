"""Log lines of several nodes, read back and put in order of one time."""

import shlex
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import datetime

# Events that all nodes log within milliseconds of each other, since all read the same
# record then, with the fields that name the record.
SHARED_EVENTS = {"owner": ("pool", "token"), "configuration": ("version",)}


@dataclass(frozen=True)
class LogLine:
    """One event of a node; `time_ms` is Unix ms, at first of the node's own clock."""

    time_ms: float
    node: str
    event: str
    level: str
    fields: Mapping[str, str]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that are events; others, and those cut short, are left out."""
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
    """Return the lines in order of one time; lines of a node come as it wrote them.

    Each node's clock is corrected by what it showed at the last record that all nodes
    read, so that a clock may also jump.
    """
    shared_ms: dict[tuple[str, ...], dict[str, float]] = defaultdict(dict)
    for line in lines:
        key = _find_shared_key(line)
        if key is not None:
            shared_ms[key].setdefault(line.node, line.time_ms)
    counts = Counter(node for times in shared_ms.values() for node in times)
    # The clock that most records can be compared with is taken for the right one.
    reference_node = max(sorted(counts), key=counts.__getitem__, default="")
    clock_offsets: dict[str, float] = {}
    aligned: list[LogLine] = []
    # Backwards at first, for the lines of each node before its first shared record.
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
