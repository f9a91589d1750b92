"""Estimates the load that is offered to a pool from the jobs that arrived recently."""

import math
from collections import deque
from collections.abc import Container

from bergamotgap.domain.amounts import Amount, total

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
        # Arrival time (monotonic, ms), work (amount in ms) and customer, oldest first.
        self._arrivals: deque[tuple[int, Amount, str]] = deque(maxlen=MAX_ARRIVALS)

    @property
    def arrivals(self) -> int:
        """Return how many arrivals are kept."""
        return len(self._arrivals)

    def record(self, at_ms: int, work: Amount, customer: str = "") -> None:
        """Record the arrival of a job with its work."""
        self._arrivals.append((at_ms, work, customer))
        self._forget_old(at_ms)

    def estimate(self, now_ms: int, skipped: Container[str] = ()) -> Amount:
        """Return the work that arrives per ms, which is the capacity that it uses.

        Jobs of `skipped` customers are left out.

        Returns the highest of several rates over the latest arrivals in each dimension.
        Rates from fewer arrivals are scaled down more: a pool with many small jobs
        reacts to a change in load at once, while one large job in a pool with few jobs
        doesn't look like one.
        """
        self._forget_old(now_ms)
        arrivals = [row for row in self._arrivals if row[2] not in skipped]
        highest = total([work for _, work, _ in arrivals]).divide(MAX_PERIOD_MS)
        cpu = memory_mb = gpus = 0.0
        count, next_count = 0, MIN_ARRIVALS
        for at_ms, work, _ in reversed(arrivals):
            cpu += work.cpu
            memory_mb += work.memory_mb
            gpus += work.gpus
            count += 1
            if count < next_count:
                continue
            next_count *= 2
            min_period_ms = (
                MIN_PERIOD_OF_FEW_MS if count < MANY_ARRIVALS else MIN_PERIOD_OF_MANY_MS
            )
            period_ms = max(min_period_ms, now_ms - at_ms)
            confidence = 1 - 1 / math.sqrt(count + 1)
            rate = Amount(cpu, memory_mb, gpus).scale(confidence).divide(period_ms)
            highest = highest.join(rate)
        return highest

    def _forget_old(self, now_ms: int) -> None:
        while self._arrivals and now_ms - self._arrivals[0][0] >= MAX_PERIOD_MS:
            self._arrivals.popleft()
