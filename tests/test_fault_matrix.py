"""Tests of the generator of the fault matrix."""

import subprocess
import sys

import pytest

from tools.fault_matrix import ROOT, MatrixError, build_cells, render_page


def test_the_page_is_current() -> None:
    """Guards against a page that shows untested cells as tested."""
    command = [sys.executable, "-m", "tools.fault_matrix", "--check"]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr


def test_each_marker_counts_in_its_cell() -> None:
    """Guards against tests that are counted twice or in the wrong cell."""
    marks = [
        ("a", ("crash", "claim")),
        ("a", ("crash", "claim")),
        ("a", ("freeze", "queue")),
        ("b", ("crash", "claim")),
    ]
    cells = build_cells(marks)
    assert cells == {("crash", "claim"): ["a", "b"], ("freeze", "queue"): ["a"]}
    page = render_page(cells)
    assert "2 of 195 cells have a test; 193 are empty" in page
    row = next(line for line in page.splitlines() if line.startswith("| crash |"))
    assert row.split(" | ")[1:4] == ["-", "2", "-"]


@pytest.mark.parametrize(
    "arguments", [("crash", "lunch"), ("meteor", "claim"), ("crash",)]
)
def test_unknown_names_are_errors(arguments: tuple[str, ...]) -> None:
    """Guards against misspelt markers, which would count in no cell."""
    with pytest.raises(MatrixError, match="a:"):
        build_cells([("a", arguments)])
