"""Dispatch of idempotent requests to workers, with retries on other hosts."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import Expired, Failed, NotRun, Outcome, Unknown
from bergamotgap.domain.retries import NOT_STARTED_CODES, RetryBudget, RetryPlan
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.placement import Placement, Placer
from bergamotgap.node.task_resolution import ResolvedState, TaskResolver
from bergamotgap.ports.worker import (
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    WorkerAnswer,
    WorkerClient,
    WorkerError,
    WorkerUnreachableError,
)

# A connection to a worker without any progress for this long counts as lost.
PROGRESS_TIMEOUT_MS = 5000
MIN_PROGRESS_TIMEOUT_MS = 50
# Answers up to this size are buffered completely before the first byte is sent to the
# caller, so that a truncated one can still be fetched again or its request retried.
MAX_BUFFERED_BYTES = 64 * 1024
MAX_REASON_CHARS = 500
RETRY_AFTER_MS = 1000
# Fetching a result may take at least this long, even past the request's deadline.
MIN_FETCH_TIMEOUT_MS = 1000

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer, complete in `head` unless there is a `rest` to stream.

    `size` is the total length in bytes, if known. Iterating over `rest` raises
    TaskFateUnknownError if the answer is truncated.
    """

    size: int | None
    head: bytes
    rest: AsyncIterator[bytes] | None = None


@dataclass(frozen=True, slots=True)
class _Request(Generic[T]):
    """A request that is being dispatched, with its retry plan."""

    entry: Entry
    body: bytes
    deadline_at_ms: int
    plan: RetryPlan
    send: Callable[[Answer], Awaitable[T]]


@dataclass(frozen=True, slots=True)
class _SendResult(Generic[T]):
    """The return value of `send` for an answer that was streamed to the caller."""

    result: T


