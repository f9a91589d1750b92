"""What holds for one life of a worker only: its clock, lease and numbers of ends."""

import dataclasses

from bergamotgap.pools.run_lease import ClockReading, LeaseBound, RunLease
from bergamotgap.ports.fleet import Lease


class WorkerLife:
    """The life of a worker that answers; `incarnation_ms` is 0 until it does.

    A worker that starts again under its id counts its ends and its time anew. So an
    owner that has heard nothing for a while, or got no answer, renews no lease and
    acknowledges no end before a poll shows the life.
    """

    def __init__(self, lease: RunLease) -> None:
        self._lease = lease
        self._is_doubtful = False
        self._acked_end_sequence = 0
        self.incarnation_ms = 0
        self.last_end_sequence = 0
        # How many lives began so far.
        self.number = 0

    @property
    def is_known(self) -> bool:
        """Whether the last poll was answered, and lately."""
        return self._lease.is_clock_known and not self._is_doubtful

    @property
    def may_get_start(self) -> bool:
        """Whether a start can be sent with a lease in the clock of this life.

        A worker that was busy when it fell silent may still get starts that were queued
        for it, with the lease that it has.
        """
        return self.is_known or (self._is_doubtful and self._lease.is_in_force)

    @property
    def are_leases_expired(self) -> bool:
        """Whether all leases given so far have expired."""
        return self._lease.is_expired

    @property
    def lease_bound(self) -> LeaseBound:
        """The bound of all leases given so far."""
        return self._lease.bound

    @property
    def misread_end_ms(self) -> int:
        """When a lease given in the clock of a former life ends; 0 if there is none."""
        return self._lease.misread_end_ms

    @property
    def deadline_end_ms(self) -> int:
        """When the last lease given in the clock of this life ends; 0 without one."""
        return self._lease.deadline_end_ms

    @property
    def clock_reading(self) -> ClockReading | None:
        """The clock that the last poll of this life showed; None before one did."""
        return self._lease.clock_reading

    @property
    def has_unacked_ends(self) -> bool:
        """Whether ends were read that are not acknowledged yet."""
        return self.last_end_sequence != self._acked_end_sequence

    @property
    def acked_end_sequence(self) -> int:
        """Number up to which ends are acknowledged; 0 while the life is not known."""
        return self._acked_end_sequence if self.is_known else 0

    def begin(self, incarnation_ms: int) -> None:
        """Begin another life of the worker."""
        self._lease.begin_life()
        self._acked_end_sequence = self.last_end_sequence = 0
        self.incarnation_ms = incarnation_ms
        self.number += 1

    def record_misread(self) -> None:
        """Record that an order meant for a former life may have reached this one."""
        self._lease.record_misread()

    def doubt(self) -> None:
        """Record that an order got no answer."""
        self._is_doubtful = True

    def confirm(self, incarnation_ms: int, clock_ms: int, now_ms: int) -> None:
        """Record the life and the clock that a poll showed."""
        # What answered before, since the last life was known, may have been another.
        self.number += incarnation_ms != self.incarnation_ms
        self.incarnation_ms = incarnation_ms
        self._is_doubtful = False
        self._lease.record_clock(clock_ms, now_ms)

    def end(self, now_ms: int) -> None:
        """Record that the life has ended, and all leases with it."""
        self._lease.limit_end(now_ms)

    def build_start_lease(self) -> Lease:
        """Return the lease to send with a start."""
        return self._bind(self._lease.build_lease(self._is_doubtful, has_runs=True))

    def build_poll_lease(self, has_runs: bool) -> Lease:
        """Return the lease to send with a poll."""
        if not self.is_known:
            return self._lease.build_empty_lease()
        return self._bind(self._lease.build_lease(is_silent=False, has_runs=has_runs))

    def _bind(self, lease: Lease) -> Lease:
        """Return a lease that only this life may receive."""
        return dataclasses.replace(lease, life_ms=self.incarnation_ms)

    def ack_ends(self) -> None:
        """Acknowledge all ends read so far."""
        self._acked_end_sequence = self.last_end_sequence
