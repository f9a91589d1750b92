"""Runs and orders of a worker link, and its interfaces to the pool."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bergamotgap.domain.fleet import TaskId
from bergamotgap.domain.job_state import Task
from bergamotgap.ports.fleet import EndRow, OrderOutcome, RunRow

if TYPE_CHECKING:
    from bergamotgap.pools.worker_link import WorkerLink


@dataclass(eq=False)
class LiveRun:
    """A run that is or may be on the worker and holds capacity there.

    `start_accepted_ms` is when the worker accepted the start, `stop_accepted_ms` when
    it accepted a stop. A requested stop is repeated until it is accepted.
    """

    task: Task
    run: int
    accepted_ms: int | None = None
    barred_ms: int | None = None
    is_stop_wanted: bool = False
    is_stop_sent: bool = False


@dataclass(frozen=True)
class StopOrder:
    """Stop a run and bar it from starting later."""

    task_id: TaskId
    run: int
    live: LiveRun | None


@dataclass(frozen=True)
class PaceOrder:
    """Limit a task to a percentage of its full speed."""

    task_id: TaskId
    run: int
    percent: int


@dataclass(frozen=True)
class StartCall:
    """Start a run once the journal change that names its worker is committed."""

    live: LiveRun
    payload: str
    change: int
    ticket: str


class LinkEvents(Protocol):
    """What a worker link reports to the pool, and what it waits for."""

    def note_started(self, link: "WorkerLink", live: LiveRun) -> None:
        """Handle a start that the worker accepted."""

    def note_not_started(
        self, link: "WorkerLink", live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Handle a start that was refused or not sent."""

    def note_unknown(self, link: "WorkerLink", live: LiveRun) -> None:
        """Handle a start without an answer: the run may be on the worker."""

    def note_run(self, link: "WorkerLink", row: RunRow) -> None:
        """Handle a run that a poll lists as running."""

    def note_end(self, link: "WorkerLink", row: EndRow) -> None:
        """Handle the end of a run when a poll first lists it."""

    def note_lost(self, link: "WorkerLink", live: LiveRun, reason: str) -> None:
        """Handle a run that is gone from the worker without a reported end."""

    def note_first_look(self, link: "WorkerLink") -> None:
        """Handle the first answered poll: the worker now refuses former owners."""

    def note_superseded(self, source: str) -> None:
        """Handle proof from `source` that the pool has a newer owner."""

    def note_looked(self, link: "WorkerLink") -> None:
        """Handle the end of a poll, when the figures of all runs are known."""

    def choose_look_gap_ms(self) -> float:
        """Return how long to wait between two polls of a worker."""

    async def wait_for_start(self, change: int) -> bool:
        """Wait until a successor would know of a run; return whether it may start."""

    async def wait_for_journal(self) -> bool:
        """Wait a bounded time for the journal; return whether all is committed."""


class Standing(Protocol):
    """What the owner of a pool may do at present."""

    def is_confirmed(self) -> bool:
        """Return whether the log confirmed this owner recently."""

    def may_act(self) -> bool:
        """Return whether no successor can have begun to act."""

    def may_give_up(self) -> bool:
        """Return whether runs of a silent worker may count as ended with its lease."""

    def may_renew(self) -> bool:
        """Return whether leases of workers may be renewed."""
