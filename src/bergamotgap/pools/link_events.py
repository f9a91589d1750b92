"""Orders to one worker, and what its link tells the pool."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bergamotgap.domain.fleet import TaskId
from bergamotgap.domain.job_state import Task
from bergamotgap.ports.fleet import EndRow, OrderOutcome, RunRow

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
    accepted_ms: int | None = None
    barred_ms: int | None = None
    is_stop_wanted: bool = False
    is_stop_sent: bool = False


@dataclass(frozen=True)
class StopOrder:
    """Stop a run and bar it."""

    task_id: TaskId
    run: int
    live: LiveRun | None


@dataclass(frozen=True)
class PaceOrder:
    """Let a task work at a share of its speed."""

    task_id: TaskId
    run: int
    percent: int


@dataclass(frozen=True)
class StartCall:
    """Start a run."""

    live: LiveRun
    payload: str
    change: int
    ticket: str


class LinkEvents(Protocol):
    """What the pool hears from its links."""

    def note_started(self, link: "WorkerLink", live: LiveRun) -> None:
        """Take an answered start."""

    def note_not_started(
        self, link: "WorkerLink", live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Take a start that was refused or not sent."""

    def note_unknown(self, link: "WorkerLink", live: LiveRun) -> None:
        """Take a start without an answer."""

    def note_run(self, link: "WorkerLink", row: RunRow) -> None:
        """Take a run that is on the worker."""

    def note_end(self, link: "WorkerLink", row: EndRow) -> None:
        """Take an end when it is first listed."""

    def note_lost(self, link: "WorkerLink", live: LiveRun, reason: str) -> None:
        """Take a run that is gone and left no end."""

    def note_first_look(self, link: "WorkerLink") -> None:
        """Take a worker that now refuses former owners."""

    def note_superseded(self, source: str) -> None:
        """Take the word that there is a newer owner."""

    def note_looked(self, link: "WorkerLink") -> None:
        """Take the end of a look, when all runs' figures are known."""

    def choose_look_gap_ms(self) -> float:
        """Return how long to rest between two looks at a worker."""

    async def wait_for_start(self, change: int) -> bool:
        """Wait until a successor would know of a run; tell whether it may start."""

    async def wait_for_journal(self) -> bool:
        """Wait until what was heard lasts, for a bounded time; tell if it does."""


class Standing(Protocol):
    """Whether the owner may act."""

    def is_confirmed(self) -> bool:
        """Tell whether the log confirmed this owner a short time ago."""

    def may_act(self) -> bool:
        """Tell whether no successor can have begun to act."""

    def may_give_up(self) -> bool:
        """Tell whether a silent worker's runs may be taken for ended."""

    def may_renew(self) -> bool:
        """Tell whether leases may be renewed."""
