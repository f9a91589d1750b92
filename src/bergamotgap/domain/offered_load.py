"""Estimates the load that is offered to a pool from the jobs that arrived recently."""

import math
from collections import deque
from collections.abc import Container

# Fewest arrivals from which a rate is estimated; further rates are estimated from
# twice as many each, up to all arrivals of the longest period.
MIN_ARRIVALS = 3
# Shortest period over which a rate is measured. Few arrivals can be close together by
# chance; many can't, so their period may be as short as a round of the host controller.
MANY_ARRIVALS = 12
MIN_PERIOD_OF_FEW_MS = 500
MIN_PERIOD_OF_MANY_MS = 100
MAX_PERIOD_MS = 2500
# Bounds the memory for a flood of jobs. So many arrivals within the longest period
# estimate a rate to a few per cent.
MAX_ARRIVALS = 4096


class OfferedLoad:
    """Keep recent arrivals, and estimate the work that arrives per ms from them.

    The number of arrivals read follows the rate at which jobs arrive, so the estimate
    has no upper limit that a larger pool would reach.
    """

    def __init__(self) -> None:
        # Arrival time (monotonic, ms), work (1/1000 core-ms) and customer; the oldest
        # is first.
        self._arrivals: deque[tuple[int, float, str]] = deque(maxlen=MAX_ARRIVALS)

    @property
    def arrivals(self) -> int:
        """Return how many arrivals are kept."""
        return len(self._arrivals)

    def record(self, at_ms: int, work: float, customer: str = "") -> None:
        """Record the arrival of a job with `work` in 1/1000 core-ms."""
        self._arrivals.append((at_ms, work, customer))
        self._forget_old(at_ms)

    def estimate(self, now_ms: int, skipped: Container[str] = ()) -> float:
        """Return the work that arrives per ms, in 1/1000 cores.

        Jobs of `skipped` customers are left out.

        Returns the highest of several rates over the latest arrivals. Rates from fewer
        arrivals are scaled down more: a pool with many small jobs reacts to a change in
        load at once, while one large job in a pool with few jobs doesn't look like one.
        """
        self._forget_old(now_ms)
        total = sum(work for _, work, name in self._arrivals if name not in skipped)
        highest = total / MAX_PERIOD_MS
        work, count, next_count = 0.0, 0, MIN_ARRIVALS
        for at_ms, job_work, name in reversed(self._arrivals):
            if name in skipped:
                continue
            work += job_work
            count += 1
            if count < next_count:
                continue
            next_count *= 2
            min_period_ms = (
                MIN_PERIOD_OF_FEW_MS if count < MANY_ARRIVALS else MIN_PERIOD_OF_MANY_MS
            )
            period_ms = max(min_period_ms, now_ms - at_ms)
            confidence = 1 - 1 / math.sqrt(count + 1)
            highest = max(highest, confidence * work / period_ms)
        return highest

    def _forget_old(self, now_ms: int) -> None:
        while self._arrivals and now_ms - self._arrivals[0][0] >= MAX_PERIOD_MS:
            self._arrivals.popleft()
