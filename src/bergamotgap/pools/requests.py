"""Callers' requests about jobs, answered through the owners of the pools."""

from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, JobSpec, Queue
from bergamotgap.domain.placement_explanation import PlacementExplanation
from bergamotgap.pools.job_lookup import IsStored
from bergamotgap.pools.job_table import QueueNotHeld, Stored
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.request_outcomes import (
    JobAccepted,
    JobCancelled,
    JobState,
    KeyRejected,
    NoReply,
    NoSuchJob,
    NotAccepted,
    OutcomeUnknown,
    RequestOutcome,
    WaitingCount,
)
from bergamotgap.ports.pool_peer import (
    AcceptedReply,
    CancelCall,
    CancelledReply,
    CapCall,
    CountWaitingCall,
    DemandCall,
    DrainCall,
    ExplainCall,
    ExplainReply,
    JobNotFoundReply,
    JobStateCall,
    JobStateReply,
    KeyRejectedReply,
    KeyUse,
    MaintenanceCall,
    NotAcceptedReply,
    NotOwnerReply,
    OwnershipUncertainReply,
    PeerCallError,
    PoolCall,
    PoolPeerClient,
    PoolReply,
    QueueNotHeldReply,
    QueuesReleasedReply,
    ReleaseQueuesCall,
    SubmitCall,
    WaitingCountReply,
)

# A call that failed is repeated at this interval, to the owner or its successor.
RETRY_MS = 100
# Time reserved for writing the answer before the caller's deadline.
ANSWER_MARGIN_MS = 150
# Longest wait for an owner's answer; longer than a hand-over of a pool takes. If an
# owner stops responding, a successor takes a few seconds; the caller is told to retry
# then rather than kept waiting, unless the first owner may have accepted the change.
OWNER_WAIT_MS = 600
# Longest wait for one attempt, so that a successor is called soon after its claim.
CALL_TIMEOUT_MS = 600

log = get_logger(__name__)


