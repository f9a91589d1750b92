"""Estimates of run times from finished runs, by queue and shape of step.

What is learned is the ratio of actual to declared time. The declared time is the prior.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from bergamotgap.domain.fleet import StepSpec
from bergamotgap.domain.run_time_histogram import (
    BINS,
    DECLARED_BIN,
    HALF_LIFE_MS,
    Distribution,
    Histogram,
    choose_bin,
)
from bergamotgap.domain.run_time_records import (
    MAX_SAVED_WEIGHTS,
    HistogramRecord,
    RunTimeRecord,
    ShapeKey,
    ShapeRecord,
)

# Declared times have the weight of this many runs in a queue's distribution, and the
# queue's distribution in that of a shape.
PRIOR_RUNS = 8
# Shapes kept by queue, those with the latest runs. Other shapes of a queue share its
# distribution.
MAX_SHAPES = 24
# Longer names of images are replaced by a hash, which bounds the size of the record.
MAX_IMAGE_CHARS = 32
# Estimates are built anew after this share of new runs, but with this many runs no more
# often than this: a changed estimate means that all jobs of the queue are ranked anew.
REFRESH_SHARE = 0.05
FREQUENT_REFRESH_RUNS = 32
REFRESH_MS = 1000
# Estimates are also built anew after this time, because old runs lose weight.
MAX_REFRESH_MS = 5000
# Queues without runs for this long are dropped; little weight is left of their runs.
MAX_AGE_MS = 12 * HALF_LIFE_MS
# Weight of the latest run in the mean error.
ERROR_SHARE = 0.02


class RunTimeSummary(NamedTuple):
    """Summary of a queue's estimate, for logs and gauges.

    `error` is the mean absolute difference of actual and expected time as a share of
    the declared time, `declared_error` that of actual and declared time.
    """

    ratio: float
    error: float
    declared_error: float
    trust: float
    runs: int
    age_ms: int


@dataclass(slots=True)
class _QueueRuns:
    """What is known of a queue; distributions are built when first asked for."""

    total: Histogram = field(default_factory=Histogram)
    shapes: dict[ShapeKey, Histogram] = field(default_factory=dict)
    version: int = 0
    new_runs: int = 0
    last_run_ms: int = 0
    refreshed_ms: int = 0
    built_total: Distribution | None = None
    built_shapes: dict[ShapeKey, Distribution] = field(default_factory=dict)
    error: float = 0.0
    declared_error: float = 0.0

    def invalidate(self, now_ms: int) -> None:
        self.version += 1
        self.new_runs = 0
        self.refreshed_ms = now_ms
        self.built_total = None
        self.built_shapes = {}


DECLARED_WEIGHTS = [
    float(PRIOR_RUNS if number == DECLARED_BIN else 0) for number in range(BINS)
]
# Estimate before the first run.
DECLARED = Distribution(DECLARED_WEIGHTS, [0.0] * BINS)


def get_shape(step: StepSpec) -> ShapeKey:
    """Return what makes runs comparable: program, size and declared time.

    The image names the program; without one, cores and accelerators stand for it.
    Cores and times count by powers of four, so that those that vary from job to job
    have few shapes.
    """
    kind = step.is_gang | step.is_filler << 1
    magnitude = step.estimated_ms.bit_length() // 2
    image = step.image
    if not image:
        return ShapeKey("", step.cpu.bit_length() // 2, step.gpus, magnitude, kind)
    if len(image) > MAX_IMAGE_CHARS:
        image = xxhash.xxh64_hexdigest(image.encode())
    return ShapeKey(image, 0, 0, magnitude, kind)


class RunTimeEstimates:
    """Learn the ratio of actual to declared run times of each queue and shape.

    `now_ms` is a time of this process's clock, as last passed to `record_run` or
    `advance`.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueRuns] = {}
        self._now_ms = 0

    @property
    def queues(self) -> Iterable[str]:
        """Return the queues with runs."""
        return self._queues.keys()

    def get_version(self, queue: str) -> int:
        """Return a number that changes with the estimates of a queue."""
        state = self._queues.get(queue)
        return state.version if state else 0

    def record_run(
        self,
        queue: str,
        step: StepSpec,
        actual_ms: float,
        now_ms: int,
        is_censored: bool = False,
    ) -> None:
        """Record a finished run, or one that was stopped or lost after `actual_ms`.

        Ignores runs without a declared or actual time.
        """
        if step.estimated_ms <= 0 or actual_ms <= 0:
            return
        self._now_ms = max(self._now_ms, now_ms)
        state = self._queues.get(queue)
        if state is None:
            # Versions continue where a queue was dropped and is known again.
            state = self._queues[queue] = _QueueRuns(version=now_ms)
        ratio = actual_ms / step.estimated_ms
        shape = get_shape(step)
        if not is_censored:
            self._record_error(state, shape, ratio)
        number = choose_bin(ratio)
        state.total.add(number, is_censored, now_ms)
        # The shapes are ordered by their latest run.
        histogram = state.shapes.pop(shape, None) or Histogram(changed_ms=now_ms)
        state.shapes[shape] = histogram
        histogram.add(number, is_censored, now_ms)
        if len(state.shapes) > MAX_SHAPES:
            oldest = next(iter(state.shapes))
            del state.shapes[oldest]
            state.built_shapes.pop(oldest, None)
        state.last_run_ms = now_ms
        state.new_runs += 1
        weight = state.total.total / state.total.unit
        is_due = now_ms - state.refreshed_ms >= REFRESH_MS
        if weight < FREQUENT_REFRESH_RUNS or (
            is_due and state.new_runs >= REFRESH_SHARE * weight
        ):
            state.invalidate(now_ms)

    def _record_error(self, state: _QueueRuns, shape: ShapeKey, ratio: float) -> None:
        expected = self._build(state, shape).mean
        share = max(ERROR_SHARE, 1 / (state.total.runs + 1))
        state.error += share * (abs(ratio - expected) - state.error)
        state.declared_error += share * (abs(ratio - 1) - state.declared_error)

    def advance(self, now_ms: int) -> None:
        """Let old runs lose weight, and drop queues without recent runs."""
        self._now_ms = max(self._now_ms, now_ms)
        for queue, state in list(self._queues.items()):
            if now_ms - state.last_run_ms > MAX_AGE_MS:
                del self._queues[queue]
            elif now_ms - state.refreshed_ms >= MAX_REFRESH_MS:
                state.invalidate(now_ms)

    def _get_distribution(self, queue: str, step: StepSpec) -> Distribution:
        state = self._queues.get(queue)
        return self._build(state, get_shape(step)) if state else DECLARED

    def _build(self, state: _QueueRuns, shape: ShapeKey) -> Distribution:
        built = state.built_shapes.get(shape)
        if built is not None:
            return built
        built_total = self._build_total(state)
        histogram = state.shapes.get(shape)
        if histogram is None:
            return built_total
        prior_runs = _weigh_other_shapes(state.total, histogram, self._now_ms)
        built = _combine(histogram, built_total, prior_runs, self._now_ms)
        state.built_shapes[shape] = built
        return built

    def _build_total(self, state: _QueueRuns) -> Distribution:
        if state.built_total is None:
            state.built_total = _combine(state.total, DECLARED, 0, self._now_ms)
        return state.built_total

    def expect_ms(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of one task of a step."""
        return self._get_distribution(queue, step).mean * step.estimated_ms

    def expect_step_ms(self, queue: str, step: StepSpec) -> float:
        """Return the expected greatest run time of the tasks of a step."""
        distribution = self._get_distribution(queue, step)
        # The tasks of a gang end together, and their common time is recorded once.
        count = 1 if step.is_gang else max(1, step.count)
        return distribution.expect_greatest(count) * step.estimated_ms

    def remaining_ms(self, queue: str, step: StepSpec, passed_ms: float) -> float:
        """Return the expected rest of a run that has taken `passed_ms` so far."""
        if step.estimated_ms <= 0:
            return 0.0
        distribution = self._get_distribution(queue, step)
        passed = max(0.0, passed_ms) / step.estimated_ms
        return distribution.expect_remaining(passed) * step.estimated_ms

    def quantile_ms(self, queue: str, step: StepSpec, q: float) -> float:
        """Return the time within which a share `q` of the runs of a step end."""
        return self._get_distribution(queue, step).quantile(q) * step.estimated_ms

    def typical_ms(self, queue: str, step: StepSpec) -> float:
        """Return the median run time, which long runs hardly change."""
        return self._get_distribution(queue, step).median * step.estimated_ms

    def trust(self, queue: str, step: StepSpec) -> float:
        """Return the share of runs, as opposed to the declared time, in an estimate."""
        state = self._queues.get(queue)
        if state is None or step.estimated_ms <= 0:
            return 0.0
        histogram = state.shapes.get(get_shape(step))
        if histogram is None:
            return _measure_trust(state.total, self._now_ms)
        own = histogram.get_weight(self._now_ms)
        prior = _weigh_other_shapes(state.total, histogram, self._now_ms)
        return (own + prior) / (own + PRIOR_RUNS)

    def summarize(self, queue: str) -> RunTimeSummary:
        """Return a summary of a queue's estimate."""
        state = self._queues.get(queue)
        if state is None:
            return RunTimeSummary(1.0, 0.0, 0.0, 0.0, 0, 0)
        return RunTimeSummary(
            self._build_total(state).mean,
            state.error,
            state.declared_error,
            _measure_trust(state.total, self._now_ms),
            state.total.runs,
            self._now_ms - state.last_run_ms,
        )

    def save(self, queue: str, wall_ms: int) -> RunTimeRecord | None:
        """Return the state of a queue to persist; None if nothing is known."""
        state = self._queues.get(queue)
        if state is None:
            return None
        now_ms, left = self._now_ms, MAX_SAVED_WEIGHTS
        total = _save_histogram(state.total, now_ms)
        by_weight = sorted(
            state.shapes.items(),
            key=lambda item: item[1].get_weight(now_ms),
            reverse=True,
        )
        shapes: list[ShapeRecord] = []
        for key, histogram in by_weight:
            record = _save_histogram(histogram, now_ms)
            left -= record.size
            if left < 0:
                break
            shapes.append(ShapeRecord(key, record))
        return RunTimeRecord(wall_ms, total, tuple(shapes))

    def restore(
        self, queue: str, record: RunTimeRecord, wall_ms: int, now_ms: int
    ) -> None:
        """Add the runs that a former owner saved to those known, by their number."""
        self._now_ms = max(self._now_ms, now_ms)
        state = self._queues.setdefault(queue, _QueueRuns(version=now_ms))
        age_ms = max(0, wall_ms - record.saved_ms)
        share = 0.5 ** min(age_ms / HALF_LIFE_MS, 50.0)
        state.last_run_ms = max(state.last_run_ms, now_ms - age_ms)
        state.total.changed_ms = max(state.total.changed_ms, now_ms)
        _restore_histogram(state.total, record.total, share)
        # The shape with the greatest weight comes first, and is dropped last.
        for shape in reversed(record.shapes[:MAX_SHAPES]):
            histogram = state.shapes.setdefault(shape.key, Histogram(changed_ms=now_ms))
            _restore_histogram(histogram, shape.histogram, share)
        while len(state.shapes) > MAX_SHAPES:
            del state.shapes[next(iter(state.shapes))]
        state.invalidate(now_ms)


def _measure_trust(histogram: Histogram, now_ms: int) -> float:
    weight = histogram.get_weight(now_ms)
    return weight / (weight + PRIOR_RUNS)


def _weigh_other_shapes(total: Histogram, histogram: Histogram, now_ms: int) -> float:
    """Return what part of the prior of a shape the queue's distribution is, in runs.

    The shape's own runs are in the queue's distribution too, and don't count for it.
    """
    others = max(0.0, total.get_weight(now_ms) - histogram.get_weight(now_ms))
    return PRIOR_RUNS * others / (others + PRIOR_RUNS)


def _combine(
    histogram: Histogram, prior: Distribution, prior_runs: float, now_ms: int
) -> Distribution:
    """Return the distribution of runs, of a prior, and of the declared time.

    Prior and declared time together weigh as `PRIOR_RUNS` runs.
    """
    histogram.get_weight(now_ms)
    scale = 1 / histogram.unit
    ended = [weight * scale for weight in histogram.ended]
    censored = [weight * scale for weight in histogram.censored]
    for number, probability in prior.list_probabilities():
        ended[number] += prior_runs * probability
    ended[DECLARED_BIN] += PRIOR_RUNS - prior_runs
    return Distribution(ended, censored)


def _save_histogram(histogram: Histogram, now_ms: int) -> HistogramRecord:
    histogram.get_weight(now_ms)
    return HistogramRecord.build(
        histogram.runs, histogram.ended, histogram.censored, 1 / histogram.unit
    )


def _restore_histogram(
    histogram: Histogram, record: HistogramRecord, share: float
) -> None:
    histogram.runs += record.runs
    for is_censored, weights in ((False, record.ended), (True, record.censored)):
        for number, weight in record.iterate(weights):
            histogram.add_weight(number, is_censored, weight * share)
