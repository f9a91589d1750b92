"""Carry one idempotent request from admission to the whole answer."""

import asyncio
import random
import secrets
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import Expired, Failed, NotRun, Outcome, Unknown
from bergamotgap.domain.retries import NOT_STARTED_CODES, RetryBudget, RetryPlan
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.placement import Placement, Placer
from bergamotgap.node.resolution import TaskEnd, TaskResolver
from bergamotgap.ports.worker import (
    TaskAnswer,
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    WorkerClient,
    WorkerError,
    WorkerUnreachableError,
)

PROGRESS_MS = 5000
MIN_PROGRESS_MS = 50
# Answers up to this size are complete before their first byte goes to the caller, so
# that one that is cut short can still be fetched or run again.
HELD_BYTES = 64 * 1024
MAX_REASON_CHARS = 500
RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer: `head` is all of it when there is no `rest`.

    `size` is the whole length in bytes, if known. `rest` raises TaskFateUnknownError
    when the answer is cut short.
    """

    size: int | None
    head: bytes
    rest: AsyncIterator[bytes] | None = None


class RequestEndedError(Exception):
    """The request ended without an answer."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.tag)
        self.outcome = outcome


class _AttemptError(Exception):
    """An attempt gave no answer; `outcome` is reported if there is no other."""

    def __init__(
        self, host: str, code: str, outcome: Outcome, has_started: bool
    ) -> None:
        super().__init__(code)
        self.host = host
        self.code = code
        self.outcome = outcome
        self.has_started = has_started


