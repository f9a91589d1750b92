"""What of the learned run times of a queue its pool's owner records for a successor."""

from collections.abc import Iterator, Sequence
from typing import Annotated, NamedTuple, Self

import msgspec

from bergamotgap.domain.run_time_histogram import BINS

# Weights are saved in steps of a sixteenth of a run.
WEIGHT_STEPS = 16
MAX_WEIGHT = 2**24
# Bounds the weights of all shapes in a record; each takes at most 4 bytes, or 6 for a
# weight of more than 4,095 runs, which the loss of weight rules out.
MAX_SAVED_WEIGHTS = 600

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Bin = Annotated[int, msgspec.Meta(ge=0, lt=BINS)]
_Weight = Annotated[int, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
# Bins with runs, and their weights.
Weights = tuple[tuple[_Bin, ...], tuple[_Weight, ...]]


class ShapeKey(NamedTuple):
    """Identifies a shape of step; cores and time are magnitudes."""

    image: str
    cpu: int
    gpus: int
    declared_ms: int
    kind: int


class HistogramRecord(msgspec.Struct, frozen=True, array_like=True):
    """Persisted weights of ended and censored runs, and the number of runs."""

    runs: _Count
    ended: Weights
    censored: Weights

    @classmethod
    def build(
        cls,
        runs: int,
        ended: Sequence[float],
        censored: Sequence[float],
        scale: float,
    ) -> Self:
        """Return the record of weights that are multiplied by `scale`."""
        return cls(runs, _save_weights(ended, scale), _save_weights(censored, scale))

    @property
    def size(self) -> int:
        """Return the number of weights."""
        return len(self.ended[0]) + len(self.censored[0])

    @staticmethod
    def iterate(weights: Weights) -> Iterator[tuple[int, float]]:
        """Return an iterator over bins and weights in runs."""
        # A damaged record may have more bins than weights; the rest is left out.
        for number, weight in zip(*weights, strict=False):
            yield number, weight / WEIGHT_STEPS


class ShapeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Persisted runs of one shape."""

    key: ShapeKey
    histogram: HistogramRecord


class RunTimeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Persisted runs of a queue, and the Unix time in ms at which they were saved."""

    saved_ms: int
    total: HistogramRecord
    shapes: tuple[ShapeRecord, ...] = ()


def _save_weights(weights: Sequence[float], scale: float) -> Weights:
    saved = [
        (number, min(MAX_WEIGHT, round(weight * scale * WEIGHT_STEPS)))
        for number, weight in enumerate(weights)
        if weight
    ]
    kept = [(number, weight) for number, weight in saved if weight]
    return tuple(number for number, _ in kept), tuple(weight for _, weight in kept)
