"""Runs and orders of a worker link, and its interfaces to the pool."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.domain.task_state import Task
from bergamotgap.ports.fleet import EndReport, OrderOutcome, RunReport

if TYPE_CHECKING:
    from bergamotgap.pools.worker_link import WorkerLink
    from bergamotgap.pools.worker_runs import WorkerRuns


@dataclass(eq=False)
class LiveRun:
    """A run that is or may be on the worker and holds capacity there.

    `start_accepted_ms` is when the worker accepted the start, `stop_accepted_ms` when
    it accepted a stop. A requested stop is repeated until it is accepted;
    `is_stop_sent` is cleared when a stop has to be sent again. `is_start_sent`: the
    worker may have received the start; `is_start_open` until the call ends. `life` is
    the number of the worker's life, as its link counts them, that the start was sent to
    or that listed the run; `is_in_life`: that life is known to have carried it out.
    `is_loss_recorded`: a crash of that life counts for the task. `worker` is the report
    by which the start was sent. `has_survived_start`: a poll listed the run some time
    after its start. `is_whole`: this owner started the run, not from a checkpoint, and
    knows when. `seen_ms` is when a poll last listed it. `is_pace_set`: the task's pace
    was ordered, or is that of every start; it has to be ordered again otherwise.
    """

    task: Task
    run: int
    start_accepted_ms: int | None = None
    stop_accepted_ms: int | None = None
    is_stop_requested: bool = False
    is_stop_sent: bool = False
    is_start_sent: bool = False
    is_start_open: bool = False
    life: int = 0
    is_in_life: bool = False
    is_loss_recorded: bool = False
    worker: WorkerInfo | None = None
    has_survived_start: bool = False
    is_whole: bool = False
    seen_ms: int = 0
    is_pace_set: bool = True

    def get_loss_reason(self, sent_ms: int, stop_timeout_ms: int, life: int) -> str:
        """Return why a run is gone that a poll sent at `sent_ms` does not list.

        Empty if the run may still be about to start or to stop. `life` is the number of
        the life that answered the poll.
        """
        if self.is_start_open:
            return ""
        if self.stop_accepted_ms is not None:
            reason = "stopped"
            is_gone = sent_ms > self.stop_accepted_ms + stop_timeout_ms
        else:
            reason = "vanished"
            accepted_ms = self.start_accepted_ms
            is_gone = accepted_ms is not None and accepted_ms < sent_ms
        if not is_gone:
            return ""
        return reason if self.life == life else "restart"

    def begin_in_life(self, life: int) -> None:
        """Record that a life of the worker has carried out the start."""
        if self.life != life:
            # The loss of a former life was not that of this run.
            self.is_loss_recorded = False
        self.life, self.is_in_life = life, True

    def forget_stop(self) -> None:
        """Forget that a stop was sent, since another life knows nothing of it."""
        self.stop_accepted_ms = None
        self.is_stop_sent = False


def build_adopted_run(task: Task, run: int, now_ms: int) -> LiveRun:
    """Return a run that a poll listed and that another owner had started."""
    return LiveRun(
        task,
        run,
        start_accepted_ms=now_ms,
        is_start_sent=True,
        has_survived_start=True,
        is_pace_set=False,
    )


@dataclass(frozen=True)
class StopOrder:
    """Stop a run, or prevent its start if the start arrives later.

    `live_run` is None if the run is not tracked.
    """

    task_id: TaskId
    run: int
    live_run: LiveRun | None


@dataclass(frozen=True)
class PaceOrder:
    """Limit a run to a percentage of its full speed."""

    live_run: LiveRun
    percent: int


@dataclass(frozen=True)
class PendingStart:
    """Start a run once the journal change that names its worker is committed.

    `needs_record`: it doesn't start without a record, not even in an outage of the log.
    """

    live_run: LiveRun
    payload: str
    journal_change: int
    ticket: str
    needs_record: bool


class LinkEventHandler(Protocol):
    """What a worker link reports to the pool, and what it waits for."""

    def handle_started(self, link: "WorkerRuns", live: LiveRun) -> None:
        """Handle a start that the worker accepted."""

    def handle_not_started(
        self, link: "WorkerRuns", live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Handle a start that was refused or not sent."""

    def handle_start_unanswered(self, link: "WorkerLink", live: LiveRun) -> None:
        """Handle a start without an answer: the run may be on the worker."""

    def handle_running(self, link: "WorkerRuns", report: RunReport) -> None:
        """Handle a run that a poll lists as running."""

    def handle_ended(self, link: "WorkerRuns", end: EndReport) -> None:
        """Handle the end of a run when a poll first lists it."""

    def handle_worker_lost(
        self,
        worker: WorkerInfo,
        runs: Sequence[LiveRun],
        reason: str,
        cut_off_ms: int,
    ) -> None:
        """Handle the loss of a life with runs; each lost run is reported separately.

        At `cut_off_ms` the worker closed the connection of the last poll.
        """

    def handle_lost(self, link: "WorkerRuns", live: LiveRun, reason: str) -> None:
        """Handle a run that is gone from the worker without a reported end."""

    def handle_first_poll(self, link: "WorkerLink") -> None:
        """Handle the first answered poll: the worker now refuses former owners."""

    def handle_orders_sent(self) -> None:
        """Handle a queue of orders that was full and has room for starts again."""

    def handle_superseded(self, source: str) -> None:
        """Handle proof from `source` that the pool has a newer owner."""

    def handle_polled(self, link: "WorkerLink") -> None:
        """Handle the end of a poll, when the progress of all runs is updated."""

    def choose_poll_gap_ms(self) -> float:
        """Return how long to wait between two polls of a worker."""

    async def wait_until_start_allowed(self, change: int, needs_record: bool) -> bool:
        """Wait until a successor would know of a run; return whether it may start."""

    async def wait_for_journal(self) -> bool:
        """Wait a bounded time for the journal; return whether all is committed."""


class OwnershipChecks(Protocol):
    """What the owner of a pool may do at present."""

    def is_confirmed(self) -> bool:
        """Return whether the log confirmed this owner recently."""

    def may_act(self) -> bool:
        """Return whether no successor can have begun to act."""

    def may_abandon_runs(self) -> bool:
        """Return whether runs of a silent worker may count as ended with its lease."""

    def may_renew_leases(self) -> bool:
        """Return whether leases of workers may be renewed."""
