"""Choose a worker by locality and load."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

# The least loaded of three random members is close to the least loaded of all, and
# entry hosts that choose at the same moment don't all choose the same worker.
SAMPLE_SIZE = 3

T = TypeVar("T")


def estimate_load(running: int, reported_busy: int, sent_since_report: int) -> int:
    """Return the tasks that a worker probably runs.

    Reports lag, so tasks sent after the last report are added to it, and the load is
    never below this node's own running tasks.
    """
    return max(running, reported_busy + sent_since_report)


def choose_worker(
    groups: Sequence[Sequence[T]],
    tests: Sequence[Callable[[T], bool]],
    score: Callable[[T], float],
    rng: random.Random,
) -> T | None:
    """Return the best of a few random members; None when no member passes any test.

    `groups` are ordered from near to far and `tests` from strict to loose. A test is
    tried on every group before the next test. A group is searched in full only when
    its random sample has no member that passes.
    """
    for test in tests:
        for group in groups:
            passing = [item for item in _sample(group, rng) if test(item)]
            if not passing and len(group) > SAMPLE_SIZE:
                passing = _sample([item for item in group if test(item)], rng)
            if passing:
                return min(passing, key=score)
    return None


def _sample(group: Sequence[T], rng: random.Random) -> list[T]:
    if len(group) <= SAMPLE_SIZE:
        return rng.sample(group, len(group))
    return rng.sample(group, SAMPLE_SIZE)
