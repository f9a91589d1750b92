"""Messages between fleet nodes (`bergamotgap join`), and the protocol to send them.

Except for LogContactCall, they are sent to the node that owns the pool.
"""

from typing import Protocol

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec
from bergamotgap.domain.pool_sizes import IdleHost


class PeerCallError(Exception):
    """A call to a peer failed; it may have taken effect if `was_sent` is set."""

    def __init__(self, reason: str, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class KeyUse(msgspec.Struct, frozen=True, array_like=True):
    """Digest of a caller's key, and the configuration by which it was valid."""

    digest: str
    config_version: int


class SubmitCall(msgspec.Struct, frozen=True, tag="submit"):
    """Request to accept a job into a pool."""

    pool: str
    spec: JobSpec
    key: KeyUse | None = None


class JobStateCall(msgspec.Struct, frozen=True, tag="state"):
    """Request for the state of a job."""

    pool: str
    job_id: str
    key: KeyUse | None = None


class CancelCall(msgspec.Struct, frozen=True, tag="cancel"):
    """Request to cancel a job."""

    pool: str
    job_id: str
    key: KeyUse | None = None


class CountWaitingCall(msgspec.Struct, frozen=True, tag="waiting"):
    """Request for the number of waiting jobs in a queue."""

    pool: str
    queue: str


class DrainCall(msgspec.Struct, frozen=True, tag="vacate"):
    """Request to drain a worker within its tasks' limits; repeated until it is empty.

    Without `may_stop`, only a worker that runs nothing is released. With `stops_late`,
    runs of jobs that can no longer finish on time are stopped.
    """

    pool: str
    worker_id: str
    may_stop: bool
    stops_late: bool = False


class DemandCall(msgspec.Struct, frozen=True, tag="demand"):
    """Request for a pool's demand and capacity.

    `must_yield` is set when another pool lacks workers for work that can finish on
    time. In 1/1000 cores, `arriving_cpu` is on its way to the pool, None if the sender
    can't tell, and `free_cpu` is free in spare pools or idle in other pools.
    """

    pool: str
    must_yield: bool = False
    arriving_cpu: int | None = None
    free_cpu: int = 0


class LogContactCall(msgspec.Struct, frozen=True, tag="contact"):
    """Request for the time since the log last responded; `pool` is not used."""

    pool: str = ""


class AcceptedReply(msgspec.Struct, frozen=True, tag="accepted"):
    """The job is stored durably; `is_new` is false if it already was."""

    is_new: bool


class NotAcceptedReply(msgspec.Struct, frozen=True, tag="not_accepted"):
    """The job was not accepted and never runs; retry after `retry_ms`."""

    reason: str
    retry_ms: int


class KeyRejectedReply(msgspec.Struct, frozen=True, tag="key_rejected"):
    """A newer configuration than the sender's has withdrawn the caller's key."""


class JobStateReply(msgspec.Struct, frozen=True, tag="state_is"):
    """State of a job."""

    phase: JobPhase


class JobNotFoundReply(msgspec.Struct, frozen=True, tag="no_job"):
    """No such job had been accepted at the time of the call."""


class CancelledReply(msgspec.Struct, frozen=True, tag="cancelled"):
    """The job has ended, and its end is stored durably."""


class WaitingCountReply(msgspec.Struct, frozen=True, tag="count"):
    """Number of jobs."""

    count: int


class DrainReply(msgspec.Struct, frozen=True, tag="vacated"):
    """Whether the worker is empty; if so it gets no work for a few seconds."""

    is_empty: bool


class DemandReply(msgspec.Struct, frozen=True, tag="demand_is"):
    """Demand and capacity of a pool.

    In 1/1000 cores, `used_cpu` is in use, `offered_cpu` is the work submitted per
    second, and `capacity_cpu` is that of the usable workers. In 1/1000 core-ms,
    `waiting_ms` is the waiting work that can finish on time, and `late_ms` the waiting
    work that can't. `late_cpu` is the part of `used_cpu` taken by work that can't
    finish on time, and `late` the workers that run only such work. Waiting tasks need
    at least `least_workers` workers to spread over, and `labels` that no worker has.
    """

    used_cpu: int
    waiting_ms: float
    offered_cpu: float
    capacity_cpu: int
    workers: int
    idle: tuple[IdleHost, ...]
    late_ms: float = 0.0
    late_cpu: int = 0
    late: tuple[IdleHost, ...] = ()
    least_workers: int = 0
    labels: tuple[str, ...] = ()


class LogContactReply(msgspec.Struct, frozen=True, tag="contact_was"):
    """Time since the log last responded to the sender, in ms."""

    age_ms: int


class NotOwnerReply(msgspec.Struct, frozen=True, tag="not_owner"):
    """The node that was called does not own the pool."""


class OwnershipUncertainReply(msgspec.Struct, frozen=True, tag="unsure"):
    """The node that was called owns the pool but can't rule out a newer owner."""


PoolCall = (
    SubmitCall
    | JobStateCall
    | CancelCall
    | CountWaitingCall
    | DrainCall
    | DemandCall
    | LogContactCall
)
PoolReply = (
    AcceptedReply
    | NotAcceptedReply
    | KeyRejectedReply
    | JobStateReply
    | JobNotFoundReply
    | CancelledReply
    | WaitingCountReply
    | DrainReply
    | DemandReply
    | LogContactReply
    | NotOwnerReply
    | OwnershipUncertainReply
)


class PoolPeerClient(Protocol):
    """Client for the owners of pools."""

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        """Send a call to a peer and return its reply; raises PeerCallError."""
