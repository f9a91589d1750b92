"""Log of the tasks that a worker stand-in started."""

import json
import time
from pathlib import Path
from typing import Any

BODY_PREFIX_BYTES = 64


class StartLog:
    """Records each start of a task in memory and in a file, which survives a crash.

    In an entry, `count` is how often this worker has started the task so far, and
    `at_ms` is the wall-clock time of the start.
    """

    def __init__(self, file: Path | None = None) -> None:
        self._file = file
        self.entries: list[dict[str, Any]] = []
        if file is not None and file.exists():
            self.entries = read_starts(file)
        self._counts: dict[str, int] = {}
        for entry in self.entries:
            self._counts[entry["task"]] = entry["count"]

    def record_start(self, task: str, body: bytes, **fields: str | int | None) -> None:
        """Record one start of a task."""
        count = self._counts.get(task, 0) + 1
        self._counts[task] = count
        start = body[:BODY_PREFIX_BYTES].decode(errors="replace")
        entry = {
            **{"task": task, "count": count, "at_ms": time.time_ns() // 1_000_000},
            **{**fields, "body": start},
        }
        self.entries.append(entry)
        if self._file is not None:
            with self._file.open("a") as file:
                file.write(json.dumps(entry) + "\n")


def read_starts(file: Path) -> list[dict[str, Any]]:
    """Return the entries of a file written by `StartLog`, none if it is missing."""
    if not file.exists():
        return []
    return [json.loads(line) for line in file.read_text().splitlines()]
