"""In-memory fakes of the orders to workers, and the records of a small pool."""

import asyncio
import random
from collections.abc import Callable

from bergamotgap.domain.fleet import (
    FleetConfig,
    JobSpec,
    Queue,
    Size,
    StepSpec,
    TaskId,
    WorkerInfo,
    WorkerState,
)
from bergamotgap.ports.fleet import (
    Accepted,
    Lease,
    LifeEnded,
    OrderOutcome,
    PollOutcome,
    Refused,
    StartOrder,
    Unanswered,
)
from stand_ins.pool_store import CALL_LATENCY_S
from stand_ins.pool_workers import FakeRun, FakeWorker

# Time until a call without an answer fails.
CALL_TIMEOUT_S = 0.5
# A call that waits in the network reaches its worker within this time once it can.
RETRANSMISSION_S = 0.01
# Answers take up to this long, so that they may overtake each other.
MAX_ANSWER_S = 0.004


class FakeOrders:
    """`WorkerOrders` that calls fake workers directly.

    A call to a silent worker, or to one in `unreachable_workers`, waits in the network
    until its time-out. The life that answers by then carries it out, also a later one.
    An order with a lease for one life reaches no other, as its connection ends with the
    life, unless `binds_lives` is False.

    Faults: workers in `unreachable_workers` don't answer this sender; the next
    `lose_starts` starts are executed without an answer; the next `drop_starts` starts
    and `drop_stops` stops are neither executed nor answered. The next starts and stops
    for which `start_delays_s` and `stop_delays_s` hold a delay get no answer and are
    executed that much later, if the worker answers then. Other answers take a moment,
    so that they may overtake each other; `max_answer_s` bounds that.
    """

    binds_lives = True

    def __init__(self, workers: dict[str, FakeWorker]) -> None:
        self.workers = workers
        self.unreachable_workers: set[str] = set()
        self.poll_count = 0
        self.lose_starts = 0
        self.drop_starts = self.drop_stops = 0
        self.start_delays_s: list[float] = []
        self.stop_delays_s: list[float] = []
        self.max_answer_s = MAX_ANSWER_S
        self._draw = random.Random(0)

    async def _delay_answer(self) -> None:
        await asyncio.sleep(self._draw.uniform(0, self.max_answer_s))

    async def _execute_late(
        self, worker: FakeWorker, delay_s: float, execute: Callable[[], object]
    ) -> Unanswered:
        """Execute an order later, unless the worker is silent then; fail the call."""

        def execute_unless_silent() -> None:
            if not worker.is_silent:
                worker.end_due_runs()
                execute()

        asyncio.get_running_loop().call_later(delay_s, execute_unless_silent)
        await asyncio.sleep(CALL_TIMEOUT_S)
        return Unanswered(was_sent=True)

    async def _contact_worker(self, info: WorkerInfo) -> FakeWorker | None:
        """Return the worker once the call reaches it; None if the call fails before."""
        await asyncio.sleep(CALL_LATENCY_S)
        for _ in range(round(CALL_TIMEOUT_S / RETRANSMISSION_S)):
            worker = self.workers.get(info.worker_id)
            is_cut = info.worker_id in self.unreachable_workers
            if worker is not None and not worker.is_silent and not is_cut:
                worker.end_due_runs()
                return worker
            await asyncio.sleep(RETRANSMISSION_S)
        return None

    def _is_life_answering(self, info: WorkerInfo, lease: Lease) -> bool:
        """Return whether the life that a lease is for is the present one."""
        worker = self.workers.get(info.worker_id)
        if not self.binds_lives or not lease.life_ms or worker is None:
            return True
        return worker.info.incarnation_ms == lease.life_ms

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Start a run, as specified by `WorkerOrders`."""
        was_life_answering = self._is_life_answering(info, lease)
        worker = await self._contact_worker(info)
        if worker is None:
            return Unanswered(was_sent=True)
        if not self._is_life_answering(info, lease):
            return Unanswered(was_sent=True) if was_life_answering else LifeEnded()
        if self.drop_starts:
            self.drop_starts -= 1
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unanswered(was_sent=True)
        if self.start_delays_s:
            delay_s = self.start_delays_s.pop()
            return await self._execute_late(
                worker, delay_s, lambda: self.execute_start(worker, order, lease)
            )
        outcome = self.execute_start(worker, order, lease)
        if self.lose_starts and isinstance(outcome, Accepted):
            self.lose_starts -= 1
            return Unanswered(was_sent=True)
        await self._delay_answer()
        return outcome

    def execute_start(
        self, worker: FakeWorker, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Let a worker carry out a start, or refuse it."""
        if refusal := worker.check_token(lease.token):
            return refusal
        if lease.deadline_ms < worker.now_ms():
            return Refused("late", worker.now_ms())
        worker.extend_lease(lease)
        if order.run <= worker.barred_runs.get(order.task, 0):
            return Refused("old", worker.now_ms())
        now_s = asyncio.get_running_loop().time()
        former = worker.running.get(order.task)
        if former is not None:
            worker.run_intervals.append((order.task, former.start_s, now_s))
        run_s = worker.choose_run_s(order)
        worker.running[order.task] = FakeRun(order, now_s + run_s, now_s)
        worker.most_running = max(worker.most_running, len(worker.running))
        worker.starts.append((order.task, order.run))
        worker.tickets.add(order.ticket)
        return Accepted(worker.now_ms())

    async def stop(
        self, info: WorkerInfo, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        """Stop a run, as specified by `WorkerOrders`."""
        worker = await self._contact_worker(info)
        if worker is None:
            return Unanswered(was_sent=True)
        if self.drop_stops:
            self.drop_stops -= 1
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unanswered(was_sent=True)
        if self.stop_delays_s:
            delay_s = self.stop_delays_s.pop()
            return await self._execute_late(
                worker, delay_s, lambda: self.execute_stop(worker, task, run, token)
            )
        outcome = self.execute_stop(worker, task, run, token)
        await self._delay_answer()
        return outcome

    def execute_stop(
        self, worker: FakeWorker, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        """Let a worker carry out a stop, or refuse it."""
        if refusal := worker.check_token(token):
            return refusal
        worker.stop_run(task, run)
        return Accepted(worker.now_ms())

    async def pace(
        self, info: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderOutcome:
        """Set the pace of a task, as specified by `WorkerOrders`."""
        worker = await self._contact_worker(info)
        if worker is None:
            return Unanswered(was_sent=True)
        worker.paces[task] = percent
        return Accepted(worker.now_ms())

    async def poll(
        self, info: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        """Poll a worker, as specified by `WorkerOrders`."""
        self.poll_count += 1
        was_life_answering = self._is_life_answering(info, lease)
        worker = await self._contact_worker(info)
        if worker is None:
            return Unanswered(was_sent=True)
        if not self._is_life_answering(info, lease):
            if was_life_answering:
                return Unanswered(was_sent=True)
            lease, wait_ms = Lease(lease.token, 0), 0
        if refusal := worker.begin_poll(lease, acked_through):
            return refusal
        restarts, closings = former = worker.restarts, worker.closings
        for _ in range(wait_ms // 10):
            worker.end_due_runs()
            if worker.ended or (worker.restarts, worker.closings) != former:
                break
            await asyncio.sleep(0.01)
        if worker.closings != closings:
            return Unanswered(was_sent=True, is_cut_off=True)
        if worker.is_silent or worker.restarts != restarts:
            return Unanswered(was_sent=True)
        reply = worker.end_poll(lease)
        await self._delay_answer()
        return reply


def build_worker(
    number: int, pool: str = "previews", cpu: int = 8000, memory_mb: int = 16_384
) -> WorkerInfo:
    """Return the record that a ready worker publishes about itself."""
    return WorkerInfo(
        worker_id=f"w{number}",
        service=pool,
        address=f"10.1.0.{number}:8000",
        data_centre="dc-1",
        state=WorkerState.READY,
        capacity=Size(cpu, memory_mb, 0),
        labels=frozenset({"a", f"r{number % 2}"}),
        rack=f"r{number % 2}",
        incarnation_ms=1,
        host=f"m{number}",
    )


def build_job(job_id: str = "job-1", **changes: object) -> JobSpec:
    """Return a job of two steps, of which the second depends on the first."""
    first = StepSpec(count=3, cpu=1000, memory_mb=100, estimated_ms=1000)
    second = StepSpec(count=2, cpu=2000, memory_mb=100, estimated_ms=1000, after=(0,))
    fields: dict[str, object] = {
        "queue": "q-previews",
        "steps": (first, second),
        **changes,
    }
    return JobSpec(job_id, payload="payload", **fields)  # type: ignore[arg-type]


CONFIG = FleetConfig(
    version=1,
    queues=(
        Queue(
            "q-previews",
            "previews.example",
            "/previews/",
            "previews",
            attempts=3,
            stretch=1.6,
            target_latency_ms=600,
        ),
    ),
    services=("previews", "misc"),
    spare_services=frozenset({"misc"}),
)
