"""Expected time of the longest path through the steps of a job."""

from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from bergamotgap.domain.fleet import JobSpec, StepSpec


class ExpectedPath(NamedTuple):
    """Expected time of the longest path through a job's steps, in total and left."""

    total_ms: float
    remaining_ms: float


def get_declared_ms(step: StepSpec) -> float:
    """Return the declared run time of a step."""
    return step.estimated_ms


def measure_path(
    spec: JobSpec,
    done: AbstractSet[int] = frozenset(),
    expect_ms: Callable[[StepSpec], float] = get_declared_ms,
) -> ExpectedPath:
    """Return the expected path of a job whose steps in `done` are done."""
    times = [expect_ms(step) for step in spec.steps]
    total_ms = measure_longest_path(spec.steps, times)
    if not done:
        return ExpectedPath(total_ms, total_ms)
    for number in done:
        times[number] = 0
    return ExpectedPath(total_ms, measure_longest_path(spec.steps, times))


def measure_longest_path(steps: Sequence[StepSpec], times_ms: Sequence[float]) -> float:
    """Return the time of the longest path through steps that take the given times."""
    lengths: list[float] = []
    for step, own_ms in zip(steps, times_ms, strict=True):
        before = [lengths[number] for number in step.after if number < len(lengths)]
        lengths.append(max(before, default=0) + own_ms)
    return max(lengths, default=0)
