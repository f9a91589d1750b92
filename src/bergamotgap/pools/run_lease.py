"""Lease of the runs on one worker, expressed in the worker's clock."""

from dataclasses import dataclass

from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import Lease

# A worker's monotonic clock may run slower than the local one by this share.
MAX_CLOCK_DRIFT = 0.02
# A reading of a worker's clock counts for this time. Busy workers are polled more
# often, and a worker that was not heard of for longer may have restarted.
CLOCK_TTL_MS = 2000
# Longest time from a reading on the worker until its receipt: a poll's whole call.
READING_DELAY_MS = 1500


def measure_longest_ms(lease_ms: int) -> int:
    """Return how long a lease of `lease_ms` may last by the local clock."""
    return int(lease_ms / (1 - MAX_CLOCK_DRIFT)) + 1


@dataclass(frozen=True)
class ClockReading:
    """A worker's clock, and the local time when it was received (monotonic), in ms."""

    clock_ms: int
    at_ms: int

    def is_followed_by(self, clock_ms: int, now_ms: int) -> bool:
        """Return whether a later answer, received at `now_ms`, is of the same life.

        The clock of another life begins anywhere, and is in this range only by chance.
        Of a life that is younger than the time passed, nothing is known.
        """
        passed_ms = now_ms - self.at_ms + READING_DELAY_MS
        longest_ms = int(passed_ms * (1 + MAX_CLOCK_DRIFT)) + 1
        return longest_ms < self.clock_ms <= clock_ms <= self.clock_ms + longest_ms


@dataclass(frozen=True)
class LeaseBound:
    """The local time in ms after which no lease lasts, and what it follows from."""

    name: str
    end_ms: int


class RunLease:
    """Choose the ends of leases, and bound when the last one given expires.

    `end_ms` is that bound on the local clock. `former_lease_ms` is how long leases
    given by a former owner may last from now on, and `longest_ms` the longest lease
    that a worker grants whatever an order says.
    """

    def __init__(
        self,
        token: int,
        duration_ms: int,
        longest_ms: int,
        former_lease_ms: int,
        clock: Clock,
    ) -> None:
        self._token = token
        self._duration_ms = duration_ms
        self._longest_ms = longest_ms
        self._clock = clock
        self.clock_reading: ClockReading | None = None
        # End of the last lease given, on the worker's clock and on the local one.
        self._deadline_ms = self._deadline_end_ms = 0
        # Until then, a lease given in the clock of a former life may last.
        self._misread_end_ms = 0
        self.end_ms = self._former_end_ms = clock.monotonic_ms() + former_lease_ms
        # When the life was seen to have ended; -1 before.
        self._limit_ms = -1

    @property
    def bound(self) -> LeaseBound:
        """The latest of the bounds of all leases given so far."""
        end_ms = max(self.end_ms, self._misread_end_ms)
        if end_ms == self._limit_ms:
            return LeaseBound("life_ended", end_ms)
        if end_ms > self.end_ms:
            return LeaseBound("misread", end_ms)
        is_former = self.end_ms == self._former_end_ms
        return LeaseBound("former_owner" if is_former else "lease", self.end_ms)

    @property
    def misread_end_ms(self) -> int:
        """When a lease given in the clock of a former life ends; 0 if there is none."""
        return self._misread_end_ms

    @property
    def deadline_end_ms(self) -> int:
        """When the last lease given in the clock of this life ends; 0 without one."""
        return self._deadline_end_ms

    @property
    def is_expired(self) -> bool:
        """Whether all leases given so far have expired."""
        return self._clock.monotonic_ms() >= max(self.end_ms, self._misread_end_ms)

    @property
    def is_in_force(self) -> bool:
        """Whether the last lease given in the clock of this life has not expired."""
        return self._clock.monotonic_ms() < self._deadline_end_ms

    @property
    def is_clock_known(self) -> bool:
        """Whether the worker's clock was read lately enough to be that of its life.

        In the clock of a former life, the end of a lease lies far ahead for the new
        one, which then holds the longest lease.
        """
        if self.clock_reading is None:
            return False
        age_ms = self._clock.monotonic_ms() - self.clock_reading.at_ms
        return age_ms < CLOCK_TTL_MS

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record the worker's clock and the local time when it was received."""
        self.clock_reading = ClockReading(clock_ms, now_ms)

    def begin_life(self) -> None:
        """Forget the clock of a former life.

        Orders with a lease in that clock may have reached the new life.
        """
        self.clock_reading = None
        self._deadline_ms = self._deadline_end_ms = 0
        self.record_misread()

    def record_misread(self) -> None:
        """Record that a lease in the clock of a former life may have been given now."""
        longest_ms = measure_longest_ms(self._longest_ms)
        self._misread_end_ms = self._clock.monotonic_ms() + longest_ms

    def limit_end(self, now_ms: int) -> None:
        """Limit the bound: no lease given so far lasts beyond `now_ms`."""
        self.end_ms = min(self.end_ms, now_ms)
        self._limit_ms = now_ms
        self._misread_end_ms = min(self._misread_end_ms, now_ms)

    def build_empty_lease(self) -> Lease:
        """Return a lease that renews nothing."""
        return Lease(self._token, 0)

    def build_lease(self, is_silent: bool, has_runs: bool) -> Lease:
        """Return the lease to send with an order or a poll.

        It renews nothing while the worker's clock is not known.
        """
        if is_silent:
            # An order without an answer may still be executed later. A silent worker's
            # lease is therefore not extended, or its runs could never count as ended.
            return Lease(self._token, self._deadline_ms if self.is_in_force else 0)
        if self.clock_reading is None or not self.is_clock_known:
            return self.build_empty_lease()
        clock_ms, at_ms = self.clock_reading.clock_ms, self.clock_reading.at_ms
        passed_ms = self._clock.monotonic_ms() - at_ms
        deadline_ms = int(
            clock_ms + passed_ms * (1 - MAX_CLOCK_DRIFT) + self._duration_ms
        )
        end_ms = at_ms + measure_longest_ms(deadline_ms - clock_ms)
        self.end_ms = max(self.end_ms, end_ms) if has_runs else end_ms
        self._deadline_ms, self._deadline_end_ms = deadline_ms, end_ms
        return Lease(self._token, deadline_ms)
