"""Unified diffs between two documents of the catalogue."""

import difflib

MAX_DIFF_LINES = 2000


def build_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of bounded length; empty when the documents are equal."""
    lines = list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
        )
    )
    if len(lines) > MAX_DIFF_LINES:
        left_out = len(lines) - MAX_DIFF_LINES
        lines = [*lines[:MAX_DIFF_LINES], f"... {left_out} more lines"]
    return "".join(f"{line}\n" for line in lines)
