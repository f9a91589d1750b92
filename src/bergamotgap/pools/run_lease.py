"""The lease of what runs on one worker, told by the worker's clock."""

from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import Lease

# A worker's steady clock may be this much slower than ours.
MAX_CLOCK_DRIFT = 0.02


class RunLease:
    """Choose the ends of leases, and bound when the last one given is over.

    `end_ms` is of our clock; `former_ms` is how long a former owner's leases may last
    from now on.
    """

    def __init__(
        self, token: int, duration_ms: int, former_ms: int, clock: Clock
    ) -> None:
        self._token = token
        self._duration_ms = duration_ms
        self._clock = clock
        self._heard: tuple[int, int] | None = None
        self._deadline_ms = 0
        self.end_ms = clock.monotonic_ms() + former_ms

    @property
    def is_expired(self) -> bool:
        """Tell whether no lease can last any more."""
        return self._clock.monotonic_ms() >= self.end_ms

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take over what the worker's clock showed."""
        self._heard = (clock_ms, now_ms)

    def forget_clock(self) -> None:
        """Forget the clock of a former life."""
        self._heard = None

    def limit_end(self, now_ms: int) -> None:
        """Note that nothing given before can last beyond a time."""
        self.end_ms = min(self.end_ms, now_ms)

    def build_lease(self, is_silent: bool, has_runs: bool) -> Lease:
        """Return the lease to send with an order or a look."""
        if self._heard is None:
            return Lease(self._token, 0)
        if is_silent:
            # Each order that is sent may be executed later, so a silent worker's lease
            # must not be extended, or its runs could never be taken for ended.
            return Lease(self._token, self._deadline_ms)
        clock_ms, at_ms = self._heard
        passed_ms = self._clock.monotonic_ms() - at_ms
        deadline_ms = int(
            clock_ms + passed_ms * (1 - MAX_CLOCK_DRIFT) + self._duration_ms
        )
        end_ms = at_ms + int((deadline_ms - clock_ms) / (1 - MAX_CLOCK_DRIFT)) + 1
        self.end_ms = max(self.end_ms, end_ms) if has_runs else end_ms
        self._deadline_ms = deadline_ms
        return Lease(self._token, deadline_ms)
