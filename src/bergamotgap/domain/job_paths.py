"""Expected time of the longest path through the steps of a job."""

from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from bergamotgap.domain.fleet import JobSpec, StepSpec


class ExpectedPath(NamedTuple):
    """Time of the longest path through a job's steps.

    `total_ms` is the usual time of all steps, from which the objective follows, and
    `remaining_ms` the expected time of those that are not done. Long runs count in the
    latter only: they make a job late, and don't give it more time.
    """

    total_ms: float
    remaining_ms: float


def get_declared_ms(step: StepSpec) -> float:
    """Return the declared run time of a step."""
    return step.estimated_ms


def measure_path(
    spec: JobSpec,
    done: AbstractSet[int] = frozenset(),
    expect_ms: Callable[[StepSpec], float] = get_declared_ms,
    get_usual_ms: Callable[[StepSpec], float] = get_declared_ms,
) -> ExpectedPath:
    """Return the path of a job whose steps in `done` are done.

    `expect_ms` returns the expected time of a step, `get_usual_ms` its usual time.
    """
    usual = [get_usual_ms(step) for step in spec.steps]
    left = [
        0.0 if number in done else expect_ms(step)
        for number, step in enumerate(spec.steps)
    ]
    return ExpectedPath(
        measure_longest_path(spec.steps, usual), measure_longest_path(spec.steps, left)
    )


def measure_longest_path(steps: Sequence[StepSpec], times_ms: Sequence[float]) -> float:
    """Return the time of the longest path through steps that take the given times."""
    lengths: list[float] = []
    for step, own_ms in zip(steps, times_ms, strict=True):
        before = [lengths[number] for number in step.after if number < len(lengths)]
        lengths.append(max(before, default=0) + own_ms)
    return max(lengths, default=0)