class JobRequests:
    """Answer callers through the owners of the pools, which may be this node."""

    def __init__(
        self,
        pools: Mapping[str, Pool],
        get_owner: Callable[[str], str | None],
        get_config: Callable[[], FleetConfig | None],
        own_address: str,
        peers: PoolPeerClient,
        is_stored: IsStored,
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._get_owner = get_owner
        self._get_config = get_config
        self._own_address = own_address
        self._peers = peers
        self._is_stored = is_stored
        self._clock = clock

    async def submit(
        self, spec: JobSpec, queue: Queue, wait_ms: int, key: KeyUse | None = None
    ) -> RequestOutcome:
        """Submit a job to the pool of its queue and wait `wait_ms` at most.

        The pool of a queue may change meanwhile, in this node's configuration or first
        in that of the pool's owner.
        """
        started_ms = self._clock.monotonic_ms()
        while True:
            call = SubmitCall(queue.service, spec, key)
            passed_ms = self._clock.monotonic_ms() - started_ms
            reply = await self.call_owner(call, wait_ms - passed_ms, spec.job_id)
            is_settled = not isinstance(reply, QueueNotHeldReply)
            if is_settled or passed_ms + RETRY_MS > OWNER_WAIT_MS:
                break
            await self._clock.sleep_ms(RETRY_MS)
            config = self._get_config()
            queue = (config.get_queue(queue.name) if config else None) or queue
        match reply:
            case AcceptedReply():
                return JobAccepted()
            case KeyRejectedReply():
                return KeyRejected()
            case NotAcceptedReply():
                return NotAccepted(reply.reason, reply.retry_ms)
            case NoReply(was_sent=False):
                return await self._look_up_job(spec.job_id, queue, reply.reason)
        return _build_outcome_unknown(reply)

    async def _look_up_job(
        self, job_id: str, queue: Queue, reason: str
    ) -> RequestOutcome:
        """Look up in the log a job whose submission was sent to no owner.

        An earlier attempt of the caller may have been accepted, so only the log can
        prove that the job does not exist.
        """
        is_stored = await self._is_stored(queue, job_id)
        log.info(
            "job looked up in the log",
            job=job_id,
            pool=queue.service,
            is_stored=is_stored,
        )
        if is_stored is None:
            return OutcomeUnknown(reason)
        return JobAccepted() if is_stored else NotAccepted(reason)

    async def get_state(
        self, job_id: str, queue: Queue, wait_ms: int, key: KeyUse | None = None
    ) -> RequestOutcome:
        """Return a job's state.

        The result is NoSuchJob only if the owner of each pool replied that it holds no
        such job.
        """
        for pool in self._list_candidate_pools(queue):
            reply = await self.call_owner(
                JobStateCall(pool, job_id, key), wait_ms, job_id
            )
            if isinstance(reply, JobStateReply):
                return JobState(reply.phase)
            if isinstance(reply, KeyRejectedReply):
                return KeyRejected()
            if not isinstance(reply, JobNotFoundReply):
                return _build_outcome_unknown(reply)
        return NoSuchJob()

    async def cancel(
        self, job_id: str, queue: Queue, wait_ms: int, key: KeyUse | None = None
    ) -> RequestOutcome:
        """Cancel a job in whichever pool holds it."""
        for pool in self._list_candidate_pools(queue):
            reply = await self.call_owner(
                CancelCall(pool, job_id, key), wait_ms, job_id
            )
            if isinstance(reply, CancelledReply):
                return JobCancelled()
            if isinstance(reply, KeyRejectedReply):
                return KeyRejected()
            if not isinstance(reply, JobNotFoundReply):
                return _build_outcome_unknown(reply)
        return NoSuchJob()

    async def count_waiting_jobs(self, queue: Queue, wait_ms: int) -> RequestOutcome:
        """Return the number of a queue's waiting jobs, wherever they were accepted."""
        count, pools = 0, [queue.service]
        for pool in pools:
            call = CountWaitingCall(pool, queue.name)
            reply = await self.call_owner(call, wait_ms, "")
            if not isinstance(reply, WaitingCountReply):
                return _build_outcome_unknown(reply)
            count += reply.count
            if pool == queue.service:
                pools += reply.others
        return WaitingCount(count)

    async def explain(
        self, spec: JobSpec, queue: Queue, wait_ms: int, key: KeyUse | None = None
    ) -> PlacementExplanation | KeyRejected | OutcomeUnknown:
        """Return what would become of a job if it were submitted now."""
        call = ExplainCall(queue.service, spec, key)
        reply = await self.call_owner(call, wait_ms, spec.job_id)
        if isinstance(reply, ExplainReply):
            return reply.explanation
        if isinstance(reply, KeyRejectedReply):
            return KeyRejected()
        return _build_outcome_unknown(reply)

    def _list_candidate_pools(self, queue: Queue) -> list[str]:
        # Older jobs of a queue may be in the pool that it was configured with then.
        config = self._get_config()
        others = config.list_other_pools(queue.service) if config else ()
        return [queue.service, *others]

    async def call_owner(
        self, call: PoolCall, wait_ms: int, job_id: str
    ) -> PoolReply | NoReply:
        """Call the owner of the call's pool; return its reply or a NoReply.

        A change that an owner may have received is repeated until shortly before the
        caller's deadline, since only the owner or its successor can tell its outcome.
        """
        last_ms = self._clock.monotonic_ms() + wait_ms - ANSWER_MARGIN_MS
        until_ms = min(last_ms, self._clock.monotonic_ms() + OWNER_WAIT_MS)
        reason, was_sent = "no_owner", False
        while True:
            left_ms = until_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                # Explanations of a job's outcome take this line for a failed request.
                if not isinstance(call, ExplainCall):
                    log.warning(
                        "no answer from the pool's owner",
                        job=job_id,
                        pool=call.pool,
                        reason=reason,
                    )
                return NoReply(reason, was_sent)
            owner = self._get_owner(call.pool)
            if owner is not None:
                try:
                    reply = await self._call_owner_once(owner, call, int(left_ms))
                except PeerCallError as error:
                    reason, was_sent = str(error), was_sent or error.was_sent
                    if was_sent and isinstance(call, SubmitCall | CancelCall):
                        until_ms = last_ms
                else:
                    if was_sent and _is_refused_change(call, reply):
                        # An earlier attempt may arrive late and be accepted.
                        return NoReply(reason, was_sent)
                    if not isinstance(reply, NotOwnerReply):
                        return reply
                    reason = "not_owner"
            await self._clock.sleep_ms(RETRY_MS)

    async def _call_owner_once(
        self, owner: str, call: PoolCall, left_ms: int
    ) -> PoolReply:
        if owner == self._own_address:
            return await self.answer_call(call)
        return await self._peers.call(owner, call, min(left_ms, CALL_TIMEOUT_MS))

    async def answer_call(self, call: PoolCall) -> PoolReply:
        """Answer a call if this node owns its pool, else with NotOwnerReply."""
        pool = self._pools.get(call.pool)
        if pool is None:
            return NotOwnerReply()
        if self._is_key_withdrawn(call):
            return KeyRejectedReply()
        if isinstance(call, ExplainCall):
            return ExplainReply(pool.explain(call.spec))
        return await _answer_caller(pool, call) or await _answer_fleet(pool, call)

    def _is_key_withdrawn(self, call: PoolCall) -> bool:
        """Return whether this node's configuration is newer and lacks the call's key.

        An entry host that is cut off from the log goes on with the keys that it knew.
        """
        keyed = SubmitCall | JobStateCall | CancelCall | ExplainCall
        if not isinstance(call, keyed):
            return False
        config, key = self._get_config(), call.key
        if key is None or config is None or config.customers is None:
            return False
        if config.version <= key.config_version:
            return False
        customer = config.customers.find_by_digest(key.digest)
        is_of_job = not isinstance(call, SubmitCall | ExplainCall) or (
            customer is not None and customer.name == call.spec.customer
        )
        if customer is not None and is_of_job:
            return False
        if isinstance(call, ExplainCall):
            # Nobody sent the job, so no call is rejected.
            return True
        log.warning(
            "key rejected",
            pool=call.pool,
            version=config.version,
            sender_version=key.config_version,
            reason="withdrawn",
        )
        return True


async def _answer_caller(pool: Pool, call: PoolCall) -> PoolReply | None:
    """Answer a caller's request; return None for calls of other kinds."""
    match call:
        case SubmitCall():
            outcome = await pool.submit(call.spec)
            if isinstance(outcome, Stored):
                return AcceptedReply(outcome.is_new)
            if isinstance(outcome, QueueNotHeld):
                return QueueNotHeldReply()
            return NotAcceptedReply(outcome.reason, outcome.retry_ms)
        case JobStateCall():
            phase = pool.job_table.get_durable_phase(call.job_id)
            return JobStateReply(phase) if phase else await _reply_job_not_found(pool)
        case CancelCall():
            is_known = await pool.cancel(call.job_id)
            return CancelledReply() if is_known else await _reply_job_not_found(pool)
        case CountWaitingCall():
            return WaitingCountReply(
                pool.job_table.count_waiting_jobs(call.queue),
                pool.queue_holdings.list_other_pools(call.queue),
            )
    return None


async def _answer_fleet(pool: Pool, call: PoolCall) -> PoolReply:
    """Answer a call of another owner or of the host controller."""
    match call:
        case ReleaseQueuesCall():
            return QueuesReleasedReply(
                await pool.queue_holdings.release(call.queues, call.config_version)
            )
        case DrainCall():
            return pool.drain_worker(
                call.worker_id,
                call.may_stop,
                call.stops_late,
                call.absent,
                call.host,
            )
        case MaintenanceCall():
            return pool.prepare_maintenance(call)
        case DemandCall():
            pool.admission_check.record_hosts(call.arriving_cpu, call.free_cpu)
            return pool.measure_demand(call.must_yield, call.has_spare_host)
        case CapCall():
            return pool.customer_usage.answer(call)
    return NotOwnerReply()


def _is_refused_change(call: PoolCall, reply: PoolReply) -> bool:
    is_refusal = isinstance(reply, NotAcceptedReply | KeyRejectedReply)
    return isinstance(call, SubmitCall | CancelCall) and is_refusal


def _build_outcome_unknown(reply: PoolReply | NoReply) -> OutcomeUnknown:
    return OutcomeUnknown(reply.reason if isinstance(reply, NoReply) else "unsure")


async def _reply_job_not_found(
    pool: Pool,
) -> JobNotFoundReply | OwnershipUncertainReply:
    """Return JobNotFoundReply only if no newer owner can hold the job."""
    return (
        JobNotFoundReply()
        if await pool.confirm_ownership()
        else OwnershipUncertainReply()
    )