class Dispatcher:
    """Run idempotent requests on workers."""

    def __init__(
        self,
        placer: Placer,
        client: WorkerClient,
        clock: Clock,
        progress_ms: int = PROGRESS_MS,
        rng: random.Random | None = None,
    ) -> None:
        self._placer = placer
        self._client = client
        self._clock = clock
        self._progress_ms = progress_ms
        self._rng = rng or random.Random()
        self._budget = RetryBudget()
        self._resolver = TaskResolver(client, clock, self._rng)

    async def close(self) -> None:
        """Wait for cancellations in progress."""
        await self._resolver.close()

    @asynccontextmanager
    async def run(
        self, entry: Entry, body: bytes, deadline_at_ms: int
    ) -> AsyncIterator[Answer]:
        """Run a request and yield its answer, which may still be arriving.

        Raises RequestEndedError; `deadline_at_ms` is monotonic. Cancelling takes the
        request out of its queue or cancels its task at the worker.
        """
        if not entry.idempotent:
            raise ValueError(f"entry {entry.name} is not idempotent")
        self._budget.note_request(entry.name)
        plan = RetryPlan(entry, deadline_at_ms, self._budget, self._rng)
        async with AsyncExitStack() as stack:
            yield await self._open(stack, entry, body, deadline_at_ms, plan)

    async def _open(
        self,
        stack: AsyncExitStack,
        entry: Entry,
        body: bytes,
        deadline_at_ms: int,
        plan: RetryPlan,
    ) -> Answer:
        avoid: frozenset[str] = frozenset()
        last: Outcome | None = None
        while True:
            attempt = self._attempt(entry, body, deadline_at_ms, avoid)
            try:
                return await stack.enter_async_context(attempt)
            except NotAdmittedError as error:
                # A former attempt that may have run is told, not the refusal after it.
                raise RequestEndedError(last or error.outcome) from error
            except _AttemptError as error:
                last = await self._plan_next(plan, error, last)
                avoid |= {error.host}

    async def _plan_next(
        self, plan: RetryPlan, error: _AttemptError, last: Outcome | None
    ) -> Outcome | None:
        """Wait before the next attempt, or raise RequestEndedError.

        Returns the outcome to report if no later attempt may have run.
        """
        now_ms = self._clock.monotonic_ms()
        if error.has_started:
            last = error.outcome
            wait_ms = plan.after_failure(now_ms)
        else:
            wait_ms = plan.after_refusal(now_ms)
        if wait_ms is None:
            raise RequestEndedError(last or error.outcome) from error
        await self._clock.sleep_ms(wait_ms)
        return last

    @asynccontextmanager
    async def _attempt(
        self, entry: Entry, body: bytes, deadline_at_ms: int, avoid: frozenset[str]
    ) -> AsyncIterator[Answer]:
        async with (
            self._placer.place(entry, deadline_at_ms, avoid) as placement,
            AsyncExitStack() as stack,
        ):
            left_ms = max(1, deadline_at_ms - self._clock.monotonic_ms())
            start_before_ms = placement.translate_ms(deadline_at_ms)
            order = build_order(
                entry, placement, body, left_ms, start_before_ms=start_before_ms
            )
            try:
                yield await self._obtain(stack, entry, placement, order, deadline_at_ms)
            except _AttemptError:
                raise
            except TaskFateUnknownError:
                self._placer.note_failure(entry, placement.host, "cut_short")
                raise
            except BaseException:
                self._resolver.abandon(placement.address, order.task)
                raise

    async def _obtain(
        self,
        stack: AsyncExitStack,
        entry: Entry,
        placement: Placement,
        order: TaskOrder,
        deadline_at_ms: int,
    ) -> Answer:
        """Run the order and return the answer; raises _AttemptError."""
        started_ms = self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(order.lease_ms / 1000):
                answer = await stack.enter_async_context(
                    self._client.run(
                        placement.address, order, self._limit_progress_ms(order)
                    )
                )
                begun = await _begin(answer)
        except TaskRefusedError as error:
            self._note_refusal(entry, placement, error)
            begun = await self._recover(stack, entry, placement, order, deadline_at_ms)
        except WorkerUnreachableError as error:
            self._placer.note_failure(entry, placement.host, "unreachable")
            raise _not_started(placement, "unreachable") from error
        except (TaskFateUnknownError, TimeoutError):
            await stack.aclose()
            begun = await self._recover(stack, entry, placement, order, deadline_at_ms)
        else:
            self._placer.note_answer(placement.host, answer.busy, answer.boot_id)
            if answer.is_failure:
                reason = begun.head.decode(errors="replace")[:MAX_REASON_CHARS]
                raise self._fail(entry, placement, "failed", Failed(reason))
        run_ms = self._clock.monotonic_ms() - started_ms
        self._placer.note_success(entry, placement.host, run_ms)
        return begun

    def _limit_progress_ms(self, order: TaskOrder) -> int:
        # Half of the time left, so that the other half is enough to ask for the
        # task's end and fetch its result when the connection has gone silent.
        return min(self._progress_ms, max(MIN_PROGRESS_MS, order.lease_ms // 2))

    def _note_refusal(
        self, entry: Entry, placement: Placement, error: TaskRefusedError
    ) -> None:
        """Raise _AttemptError if the refusal proves that the task has not started."""
        self._placer.note_answer(placement.host, error.busy, error.boot_id)
        if error.code in NOT_STARTED_CODES:
            self._placer.note_failure(entry, placement.host, error.code)
            raise _not_started(placement, error.code) from error

    async def _recover(
        self,
        stack: AsyncExitStack,
        entry: Entry,
        placement: Placement,
        order: TaskOrder,
        deadline_at_ms: int,
    ) -> Answer:
        """Ask the worker for a task whose answer was lost; raises _AttemptError."""
        address = placement.address
        end = await self._resolver.resolve(
            address, order.task, placement.boot_id, deadline_at_ms
        )
        if end is TaskEnd.DONE:
            try:
                return await _begin(
                    await stack.enter_async_context(
                        self._client.fetch_result(address, order.task)
                    )
                )
            except WorkerError as error:
                lost = Unknown("the task ran, but its result can't be fetched")
                raise self._fail(entry, placement, "result_lost", lost) from error
        if end is TaskEnd.NOT_STARTED:
            self._placer.note_failure(entry, placement.host, "lost")
            raise _not_started(placement, "worker_lost_order")
        if end in (TaskEnd.FAILED, TaskEnd.STOPPED):
            raise self._fail(entry, placement, end, Failed(f"the task {end}"))
        self._resolver.abandon(address, order.task)
        reason = "the worker can't tell how the task ended"
        if end is TaskEnd.RUNNING:
            reason = "the task was still running at the deadline"
        raise self._fail(entry, placement, "lost", Unknown(reason))

    def _fail(
        self, entry: Entry, placement: Placement, code: str, outcome: Outcome
    ) -> _AttemptError:
        self._placer.note_failure(entry, placement.host, code)
        return _AttemptError(placement.host, code, outcome, has_started=True)


def _not_started(placement: Placement, code: str) -> _AttemptError:
    outcome: Outcome = Expired() if code == "too_late" else _refused(code)
    return _AttemptError(placement.host, code, outcome, has_started=False)


def _refused(code: str) -> NotRun:
    return NotRun(code, "workers refused the task before its start", RETRY_AFTER_MS)


async def _begin(answer: TaskAnswer) -> Answer:
    """Read an answer up to `HELD_BYTES`, or to its end if that comes first."""
    chunks = answer.chunks()
    held: list[bytes] = []
    held_bytes = 0
    async for chunk in chunks:
        held.append(chunk)
        held_bytes += len(chunk)
        if held_bytes > HELD_BYTES:
            return Answer(answer.size, b"".join(held), chunks)
    return Answer(held_bytes, b"".join(held))


def build_order(
    entry: Entry,
    placement: Placement,
    body: bytes,
    lease_ms: int,
    task: str | None = None,
    start_before_ms: int | None = None,
) -> TaskOrder:
    """Return the order for a placed task; a random task id unless one is given."""
    return TaskOrder(
        task=task or secrets.token_hex(12),
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
