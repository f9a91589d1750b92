"""Distribution of the ratio of actual to declared run times, in logarithmic bins."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

# A bin is a factor of 1.09 wide, which bounds the error of a value to 4.5 %. Bins cover
# ratios from 1/16 to 64; values beyond count as these.
BINS_PER_OCTAVE = 8
LOWEST_OCTAVE, HIGHEST_OCTAVE = -4, 6
BINS = (HIGHEST_OCTAVE - LOWEST_OCTAVE) * BINS_PER_OCTAVE + 1
# The middle of this bin is a ratio of exactly 1.
DECLARED_BIN = -LOWEST_OCTAVE * BINS_PER_OCTAVE
BIN_RATIOS = tuple(2 ** ((b - DECLARED_BIN) / BINS_PER_OCTAVE) for b in range(BINS))
# The weight of a run is halved after this many later runs: with 3 long runs in 100, the
# estimate then rests on about 11 of them. With 64, as before, it would rest on 3.
HALF_LIFE_RUNS = 256
HALF_LIFE_MS = 600_000
GROWTH_PER_RUN = 2 ** (1 / HALF_LIFE_RUNS)
# The weight of a new run at which the stored weights are scaled back.
MAX_UNIT = 1e9
# Weight, in runs, of the assumption that an overdue run takes as long again as it is
# overdue. It decides only where hardly any known run took so long.
OVERDUE_WEIGHT = 1.0
# Above this, the number of tasks of a step is rounded to three significant bits.
MAX_EXACT_COUNT = 16


def choose_bin(ratio: float) -> int:
    """Return the bin of a ratio above 0."""
    number = DECLARED_BIN + round(math.log2(ratio) * BINS_PER_OCTAVE)
    return min(max(number, 0), BINS - 1)


@dataclass(slots=True)
class Histogram:
    """Weights of ended and censored runs by bin; `unit` is that of a new run.

    The unit grows with each run and with time, so that no stored weight has to be
    changed for older runs to lose weight.
    """

    ended: list[float] = field(default_factory=lambda: [0.0] * BINS)
    censored: list[float] = field(default_factory=lambda: [0.0] * BINS)
    unit: float = 1.0
    # Sum of the weights of ended runs, and number of runs without loss of weight.
    total: float = 0.0
    runs: int = 0
    changed_ms: int = 0

    def add(self, bin_number: int, is_censored: bool, now_ms: int) -> None:
        """Add one run."""
        self._advance(now_ms)
        if is_censored:
            self.censored[bin_number] += self.unit
            return
        self.unit *= GROWTH_PER_RUN
        self.ended[bin_number] += self.unit
        self.total += self.unit
        self.runs += 1

    def add_weight(self, bin_number: int, is_censored: bool, weight: float) -> None:
        """Add a weight in runs, as another owner recorded it."""
        weights = self.censored if is_censored else self.ended
        weights[bin_number] += weight * self.unit
        self.total += 0 if is_censored else weight * self.unit

    def _advance(self, now_ms: int) -> None:
        passed_ms = now_ms - self.changed_ms
        if passed_ms > 0:
            # A longer time leaves no weight that matters, and could overflow.
            self.unit *= 2 ** min(passed_ms / HALF_LIFE_MS, 50.0)
            self.changed_ms = now_ms
        if self.unit > MAX_UNIT:
            self.ended = [weight / self.unit for weight in self.ended]
            self.censored = [weight / self.unit for weight in self.censored]
            self.total /= self.unit
            self.unit = 1.0

    def get_weight(self, now_ms: int) -> float:
        """Return the weight of the ended runs, in runs."""
        self._advance(now_ms)
        return self.total / self.unit


class Distribution:
    """Estimated distribution of a ratio, with censored runs taken into account.

    It is the product-limit (Kaplan-Meier) estimate: a run stopped at some ratio counts
    among those that might have ended up to there, and not as ended.
    """

    __slots__ = ("_greatest", "_probabilities", "_weight", "mean", "median", "usual")

    def __init__(self, ended: Sequence[float], censored: Sequence[float]) -> None:
        self._weight = sum(ended)
        self._probabilities = _estimate_probabilities(ended, censored)
        self._greatest: dict[int, float] = {}
        self.mean = sum(BIN_RATIOS[b] * p for b, p in self._probabilities)
        self.median = self.quantile(0.5)
        self.usual = self.quantile(0.9)

    def list_probabilities(self) -> list[tuple[int, float]]:
        """Return the bins with a probability above 0, in order."""
        return self._probabilities

    def quantile(self, q: float) -> float:
        """Return the ratio that a share `q` of the runs does not exceed."""
        below = 0.0
        for bin_number, probability in self._probabilities:
            below += probability
            if below >= q - 1e-9:
                return BIN_RATIOS[bin_number]
        return BIN_RATIOS[self._probabilities[-1][0]]

    def expect_greatest(self, count: int) -> float:
        """Return the expected greatest ratio of `count` runs."""
        if count > MAX_EXACT_COUNT:
            shift = count.bit_length() - 3
            count = (count >> shift) << shift
        greatest = self._greatest.get(count)
        if greatest is None:
            below, before, greatest = 0.0, 0.0, 0.0
            for bin_number, probability in self._probabilities:
                below = min(1.0, below + probability)
                power = below**count
                greatest += BIN_RATIOS[bin_number] * (power - before)
                before = power
            self._greatest[count] = greatest
        return greatest

    def expect_remaining(self, passed: float) -> float:
        """Return the expected rest of a run's ratio after `passed`.

        Runs that took longer than `passed` decide. The fewer they are, the more weight
        has the assumption that the run takes as long again as it is overdue.
        """
        longer = rest = 0.0
        for bin_number, probability in reversed(self._probabilities):
            if BIN_RATIOS[bin_number] <= passed:
                break
            longer += probability
            rest += probability * (BIN_RATIOS[bin_number] - passed)
        if passed <= self.usual:
            return rest / longer if longer else 0.0
        weighted = rest * self._weight + OVERDUE_WEIGHT * (passed - self.usual)
        return weighted / (longer * self._weight + OVERDUE_WEIGHT)


def _estimate_probabilities(
    ended: Sequence[float], censored: Sequence[float]
) -> list[tuple[int, float]]:
    """Return the probability of each bin in which runs ended."""
    at_risk = sum(ended) + sum(censored)
    probabilities: list[tuple[int, float]] = []
    survival, last_bin = 1.0, DECLARED_BIN
    for bin_number in range(BINS):
        events, stops = ended[bin_number], censored[bin_number]
        if not events and not stops:
            continue
        last_bin = bin_number
        if events and at_risk > 0:
            probability = survival * min(1.0, events / at_risk)
            probabilities.append((bin_number, probability))
            survival -= probability
        at_risk -= events + stops
    if survival > 1e-9 or not probabilities:
        # The longest runs were censored: they took at least as long as they were seen.
        probabilities.append((last_bin, max(survival, 0.0)))
    return probabilities
