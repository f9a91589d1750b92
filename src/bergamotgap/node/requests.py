"""Non-idempotent synchronous requests: each request id is run at most once."""

import asyncio
import base64
import hashlib
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Catalogue, Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import Expired, NotRun
from bergamotgap.domain.records import Ended
from bergamotgap.domain.work_items import Claim, build_request_key
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.claims import (
    ClaimRejectedError,
    Claims,
    WorkItem,
    WorkProgress,
    build_ended_record,
)
from bergamotgap.node.retrying_appender import RetryingAppender
from bergamotgap.node.streams import Stream
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.ports.worker import (
    ResultGoneError,
    TaskAnswer,
    TaskFateUnknownError,
    WorkerClient,
    WorkerError,
)

# The outcome of a request id is kept for the longest deadline plus this margin, so that
# a repeat sent just before a deadline still finds it.
RETENTION_MARGIN_MS = 600_000
# Reading a result is safe to repeat, and a single failed read does not mean that the
# result is lost.
MAX_RESULT_READS = 3

log = get_logger(__name__)


def compute_retention_ms(catalogue: Catalogue | None, entry: Entry) -> int:
    """Return how long the outcome of an entry's work is kept."""
    entries = catalogue.entries if catalogue is not None else (entry,)
    return max(item.deadline_ms for item in entries) + RETENTION_MARGIN_MS


