"""In-memory fake of a worker that pool owners use, with faults."""

import asyncio
import dataclasses
import math
import operator
import random
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import (
    EndReport,
    Lease,
    PollReply,
    Refused,
    RunReport,
    StartOrder,
)

# Most ends that a worker lists in one reply.
ENDS_PER_REPLY = 500
# The clock of a new life begins anywhere between these.
MIN_FIRST_CLOCK_MS = 200_000
MAX_FIRST_CLOCK_MS = 9_000_000
SETTINGS = PoolSettings("node", "dc-1", "", "", "10.0.0.1:7000", "", refuses_early=True)


@dataclass
class FakeRun:
    """A run on a fake worker; times are in s of the event loop's clock."""

    order: StartOrder
    end_s: float
    start_s: float = 0.0
    stop_end_s: float = math.inf


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class FakeWorker:
    """A worker with fencing tokens and a lease; it may restart under its id.

    A stop takes up to `stop_timeout_ms` of the settings, drawn from the worker's id.
    Ends of runs are kept until the owner acknowledges them. A lease is never shortened,
    and lasts `max_lease_ms` of the settings at most. The clock of each later life
    begins at a value drawn from the worker's id and the number of its lives, lower or
    higher than that of the former one; `choose_clock_ms` may choose another.
    """

    def __init__(self, info: WorkerInfo, run_s: float = 1.0) -> None:
        self.info = info
        self.run_s = run_s
        self.highest_token = 0
        self.lease_end_s = 0.0
        # When the worker's clock was 0, by the event loop's clock.
        self.clock_start_s = 0.0
        # Returns the time of the worker's clock at the start of a later life.
        self.choose_clock_ms: Callable[[], int] = self._draw_clock_ms
        self.life_start_s = 0.0
        self.restarts = 0
        # A process that ends closes its connections, a machine that is gone does not.
        self.closes_connections = False
        self.closings = 0
        # Returns the run time of a task in s.
        self.choose_run_s: Callable[[StartOrder], float] = lambda order: self.run_s
        # Returns how long a stop takes in s.
        draw = random.Random(info.worker_id).uniform
        max_stop_s = SETTINGS.stop_timeout_ms / 1000
        self.choose_stop_s: Callable[[], float] = lambda: draw(0, max_stop_s)
        self.running: dict[TaskId, FakeRun] = {}
        self.ended: list[EndReport] = []
        self.starts: list[tuple[TaskId, int]] = []
        # By task: the highest run number that ended or was stopped; up to it, no run
        # may start.
        self.barred_runs: dict[TaskId, int] = {}
        self.is_silent = False
        self.is_stalled = False
        self.fails_all_tasks = False
        # Reports 100 % for running tasks, as long-running ones do once they serve.
        self.reports_full_progress = False
        self.last_sequence = 0
        # Tail latency reported for every run, and the pace in % ordered for each task.
        self.tail_latency_ms = 0
        self.paces: dict[TaskId, int] = {}
        self.tickets: set[str] = set()
        # Start and end in s of each ended run, and the most runs at the same time.
        self.run_intervals: list[tuple[TaskId, float, float]] = []
        self.most_running = 0

    def now_ms(self) -> int:
        """Return the time of the worker's clock."""
        return int((_now_s() - self.clock_start_s) * 1000)

    def end_due_runs(self) -> None:
        """End the runs that are finished or stopped, or whose lease has expired."""
        now_s = _now_s()
        done = "failed" if self.fails_all_tasks else "done"
        for task, run in list(self.running.items()):
            ends = [(self.lease_end_s, "lapsed"), (run.stop_end_s, "stopped")]
            if not self.is_stalled:
                ends.append((run.end_s, done))
            end_s, outcome = min(ends, key=operator.itemgetter(0))
            if end_s <= now_s:
                self.end_run(task, outcome, end_s)

    def stop_run(self, task: TaskId, run: int) -> None:
        """Bar a run and all lower ones at once; end it later if it is there."""
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run)
        live, loop = self.running.get(task), asyncio.get_running_loop()
        if live and live.order.run == run and live.stop_end_s == math.inf:
            live.stop_end_s = loop.time() + self.choose_stop_s()
            loop.call_at(live.stop_end_s, self.end_due_runs)

    def crash(self) -> None:
        """End all runs without reporting their ends."""
        self.end_due_runs()
        self.closings += self.closes_connections
        now_s = _now_s()
        self.run_intervals += [
            (t, run.start_s, now_s) for t, run in self.running.items()
        ]
        self.running.clear()

    def _draw_clock_ms(self) -> int:
        draw = random.Random(f"{self.info.worker_id} {self.restarts}").uniform
        exponent = draw(math.log(MIN_FIRST_CLOCK_MS), math.log(MAX_FIRST_CLOCK_MS))
        return int(math.exp(exponent))

    def restart(self, clock_ms: int | None = None) -> WorkerInfo:
        """Crash and begin a new life under the same id; return its report.

        Its clock begins at `clock_ms`, or where `choose_clock_ms` says. For one that
        begins at 0, a lease in the clock of a former life lies far ahead.
        """
        self.crash()
        self.restarts += 1
        born_ms = self.info.incarnation_ms + 1
        self.info = dataclasses.replace(self.info, incarnation_ms=born_ms)
        if clock_ms is None:
            clock_ms = self.choose_clock_ms()
        self.life_start_s = _now_s()
        self.clock_start_s = self.life_start_s - clock_ms / 1000
        self.highest_token = self.last_sequence = 0
        self.lease_end_s = 0.0
        self.ended.clear()
        self.barred_runs.clear()
        return self.info

    def extend_lease(self, lease: Lease) -> None:
        """Extend the lease of all runs as far as the order says."""
        longest_ms = self.now_ms() + SETTINGS.max_lease_ms
        end_s = self.clock_start_s + min(lease.deadline_ms, longest_ms) / 1000
        self.lease_end_s = max(self.lease_end_s, end_s)

    def end_run(self, task: TaskId, outcome: str, ended_s: float | None = None) -> None:
        """End a run and keep its end until it is acknowledged."""
        run = self.running.pop(task)
        now_s = _now_s()
        self.run_intervals.append((task, run.start_s, ended_s or now_s))
        self.last_sequence += 1
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run.order.run)
        self.ended.append(
            EndReport(self.last_sequence, task, run.order.run, outcome, "")
        )

    def get_percent(self, run: FakeRun) -> int:
        """Return the progress of a run in percent."""
        if self.is_stalled:
            return 7
        left = run.end_s - _now_s()
        return 100 if self.reports_full_progress else int(100 * (1 - left / self.run_s))

    def check_token(self, token: int) -> Refused | None:
        """Refuse a fencing token below the highest one seen."""
        if token < self.highest_token:
            return Refused("fence", self.now_ms())
        self.highest_token = token
        return None

    def begin_poll(self, lease: Lease, acked_through: int) -> Refused | None:
        """Apply the lease and the acknowledgement of a poll, unless it is refused."""
        if refusal := self.check_token(lease.token):
            return refusal
        if lease.deadline_ms and lease.deadline_ms < self.now_ms():
            return Refused("late", self.now_ms())
        self.extend_lease(lease)
        self.ended = [row for row in self.ended if row.sequence > acked_through]
        return None

    def end_poll(self, lease: Lease) -> PollReply | Refused:
        """Return the reply to a poll, unless a newer owner has polled meanwhile."""
        if refusal := self.check_token(lease.token):
            return refusal
        tail_ms = self.tail_latency_ms
        running = tuple(
            RunReport(t, run.order.run, "", self.get_percent(run), tail_ms)
            for t, run in self.running.items()
        )
        return PollReply(
            self.now_ms(),
            self.info.incarnation_ms,
            running,
            tuple(self.ended[:ENDS_PER_REPLY]),
            may_have_more_ends=len(self.ended) >= ENDS_PER_REPLY,
        )