class RequestEndedError(Exception):
    """The request ended without an answer; `outcome` is reported to the caller."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.tag)
        self.outcome = outcome


class _AttemptError(Exception):
    """An attempt ended without an answer.

    `outcome` is reported to the caller unless a later attempt decides the outcome.
    """

    def __init__(
        self, host: str, code: str, outcome: Outcome, has_started: bool
    ) -> None:
        super().__init__(code)
        self.host = host
        self.code = code
        self.outcome = outcome
        self.has_started = has_started


class Dispatcher:
    """Runs idempotent requests on workers."""

    def __init__(
        self,
        placer: Placer,
        client: WorkerClient,
        clock: Clock,
        progress_timeout_ms: int = PROGRESS_TIMEOUT_MS,
        rng: random.Random | None = None,
    ) -> None:
        self._placer = placer
        self._client = client
        self._clock = clock
        self._progress_timeout_ms = progress_timeout_ms
        self._rng = rng or random.Random()
        self._budget = RetryBudget()
        self._resolver = TaskResolver(client, clock, self._rng)

    async def close(self) -> None:
        """Wait until the cancellations in progress have ended."""
        await self._resolver.close()

    async def run(
        self,
        entry: Entry,
        body: bytes,
        deadline_at_ms: int,
        send: Callable[[Answer], Awaitable[T]],
    ) -> T:
        """Run a request, pass its answer to `send` and return the result of `send`.

        An answer larger than the buffer is streamed while the slot and the connection
        to the worker are held. `deadline_at_ms` is monotonic. Raises RequestEndedError.
        Cancelling this call removes the request from its queue or cancels its task on
        the worker.
        """
        if not entry.idempotent:
            raise ValueError(f"entry {entry.name} is not idempotent")
        self._budget.record_request(entry.name)
        plan = RetryPlan(entry, deadline_at_ms, self._budget, self._rng)
        request = _Request(entry, body, deadline_at_ms, plan, send)
        avoid: frozenset[str] = frozenset()
        last_outcome: Outcome | None = None
        while True:
            try:
                answer = await self._run_attempt(request, avoid)
            except NotAdmittedError as error:
                # An earlier attempt may have run, so its outcome is reported instead of
                # the later refusal.
                raise RequestEndedError(last_outcome or error.outcome) from error
            except _AttemptError as error:
                last_outcome = await self._wait_for_retry(plan, error, last_outcome)
                avoid |= {error.host}
            else:
                break
        return answer.result if isinstance(answer, _SendResult) else await send(answer)

    async def _wait_for_retry(
        self, plan: RetryPlan, error: _AttemptError, last_outcome: Outcome | None
    ) -> Outcome | None:
        """Wait before the next attempt, or raise RequestEndedError if there is none.

        Returns the outcome to report if no later attempt starts.
        """
        now_ms = self._clock.monotonic_ms()
        if error.has_started:
            last_outcome = error.outcome
            wait_ms = plan.next_wait_after_failure(now_ms)
        else:
            wait_ms = plan.next_wait_after_refusal(now_ms)
        if wait_ms is None:
            raise RequestEndedError(last_outcome or error.outcome) from error
        await self._clock.sleep_ms(wait_ms)
        return last_outcome

    async def _run_attempt(
        self, request: _Request[T], avoid: frozenset[str]
    ) -> Answer | _SendResult[T]:
        """Run the request on one worker; raises NotAdmittedError or _AttemptError."""
        deadline_at_ms = request.deadline_at_ms
        placing = self._placer.place(request.entry, deadline_at_ms, avoid)
        async with placing as placement:
            order = build_order(
                request.entry,
                placement,
                request.body,
                max(1, deadline_at_ms - self._clock.monotonic_ms()),
                start_before_ms=placement.to_worker_time_ms(deadline_at_ms),
            )
            try:
                return await self._run_order(request, placement, order)
            except _AttemptError:
                raise
            except BaseException:
                # Nothing waits for the task any more, for example because its caller
                # disconnected.
                self._resolver.cancel_in_background(placement.address, order.task)
                raise

    async def _run_order(
        self, request: _Request[T], placement: Placement, order: TaskOrder
    ) -> Answer | _SendResult[T]:
        entry, host = request.entry, placement.host
        progress_timeout_ms = self._compute_progress_timeout_ms(order)
        received: Answer | None = None
        try:
            async with self._client.run(
                placement.address, order, progress_timeout_ms
            ) as answer:
                received = await self._read_head(answer, request.deadline_at_ms)
                self._placer.record_answer(host, answer.busy, answer.boot_id)
                if answer.is_failure:
                    reason = received.head.decode(errors="replace")[:MAX_REASON_CHARS]
                    raise self._record_failure(
                        entry, placement, "failed", Failed(reason)
                    )
                run_ms = placement.measure_run_ms(self._clock.monotonic_ms())
                self._placer.record_success(entry, host, run_ms)
                # A complete answer is sent after the slot and connection are released.
                return (
                    received
                    if received.rest is None
                    else _SendResult(await request.send(received))
                )
        except TaskRefusedError as error:
            self._handle_refusal(entry, placement, error)
        except WorkerUnreachableError as error:
            self._placer.record_failure(entry, host, "unreachable")
            raise _build_not_started_error(placement, "unreachable") from error
        except TaskFateUnknownError:
            if received is not None:
                # The caller has already received a part, so no retry is possible.
                self._placer.record_failure(entry, host, "cut_short")
                raise
        return await self._recover_answer(request, placement, order)

    async def _read_head(self, answer: WorkerAnswer, until_ms: int) -> Answer:
        """Read an answer until it is complete or fills the buffer."""
        head = await answer.read(MAX_BUFFERED_BYTES)
        while not answer.is_complete and len(head) < MAX_BUFFERED_BYTES:
            if self._clock.monotonic_ms() > until_ms:
                raise TaskFateUnknownError("the answer arrives too slowly")
            head += await answer.read(MAX_BUFFERED_BYTES)
        if answer.is_complete:
            return Answer(len(head), head)
        return Answer(answer.size, head, answer.chunks())

    def _compute_progress_timeout_ms(self, order: TaskOrder) -> int:
        # At most half of the remaining time. If the connection stalls, the other half
        # is left to query the task's end and fetch its result.
        return min(
            self._progress_timeout_ms, max(MIN_PROGRESS_TIMEOUT_MS, order.lease_ms // 2)
        )

    def _handle_refusal(
        self, entry: Entry, placement: Placement, error: TaskRefusedError
    ) -> None:
        """Raise _AttemptError if the refusal proves that the task has not started."""
        self._placer.record_answer(placement.host, error.busy, error.boot_id)
        if error.code in NOT_STARTED_CODES:
            self._placer.record_failure(entry, placement.host, error.code)
            raise _build_not_started_error(placement, error.code) from error

    async def _recover_answer(
        self,
        request: _Request[T],
        placement: Placement,
        order: TaskOrder,
    ) -> Answer | _SendResult[T]:
        """Find out how a task ended whose answer was lost, and fetch its result.

        Raises _AttemptError if there is no result.
        """
        entry, address = request.entry, placement.address
        state = await self._resolver.resolve(
            address, order.task, placement.boot_id, request.deadline_at_ms
        )
        if state is ResolvedState.DONE:
            return await self._fetch_result(request, placement, order)
        if state is ResolvedState.NOT_STARTED:
            self._placer.record_failure(entry, placement.host, "lost")
            raise _build_not_started_error(placement, "worker_lost_order")
        if state in (ResolvedState.FAILED, ResolvedState.STOPPED):
            raise self._record_failure(
                entry, placement, state, Failed(f"the task {state}")
            )
        self._resolver.cancel_in_background(address, order.task)
        reason = "the worker can't tell how the task ended"
        if state is ResolvedState.RUNNING:
            reason = "the task was still running at the deadline"
        raise self._record_failure(entry, placement, "lost", Unknown(reason))

    async def _fetch_result(
        self,
        request: _Request[T],
        placement: Placement,
        order: TaskOrder,
    ) -> Answer | _SendResult[T]:
        """Fetch the result of a finished task; raises _AttemptError."""
        now_ms = self._clock.monotonic_ms()
        until_ms = max(request.deadline_at_ms, now_ms + MIN_FETCH_TIMEOUT_MS)
        received: Answer | None = None
        try:
            async with self._client.fetch_result(
                placement.address, order.task
            ) as answer:
                received = await self._read_head(answer, until_ms)
                # The run time is unknown, since the answer with its end was lost.
                self._placer.record_success(request.entry, placement.host, None)
                return (
                    received
                    if received.rest is None
                    else _SendResult(await request.send(received))
                )
        except WorkerError as error:
            if received is not None:
                raise
            lost = Unknown("the task ran, but its result can't be fetched")
            raise self._record_failure(
                request.entry, placement, "result_lost", lost
            ) from error

    def _record_failure(
        self, entry: Entry, placement: Placement, code: str, outcome: Outcome
    ) -> _AttemptError:
        self._placer.record_failure(entry, placement.host, code)
        return _AttemptError(placement.host, code, outcome, has_started=True)


def _build_not_started_error(placement: Placement, code: str) -> _AttemptError:
    outcome: Outcome = Expired() if code == "too_late" else _build_refused_outcome(code)
    return _AttemptError(placement.host, code, outcome, has_started=False)


def _build_refused_outcome(code: str) -> NotRun:
    return NotRun(code, "workers refused the task before its start", RETRY_AFTER_MS)


def build_order(
    entry: Entry,
    placement: Placement,
    body: bytes,
    lease_ms: int,
    start_before_ms: int | None = None,
) -> TaskOrder:
    """Return the order that starts the task of a placement."""
    return TaskOrder(
        task=placement.task,
        entry=entry.name,
        urgency=entry.urgency,
        epoch=placement.epoch,
        boot_id=placement.boot_id,
        start_before_ms=start_before_ms,
        lease_ms=lease_ms,
        cpus=entry.cpus,
        memory_mb=entry.memory_mb,
        accelerators=entry.accelerators,
        body=body,
    )