class StoredAnswer:
    """A recorded answer with the interface of one that arrives from a worker."""

    def __init__(self, result: bytes, is_failure: bool) -> None:
        self._result = result
        self._is_failure = is_failure

    @property
    def is_failure(self) -> bool:
        """Return whether the task failed."""
        return self._is_failure

    @property
    def size(self) -> int | None:
        """Return the length in bytes."""
        return len(self._result)

    @property
    def busy(self) -> int | None:
        """Return None, since no worker sent this answer."""
        return None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole result."""
        if self._result:
            yield self._result


class ResultReader:
    """Reads the results of ended work from their records or from workers."""

    def __init__(
        self, client: WorkerClient, find_address: Callable[[str], str | None]
    ) -> None:
        self._client = client
        self._find_address = find_address

    @asynccontextmanager
    async def open(self, ended: Ended) -> AsyncIterator[TaskAnswer]:
        """Yield the answer; raises RequestRefusedError if there is none."""
        if ended.outcome == "failed":
            inline = base64.b64decode(ended.result_inline or "")
            yield StoredAnswer(inline, is_failure=True)
        elif ended.outcome != "done":
            code = f"work_{ended.outcome}"
            status = 504 if ended.outcome == "unknown" else 409
            raise RequestRefusedError(status, code, ended.outcome, ended.reason)
        elif ended.result_inline is not None:
            yield StoredAnswer(base64.b64decode(ended.result_inline), is_failure=False)
        else:
            async with self._fetch_result(ended) as answer:
                yield answer

    @asynccontextmanager
    async def _fetch_result(self, ended: Ended) -> AsyncIterator[TaskAnswer]:
        address = self._find_address(ended.worker)
        if address is None:
            raise RequestRefusedError(410, "result_gone", "done")
        async with AsyncExitStack() as stack:
            yield await self._open_with_retries(stack, address, ended.task)

    async def _open_with_retries(
        self, stack: AsyncExitStack, address: str, task: str
    ) -> TaskAnswer:
        """Open a result with retries.

        It counts as gone only if the worker says so; other errors may be temporary.
        """
        for reads_left in reversed(range(MAX_RESULT_READS)):
            result = self._client.fetch_result(address, task)
            try:
                return await stack.enter_async_context(result)
            except ResultGoneError as error:
                raise RequestRefusedError(410, "result_gone", "done") from error
            except WorkerError as error:
                log.info("reading a task result failed", task=task, error=repr(error))
                if reads_left == 0:
                    code = "result_unreachable"
                    raise RequestRefusedError(503, code, "done") from error
        raise AssertionError("the last read returns or raises")


@dataclass(slots=True)
class _Driver:
    """The task that drives one request; `waiters` callers wait for its outcome."""

    body_sha256: str
    entry: str
    progress: WorkProgress
    task: "asyncio.Task[Ended]"
    waiters: int = 0


class NonIdempotentRequests:
    """Runs this node's non-idempotent requests and answers their repeats."""

    def __init__(
        self,
        work: Stream[WorkState],
        claims: Claims,
        appender: RetryingAppender,
        result_reader: ResultReader,
        catalogue: Callable[[], Catalogue | None],
        clock: Clock,
    ) -> None:
        self._work = work
        self._claims = claims
        self._appender = appender
        self._result_reader = result_reader
        self._catalogue = catalogue
        self._clock = clock
        self._drivers: dict[str, _Driver] = {}

    @asynccontextmanager
    async def run(
        self,
        caller_name: str,
        request_id: str,
        entry: Entry,
        body: bytes,
        deadline_at_ms: int,
    ) -> AsyncIterator[TaskAnswer]:
        """Run a request at most once and yield its answer, also for repeats of it.

        `deadline_at_ms` is monotonic. Raises NotAdmittedError if the request was not
        run, TaskFateUnknownError if its outcome is not known, and
        RequestRefusedError otherwise.
        """
        digest = hashlib.sha256(body).hexdigest()
        key = build_request_key(caller_name, request_id)
        ended = await self._wait_for_outcome(key, entry, body, digest, deadline_at_ms)
        if ended.outcome == "unknown":
            raise TaskFateUnknownError(ended.reason)
        async with self._result_reader.open(ended) as answer:
            yield answer

    async def _wait_for_outcome(
        self, key: str, entry: Entry, body: bytes, digest: str, deadline_at_ms: int
    ) -> Ended:
        while True:
            claim = self._check_repeat(key, entry, digest)
            driver = self._drivers.get(key)
            if claim is not None and claim.ended is not None:
                return claim.ended
            if driver is None and claim is not None and claim.is_outstanding:
                await self._wait_for_records(deadline_at_ms)
                continue
            if driver is None:
                driver = self._start_driver(key, entry, body, digest, deadline_at_ms)
            try:
                return await self._wait_for_driver(driver, deadline_at_ms)
            except ClaimRejectedError:
                # Another entry host claimed the key first, and its outcome is the
                # answer here too. A rejection whose cause is not in the local state yet
                # is handled the same way.
                await asyncio.sleep(0)

    def _check_repeat(self, key: str, entry: Entry, digest: str) -> Claim | None:
        claim = self._work.state.find_claim(key)
        driver = self._drivers.get(key)
        expected = (entry.name, digest)
        is_reused = self._work.state.find_job_by_key(key) is not None
        if claim is not None:
            is_reused |= (claim.entry, claim.body_sha256) != expected
        if driver is not None:
            is_reused |= (driver.entry, driver.body_sha256) != expected
        if is_reused:
            raise RequestRefusedError(409, "request_id_reused", "not_run")
        return claim

    async def _wait_for_records(self, deadline_at_ms: int) -> None:
        remaining_ms = deadline_at_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0 or not await self._work.wait_for_records(remaining_ms):
            raise TaskFateUnknownError("an earlier attempt has no outcome yet")

    def _start_driver(
        self, key: str, entry: Entry, body: bytes, digest: str, deadline_at_ms: int
    ) -> _Driver:
        work = WorkItem(
            key=key,
            job=None,
            ownership=0,
            entry=entry,
            body=body,
            body_sha256=digest,
            keep_ms=compute_retention_ms(self._catalogue(), entry),
            deadline_at_ms=deadline_at_ms,
        )
        progress = WorkProgress()
        # A separate task, so that a caller that disconnects does not cancel a run whose
        # outcome must be recorded.
        task = asyncio.create_task(self._drive_request(work, progress))
        driver = _Driver(digest, entry.name, progress, task)
        self._drivers[key] = driver
        task.add_done_callback(lambda _: self._drivers.pop(key, None))
        return driver

    async def finish(self, timeout_ms: int) -> None:
        """Wait until the requests in progress end or the timeout passes."""
        tasks = [driver.task for driver in self._drivers.values()]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_ms / 1000)

    async def stop(self) -> None:
        """Stop all drivers; their claims are resolved by other entry hosts."""
        tasks = [driver.task for driver in self._drivers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _drive_request(self, work: WorkItem, progress: WorkProgress) -> Ended:
        end = await self._claims.run_work(work, progress)
        assert progress.claimed is not None
        ended = build_ended_record(end, progress.claimed, 0)
        task = progress.claimed.task
        if end.state == "running":
            # A task that runs long past its deadline has no outcome yet. `Takeover`
            # queries it further, as it does for each outstanding claim.
            self._claims.mark_inactive(task)
        else:
            append_task = self._appender.append_in_background(ended)
            append_task.add_done_callback(lambda _: self._claims.mark_inactive(task))
        return ended

    async def _wait_for_driver(self, driver: _Driver, deadline_at_ms: int) -> Ended:
        remaining_ms = max(0, deadline_at_ms - self._clock.monotonic_ms())
        driver.waiters += 1
        try:
            await asyncio.wait({driver.task}, timeout=remaining_ms / 1000)
        finally:
            driver.waiters -= 1
            is_abandoned = driver.waiters == 0 and driver.progress.stage == "queued"
            if is_abandoned:
                driver.task.cancel()
        if is_abandoned:
            await asyncio.wait({driver.task})
        if not driver.task.done():
            raise TaskFateUnknownError("the deadline passed before the outcome")
        if driver.task.cancelled():
            if driver.progress.stage != "queued":
                raise TaskFateUnknownError("this entry host stops")
            raise NotAdmittedError(Expired() if is_abandoned else NotRun("leaving"))
        return driver.task.result()
