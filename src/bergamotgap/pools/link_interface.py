"""Orders to one worker, and what its link tells the pool."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bergamotgap.domain.fleet import TaskId
from bergamotgap.domain.job_state import Task
from bergamotgap.ports.fleet import EndReport, OrderOutcome, RunReport

if TYPE_CHECKING:
    from bergamotgap.pools.worker_link import WorkerLink


@dataclass(eq=False)
class LiveRun:
    """A run that is or may be on the worker and holds room there.

    `accepted_ms` is when its start was answered, `barred_ms` when a stop was. A stop
    that is wanted is sent until it is answered.
    """

    task: Task
    run: int
    start_accepted_ms: int | None = None
    stop_accepted_ms: int | None = None
    is_stop_requested: bool = False
    is_stop_sent: bool = False


@dataclass(frozen=True)
class StopOrder:
    """Stop a run and bar it."""

    task_id: TaskId
    run: int
    live_run: LiveRun | None


@dataclass(frozen=True)
class PaceOrder:
    """Let a task work at a share of its speed."""

    task_id: TaskId
    run: int
    percent: int


@dataclass(frozen=True)
class PendingStart:
    """Start a run."""

    live_run: LiveRun
    payload: str
    journal_change: int
    ticket: str


class LinkEventHandler(Protocol):
    """What the pool hears from its links."""

    def handle_started(self, link: "WorkerLink", live: LiveRun) -> None:
        """Take an answered start."""

    def handle_not_started(
        self, link: "WorkerLink", live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Take a start that was refused or not sent."""

    def handle_start_unanswered(self, link: "WorkerLink", live: LiveRun) -> None:
        """Take a start without an answer."""

    def handle_running(self, link: "WorkerLink", row: RunReport) -> None:
        """Take a run that is on the worker."""

    def handle_ended(self, link: "WorkerLink", row: EndReport) -> None:
        """Take an end when it is first listed."""

    def handle_lost(self, link: "WorkerLink", live: LiveRun, reason: str) -> None:
        """Take a run that is gone and left no end."""

    def handle_first_poll(self, link: "WorkerLink") -> None:
        """Take a worker that now refuses former owners."""

    def handle_superseded(self, source: str) -> None:
        """Take the word that there is a newer owner."""

    def handle_polled(self, link: "WorkerLink") -> None:
        """Take the end of a look, when all runs' figures are known."""

    def choose_poll_gap_ms(self) -> float:
        """Return how long to rest between two looks at a worker."""

    async def wait_until_start_allowed(self, change: int) -> bool:
        """Wait until a successor would know of a run; tell whether it may start."""

    async def wait_for_journal(self) -> bool:
        """Wait until what was heard lasts, for a bounded time; tell if it does."""


class OwnershipChecks(Protocol):
    """Whether the owner may act."""

    def is_confirmed(self) -> bool:
        """Tell whether the log confirmed this owner a short time ago."""

    def may_act(self) -> bool:
        """Tell whether no successor can have begun to act."""

    def may_abandon_runs(self) -> bool:
        """Tell whether a silent worker's runs may be taken for ended."""

    def may_renew_leases(self) -> bool:
        """Tell whether leases may be renewed."""
