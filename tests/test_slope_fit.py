"""Tests of linear fits: points that don't fit a line must not be reported as one."""

import pytest

from tools.slope_fit import fit_slope

SIZES = (100, 200, 400, 800)


def test_line_is_found_with_its_base_and_error() -> None:
    """Guards against swapped slope and intercept, and against a wrong error."""
    noise = (0.4, -0.4, -0.4, 0.4)
    points = [(x, 5 + 0.5 * x + e) for x, e in zip(SIZES, noise, strict=True)]
    found = fit_slope("memory", "hosts", "KiB", points)
    assert found.verdict == "line"
    assert found.slope == pytest.approx(0.5, abs=0.01)
    assert found.base == pytest.approx(5, abs=1)
    assert 0 < found.slope_error < 0.01
    assert 0 < found.residual < 1


def test_quadratic_growth_is_no_line() -> None:
    """Guards against an extrapolation that hides quadratic growth."""
    points = [(x, x * x) for x in SIZES]
    assert fit_slope("wave", "hosts", "ms", points).verdict == "no line"


def test_cost_that_does_not_grow_is_constant() -> None:
    """Guards against noise around a constant cost that is reported as a slope."""
    points = list(zip(SIZES, (4.0, 4.2, 3.9, 4.1), strict=True))
    assert fit_slope("fold", "jobs", "us", points).verdict == "constant"


def test_three_points_are_refused() -> None:
    """Guards against a fit with too few points for a meaningful error."""
    with pytest.raises(ValueError, match="too few"):
        fit_slope("memory", "hosts", "KiB", [(1, 1), (2, 2), (3, 3)])
