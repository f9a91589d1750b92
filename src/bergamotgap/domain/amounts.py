"""Sums of resources over tasks and hosts."""

from collections.abc import Sequence

import msgspec


class Amount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource: 1/1000 cores, MB of memory, accelerators.

    Also used for work, which is an amount multiplied by ms.
    """

    cpu: float = 0
    memory_mb: float = 0
    gpus: float = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def scale(self, factor: float) -> "Amount":
        """Return the amount multiplied by a factor."""
        return Amount(self.cpu * factor, self.memory_mb * factor, self.gpus * factor)

    def divide(self, divisor: float) -> "Amount":
        """Return the amount divided by a number."""
        return Amount(self.cpu / divisor, self.memory_mb / divisor, self.gpus / divisor)

    def join(self, other: "Amount") -> "Amount":
        """Return the greater amount of each dimension."""
        return Amount(
            max(self.cpu, other.cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def has_shortage(self) -> bool:
        """Return whether any dimension is positive, for an amount that is missing."""
        return self.cpu > 0 or self.memory_mb > 0 or self.gpus > 0

    def is_relieved_by(self, size: "Amount") -> bool:
        """Return whether `size` has some of a dimension that is missing."""
        return (
            (self.cpu > 0 and size.cpu > 0)
            or (self.memory_mb > 0 and size.memory_mb > 0)
            or (self.gpus > 0 and size.gpus > 0)
        )

    def covers(self, other: "Amount") -> bool:
        """Return whether no dimension is less than that of another amount."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )

    def can_spare(self, size: "Amount") -> bool:
        """Return whether a surplus covers what there is of each dimension in `size`."""
        return (
            (not size.cpu or self.cpu >= size.cpu)
            and (not size.memory_mb or self.memory_mb >= size.memory_mb)
            and (not size.gpus or self.gpus >= size.gpus)
        )

    def limit_to(self, present: "Amount") -> "Amount":
        """Return the amount without the dimensions of which nothing is present."""
        return Amount(
            self.cpu if present.cpu else 0,
            self.memory_mb if present.memory_mb else 0,
            self.gpus if present.gpus else 0,
        )


NOTHING = Amount()


def total(amounts: Sequence[Amount]) -> Amount:
    """Return the sum of amounts."""
    return Amount(
        sum(amount.cpu for amount in amounts),
        sum(amount.memory_mb for amount in amounts),
        sum(amount.gpus for amount in amounts),
    )


def measure_work(
    size: tuple[int, int, int], duration_ms: float, count: int = 1
) -> Amount:
    """Return the work of tasks of one size that take this long."""
    return Amount(*size).scale(count * duration_ms)


def measure_share(amount: Amount, whole: Amount) -> float:
    """Return the greatest share over the dimensions; a whole below 1 counts as 1."""
    return max(
        amount.cpu / max(1, whole.cpu),
        amount.memory_mb / max(1, whole.memory_mb),
        amount.gpus / max(1, whole.gpus),
    )
