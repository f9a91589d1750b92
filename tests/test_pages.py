"""Tests that names in the pages for operators and callers exist in the code."""

import re
from pathlib import Path

import pytest
from typer.testing import CliRunner

from bergamotgap.cli.main import app

ROOT = Path(__file__).resolve().parent.parent
SOURCE = "".join(path.read_text() for path in sorted((ROOT / "src").rglob("*.py")))
CALLERS = (ROOT / "docs" / "callers.md").read_text()
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()


def list_column_names(page: str, heading: str, column: int) -> list[str]:
    section = page.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    rows = [line.split(" | ") for line in section.splitlines() if line[:2] == "| "]
    return re.findall(r"`([^`]+)`", " ".join(row[column] for row in rows[2:]))


def test_the_codes_exist() -> None:
    """Guards against documented error codes that are never sent."""
    codes = [
        c for c in list_column_names(CALLERS, "Codes", 1) if not c.startswith("work_")
    ]
    assert len(codes) > 30
    assert [code for code in codes if f'"{code}"' not in SOURCE] == []


def test_the_metrics_and_events_exist() -> None:
    """Guards against documented metrics and log events that don't exist."""
    metrics = [m for m in list_column_names(OPERATIONS, "Alarms", 0) if "_" in m]
    assert len(metrics) > 10
    for name in metrics:
        assert f'"{name}"' in SOURCE or f"{{PREFIX}}{name}" in SOURCE, name
    for event in list_column_names(OPERATIONS, "Logs", 0):
        assert f'"{event}"' in SOURCE, event


@pytest.mark.parametrize("page", ["docs/OPERATIONS.md", "README.md"])
def test_the_commands_exist(page: str) -> None:
    """Guards against documented commands that don't exist."""
    text = (ROOT / page).read_text()
    commands = re.findall(r"^bergamotgap ((?:[a-z-]+ ?){1,2})", text, re.MULTILINE)
    assert len(commands) > 3
    for command in commands:
        result = CliRunner().invoke(app, [*command.split(), "--help"])
        assert result.exit_code == 0, command
