"""Linear fits of measured costs, with a table, a JSON file and plots."""

import json
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np

# A fit that misses either bound is reported as `no line`.
MIN_R2 = 0.98
MAX_RESIDUAL_FRACTION = 0.1
# A spread up to this fraction of the mean is reported as `constant`.
CONSTANT_SPREAD_FRACTION = 0.25


@dataclass(frozen=True)
class Slope:
    """Measured points of one dimension and the line fitted to them.

    `base` is the intercept; `residual` is the largest absolute residual, in units of y.
    """

    name: str
    x_unit: str
    y_unit: str
    x: list[float]
    y: list[float]
    slope: float
    slope_error: float
    base: float
    r2: float
    residual: float

    @property
    def verdict(self) -> str:
        """Classify the points as `line`, `constant` or `no line`."""
        spread = max(self.y) - min(self.y)
        if spread <= CONSTANT_SPREAD_FRACTION * float(np.mean(self.y)):
            return "constant"
        is_line = self.r2 >= MIN_R2 and self.residual <= MAX_RESIDUAL_FRACTION * spread
        return "line" if is_line else "no line"


def fit_slope(
    name: str, x_unit: str, y_unit: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Fit y = base + slope * x by least squares to four or more points."""
    if len(points) < 4:
        raise ValueError(f"{name}: {len(points)} points are too few, need at least 4")
    x = np.array([point[0] for point in points], dtype=float)
    y = np.array([point[1] for point in points], dtype=float)
    (slope, base), covariance = np.polyfit(x, y, 1, cov="unscaled")
    residuals = y - (base + slope * x)
    variance = float(np.sum(residuals**2)) / (len(points) - 2)
    total = float(np.sum((y - y.mean()) ** 2))
    return Slope(
        name=name,
        x_unit=x_unit,
        y_unit=y_unit,
        x=[float(value) for value in x],
        y=[float(value) for value in y],
        slope=float(slope),
        slope_error=float(np.sqrt(covariance[0, 0] * variance)),
        base=float(base),
        r2=1 - float(np.sum(residuals**2)) / total if total else 1.0,
        residual=float(np.max(np.abs(residuals))),
    )


def measure_cpu_us(run: Callable[[], Any], repeats: int = 5) -> float:
    """Return the minimum CPU time of several runs, in microseconds.

    The minimum, because other work on the machine can only add to it.
    """
    times = []
    for _ in range(repeats):
        started = time.process_time()
        run()
        times.append(time.process_time() - started)
    return min(times) * 1e6


def measure_bytes(build: Callable[[], Any]) -> int:
    """Return the memory in bytes of the Python objects that `build` returns."""
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print a Markdown table of all slopes."""
    print(
        "| slope | x from-to | y unit | base | slope per x | error | R2 | residual | |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for item in slopes:
        print(
            f"| {item.name} | {min(item.x):g}-{max(item.x):g} {item.x_unit}"
            f" | {item.y_unit} | {item.base:.4g} | {item.slope:.4g}"
            f" | {item.slope_error:.2g} | {item.r2:.4f} | {item.residual:.3g}"
            f" | {item.verdict} |"
        )


def save_slopes(slopes: Sequence[Slope], directory: Path) -> None:
    """Write all points to `slopes.json` and one plot for each slope."""
    directory.mkdir(parents=True, exist_ok=True)
    rows = [asdict(item) | {"verdict": item.verdict} for item in slopes]
    (directory / "slopes.json").write_text(json.dumps(rows, indent=2) + "\n")
    for item in slopes:
        figure, axes = plt.subplots(figsize=(5, 3.5))
        axes.plot(item.x, item.y, "o")
        ends = [0.0, max(item.x)]
        axes.plot(ends, [item.base + item.slope * end for end in ends], "-")
        axes.set_title(f"{item.name} ({item.verdict})", fontsize=9)
        axes.set_xlabel(item.x_unit)
        axes.set_ylabel(item.y_unit)
        axes.set_ylim(bottom=min(0.0, *item.y))
        figure.tight_layout()
        figure.savefig(directory / f"slope-{item.name.replace(' ', '-')}.png", dpi=80)
        plt.close(figure)
