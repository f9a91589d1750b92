"""Messages between the nodes that own pools."""

from typing import Protocol

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec
from bergamotgap.domain.pool_sizes import IdleHost


class PeerCallError(Exception):
    """A call to a peer failed; `was_sent` tells whether it may have taken effect."""

    def __init__(self, reason: str, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class SubmitCall(msgspec.Struct, frozen=True, tag="submit"):
    """Accept a job into a pool."""

    pool: str
    spec: JobSpec


class StateCall(msgspec.Struct, frozen=True, tag="state"):
    """Tell the state of a job."""

    pool: str
    job_id: str


class CancelCall(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancel a job."""

    pool: str
    job_id: str


class CountWaitingCall(msgspec.Struct, frozen=True, tag="waiting"):
    """Count the waiting jobs of a queue."""

    pool: str
    queue: str


class DrainCall(msgspec.Struct, frozen=True, tag="vacate"):
    """Empty a worker within its tasks' limits; asked again until it is empty.

    Without `may_stop` only a worker that runs nothing is given away. With `stops_late`
    the runs of jobs end that can't be in time any more.
    """

    pool: str
    worker_id: str
    may_stop: bool
    stops_late: bool = False


class DemandCall(msgspec.Struct, frozen=True, tag="demand"):
    """Tell what a pool needs and has.

    `must_yield` tells that another pool lacks workers for work that can be in time.
    """

    pool: str
    must_yield: bool = False


class LogContactCall(msgspec.Struct, frozen=True, tag="contact"):
    """Tell when the log was last reached; `pool` is not used."""

    pool: str = ""


class AcceptedReply(msgspec.Struct, frozen=True, tag="accepted"):
    """The job lasts."""

    is_new: bool


class NotAcceptedReply(msgspec.Struct, frozen=True, tag="not_accepted"):
    """The job was not accepted and never runs; come back after `retry_ms`."""

    reason: str
    retry_ms: int


class StateReply(msgspec.Struct, frozen=True, tag="state_is"):
    """State of a job."""

    phase: JobPhase


class NoJobReply(msgspec.Struct, frozen=True, tag="no_job"):
    """No such job was accepted, as of this call."""


class CancelledReply(msgspec.Struct, frozen=True, tag="cancelled"):
    """The job has ended, and that lasts."""


class CountReply(msgspec.Struct, frozen=True, tag="count"):
    """Number of jobs."""

    count: int


class DrainReply(msgspec.Struct, frozen=True, tag="vacated"):
    """Tell whether the worker is empty and gets no work for a few seconds."""

    is_empty: bool


class DemandReply(msgspec.Struct, frozen=True, tag="demand_is"):
    """Cores in 1/1000: in use, offered each second, of the usable workers.

    `waiting_ms` is the work that waits and can be in time, in 1/1000 core-ms. `late_ms`
    waits beside it, `late_cpu` is the part in use by work that can't be in time, and
    `late` the workers that run nothing else. `least_workers` and `labels` are what
    waiting tasks need beside cores: workers to spread over, labels that none has.
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
    """Age of the last call that the log answered, in ms."""

    age_ms: int


class NotOwnerReply(msgspec.Struct, frozen=True, tag="not_owner"):
    """The receiver does not own the pool."""


class OwnershipUncertainReply(msgspec.Struct, frozen=True, tag="unsure"):
    """The receiver owns the pool but can't rule out a newer owner."""


PoolCall = (
    SubmitCall
    | StateCall
    | CancelCall
    | CountWaitingCall
    | DrainCall
    | DemandCall
    | LogContactCall
)
PoolReply = (
    AcceptedReply
    | NotAcceptedReply
    | StateReply
    | NoJobReply
    | CancelledReply
    | CountReply
    | DrainReply
    | DemandReply
    | LogContactReply
    | NotOwnerReply
    | OwnershipUncertainReply
)


class PoolPeerClient(Protocol):
    """Calls to the owners of pools."""

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        """Send a call to a peer; raises PeerCallError."""
