"""Unified diffs between two catalogue documents."""

import difflib

MAX_DIFF_LINES = 2000


def build_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of at most MAX_DIFF_LINES lines; empty without changes.

    A last line tells how many further lines were left out.
    """
    lines = list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
        )
    )
    if len(lines) > MAX_DIFF_LINES:
        left_out = len(lines) - MAX_DIFF_LINES
        lines = [*lines[:MAX_DIFF_LINES], f"... {left_out} more lines"]
    return "".join(f"{line}\n" for line in lines)
