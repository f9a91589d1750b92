"""Messages between fleet nodes (`bergamotgap join`), and the protocol to send them.

Except for LogContactCall, they are sent to the node that owns the pool.
"""

from typing import Protocol

import msgspec

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.customer_caps import CustomerUse
from bergamotgap.domain.fleet import NO_SIZE, JobPhase, JobSpec, Size
from bergamotgap.domain.maintenance_plan import WorkerLoad
from bergamotgap.domain.placement_explanation import PlacementExplanation
from bergamotgap.domain.pool_sizes import HostNeed, IdleHost


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
    runs of jobs that can no longer finish on time are stopped. `absent` names hosts of
    the pool that are not up. If the owner does not know the worker, what runs on `host`
    is drained.
    """

    pool: str
    worker_id: str
    may_stop: bool
    stops_late: bool = False
    absent: tuple[str, ...] = ()
    host: str = ""


class MaintenanceCall(msgspec.Struct, frozen=True, tag="upkeep_ahead"):
    """Notice of hosts that will have maintenance; repeated until it begins.

    `turns_ms` is the expected time until the maintenance of each host; hosts of other
    pools are included, since they may move. Their workers get no task that is expected
    to take longer than `longest_task_ms`. Long-running tasks move away from the hosts
    in `vacates`, within their limits and in the given order. `absent` names hosts of
    the pool that are not up.
    """

    pool: str
    turns_ms: dict[str, int]
    longest_task_ms: int = 0
    vacates: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()


class DemandCall(msgspec.Struct, frozen=True, tag="demand"):
    """Request for a pool's demand and capacity.

    `must_yield` is set when another pool lacks workers for work that can finish on
    time, `has_spare_host` when a host could be moved to the pool. In 1/1000 cores,
    `arriving_cpu` is on its way to the pool, None if the sender can't tell, and
    `free_cpu` is free in spare pools or idle in other pools.
    """

    pool: str
    must_yield: bool = False
    has_spare_host: bool = False
    arriving_cpu: int | None = None
    free_cpu: int = 0


class LogContactCall(msgspec.Struct, frozen=True, tag="contact"):
    """Request for the time since the log last responded; `pool` is not used."""

    pool: str = ""


class CapCall(msgspec.Struct, frozen=True, tag="cap"):
    """Grants of customers' caps to a pool by the coordinator with this token.

    `grants` are shares beyond the base share, for the owner with `owner_token` only;
    those not named are 0, and None leaves all as they are. A pool with a permit for a
    customer may exceed its share by one task.
    """

    pool: str
    token: int
    sequence: int
    owner_token: int = 0
    grants: dict[str, float] | None = None
    permits: tuple[str, ...] = ()


class ReleaseQueuesCall(msgspec.Struct, frozen=True, tag="release_queues"):
    """Request to accept no more jobs of queues that a configuration sends elsewhere.

    `config_version` is that of the sender's configuration.
    """

    pool: str
    queues: tuple[str, ...]
    config_version: int


class ExplainCall(msgspec.Struct, frozen=True, tag="explain"):
    """Request to tell what would become of a job; nothing is changed."""

    pool: str
    spec: JobSpec
    key: KeyUse | None = None


class AcceptedReply(msgspec.Struct, frozen=True, tag="accepted"):
    """The job is stored durably; `is_new` is false if it already was."""

    is_new: bool


class NotAcceptedReply(msgspec.Struct, frozen=True, tag="not_accepted"):
    """The job was not accepted and never runs; retry after `retry_ms`."""

    reason: str
    retry_ms: int


class QueueNotHeldReply(msgspec.Struct, frozen=True, tag="queue_not_held"):
    """The pool may not accept jobs of the queue, or not yet; nothing is known."""


class QueuesReleasedReply(msgspec.Struct, frozen=True, tag="queues_released"):
    """The ids of the pool's jobs by queue, for the queues that it has released."""

    jobs: dict[str, tuple[str, ...]]


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
    """Number of jobs in the pool; `others` are the pools that may have more."""

    count: int
    others: tuple[str, ...] = ()


class DrainReply(msgspec.Struct, frozen=True, tag="vacated"):
    """Whether the worker is empty; if so it gets no work for a few seconds."""

    is_empty: bool


class MaintenanceReply(msgspec.Struct, frozen=True, tag="upkeep_ahead_is"):
    """What the workers of the named hosts have to finish or give away."""

    loads: tuple[WorkerLoad, ...]


class DemandReply(msgspec.Struct, frozen=True, tag="demand_is"):
    """Demand and capacity of a pool.

    `used` is in use, `offered` is the work submitted per ms, and `capacity` is that of
    the usable workers. `waiting_work` is the waiting work that can finish on time, and
    `late_work` the waiting work that can't, as amounts in ms. `late_used` is the part
    of `used` taken by work that can't finish on time, and `late` the workers that run
    only such work. The pool keeps `least_workers` workers. `needs` are hosts for
    waiting tasks that can start on no worker, which are long-running, require a label
    or wait for a trial. Workers that such tasks will take aren't `idle`.

    None of these include the tasks that keep memory or accelerators until they are
    cancelled: `lasting` is what they take, with the room beside them that no other work
    can use, and `lasting_waiting` what those that wait will take. Waiting tasks that
    fit on no worker fill `whole_hosts`; the largest has `whole_size`.
    """

    used: Amount
    waiting_work: Amount
    offered: Amount
    capacity: Amount
    workers: int
    idle: tuple[IdleHost, ...]
    late_work: Amount = NOTHING
    late_used: Amount = NOTHING
    late: tuple[IdleHost, ...] = ()
    least_workers: int = 0
    lasting: Amount = NOTHING
    lasting_waiting: Amount = NOTHING
    whole_hosts: int = 0
    whole_size: Size = NO_SIZE
    needs: tuple[HostNeed, ...] = ()


class CapReply(msgspec.Struct, frozen=True, tag="cap_is"):
    """What an owner holds and uses of customers' caps, by customer.

    `token` and `sequence` are the highest that the owner has seen of a coordinator;
    `base` is the share of each cap that it uses without a grant.
    """

    owner_token: int
    token: int
    sequence: int
    base: float
    uses: dict[str, CustomerUse]


class ExplainReply(msgspec.Struct, frozen=True, tag="explained"):
    """What would become of the job if it were submitted now."""

    explanation: PlacementExplanation


class LogContactReply(msgspec.Struct, frozen=True, tag="contact_was"):
    """Time since the log last responded to the sender, in ms.

    `steady_ms` is for how long there has been no outage of the log for all nodes, as
    far as the sender knows.
    """

    age_ms: int
    steady_ms: int = 0


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
    | MaintenanceCall
    | DemandCall
    | LogContactCall
    | CapCall
    | ReleaseQueuesCall
    | ExplainCall
)
PoolReply = (
    AcceptedReply
    | NotAcceptedReply
    | QueueNotHeldReply
    | QueuesReleasedReply
    | KeyRejectedReply
    | JobStateReply
    | JobNotFoundReply
    | CancelledReply
    | WaitingCountReply
    | DrainReply
    | MaintenanceReply
    | DemandReply
    | LogContactReply
    | CapReply
    | ExplainReply
    | NotOwnerReply
    | OwnershipUncertainReply
)


class PoolPeerClient(Protocol):
    """Client for the owners of pools."""

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        """Send a call to a peer and return its reply; raises PeerCallError."""
