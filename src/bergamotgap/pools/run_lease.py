"""Lease of the runs on one worker, expressed in the worker's clock."""

from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import Lease

# A worker's monotonic clock may run slower than the local one by this share.
MAX_CLOCK_DRIFT = 0.02


class RunLease:
    """Choose the ends of leases, and bound when the last one given expires.

    `end_ms` is that bound on the local clock. `former_lease_ms` is how long leases
    given by a former owner may last from now on.
    """

    def __init__(
        self, token: int, duration_ms: int, former_lease_ms: int, clock: Clock
    ) -> None:
        self._token = token
        self._duration_ms = duration_ms
        self._clock = clock
        self._clock_reading: tuple[int, int] | None = None
        self._deadline_ms = 0
        self.end_ms = clock.monotonic_ms() + former_lease_ms

    @property
    def is_expired(self) -> bool:
        """Whether all leases given so far have expired."""
        return self._clock.monotonic_ms() >= self.end_ms

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record the worker's clock and the local time when it was received."""
        self._clock_reading = (clock_ms, now_ms)

    def forget_clock(self) -> None:
        """Forget the clock of a former incarnation of the worker."""
        self._clock_reading = None

    def limit_end(self, now_ms: int) -> None:
        """Limit the bound: no lease given so far lasts beyond `now_ms`."""
        self.end_ms = min(self.end_ms, now_ms)

    def build_lease(self, is_silent: bool, has_runs: bool) -> Lease:
        """Return the lease to send with an order or a poll."""
        if self._clock_reading is None:
            return Lease(self._token, 0)
        if is_silent:
            # An order without an answer may still be executed later. A silent worker's
            # lease is therefore not extended, or its runs could never count as ended.
            return Lease(self._token, self._deadline_ms)
        clock_ms, at_ms = self._clock_reading
        passed_ms = self._clock.monotonic_ms() - at_ms
        deadline_ms = int(
            clock_ms + passed_ms * (1 - MAX_CLOCK_DRIFT) + self._duration_ms
        )
        end_ms = at_ms + int((deadline_ms - clock_ms) / (1 - MAX_CLOCK_DRIFT)) + 1
        self.end_ms = max(self.end_ms, end_ms) if has_runs else end_ms
        self._deadline_ms = deadline_ms
        return Lease(self._token, deadline_ms)
