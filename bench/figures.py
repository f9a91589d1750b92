"""Figures of a benchmark run and their targets."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Literal

from rich.console import Console
from rich.table import Table

UNITS = {"_ms": "ms", "_us": "µs", "_per_s": "1/s", "_bytes": "B"}


@dataclass(frozen=True)
class Figure:
    """A measured value; `bound` is the stated target, never taken from a run."""

    measure: str
    value: float
    unit: str
    bound: float | None = None
    side: Literal["at most", "at least"] = "at most"
    note: str = ""

    @property
    def is_met(self) -> bool:
        """Return whether the target is met; without a target, return True."""
        if self.bound is None:
            return True
        if self.side == "at most":
            return self.value <= self.bound
        return self.value >= self.bound


def list_figures(prefix: str, row: Mapping[str, float]) -> list[Figure]:
    """Return values as figures without targets; the suffix of a name gives its unit."""
    figures = []
    for name, value in row.items():
        unit = next((text for end, text in UNITS.items() if name.endswith(end)), "")
        figures.append(Figure(f"{prefix}: {name}", value, unit))
    return figures


def print_figures(figures: Sequence[Figure]) -> None:
    """Print all figures as one table."""
    table = Table("measure", "value", "unit", "target", "met", "note")
    for figure in figures:
        target = "" if figure.bound is None else f"{figure.side} {figure.bound:g}"
        met = "" if figure.bound is None else ("yes" if figure.is_met else "NO")
        table.add_row(
            figure.measure,
            f"{figure.value:.4g}",
            figure.unit,
            target,
            met,
            figure.note,
        )
    Console(width=150).print(table)


def write_figures(figures: Sequence[Figure], path: Path) -> None:
    """Write all figures as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = [asdict(figure) | {"is_met": figure.is_met} for figure in figures]
    path.write_text(json.dumps(rows, indent=2) + "\n")
