"""Chooses a worker by locality and load."""

import math
import random
from collections.abc import Callable, Sequence
from typing import TypeVar

# Power of three random choices: the least loaded of three random members is close to
# the least loaded of all, and entry hosts that choose at the same moment don't all
# choose the same worker.
SAMPLE_SIZE = 3

T = TypeVar("T")


def estimate_load(running: int, reported_busy: int, sent_since_report: int) -> int:
    """Estimate how many tasks a worker is running.

    Reports lag behind, so tasks sent since the last report are added to the reported
    number. The estimate is never below the number of this node's own running tasks.
    """
    return max(running, reported_busy + sent_since_report)


def choose_worker(
    groups: Sequence[Sequence[T]],
    scorers: Sequence[Callable[[T], float | None]],
    rng: random.Random,
) -> T | None:
    """Return the best of a few random members; None if no scorer accepts any.

    `groups` are ordered from near to far and `scorers` from strict to lenient. A scorer
    returns a score, of which the lowest is best, or None to reject a member. Each is
    tried on all groups before the next one. A group is searched completely only if the
    scorer rejects all members of a random sample.
    """
    for scorer in scorers:
        for group in groups:
            best = _find_best(_draw_sample(group, rng), scorer)
            if best is None and len(group) > SAMPLE_SIZE:
                accepted = [item for item in group if scorer(item) is not None]
                best = _find_best(_draw_sample(accepted, rng), scorer)
            if best is not None:
                return best
    return None


def _find_best(items: Sequence[T], scorer: Callable[[T], float | None]) -> T | None:
    best: T | None = None
    best_score = math.inf
    for item in items:
        score = scorer(item)
        if score is not None and score < best_score:
            best, best_score = item, score
    return best


def _draw_sample(group: Sequence[T], rng: random.Random) -> Sequence[T]:
    # May draw a member twice; `Random.sample` avoids that but costs several times as
    # much.
    size = len(group)
    if size > SAMPLE_SIZE:
        return [group[int(rng.random() * size)] for _ in range(SAMPLE_SIZE)]
    # Rotates by a random offset: the first of several equal members is chosen, and
    # without the rotation that would always be the same one.
    first = int(rng.random() * size)
    return [*group[first:], *group[:first]]
