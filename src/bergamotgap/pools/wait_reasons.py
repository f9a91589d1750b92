"""Lines about jobs that wait: the reason, and what keeps a task off each worker."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.placement_explanation import find_obstacle
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.former_runs import FORMER_RUN, describe_state, find_held_task
from bergamotgap.pools.job_queues import JobQueues
from bergamotgap.pools.lasting_room import accepts_held_back
from bergamotgap.pools.possible_runs import PossibleRun, PossibleRuns
from bergamotgap.pools.ticket_cache import TicketCache
from bergamotgap.pools.worker_link import WorkerLink

# Shortest time between two lines about one job that waits.
WAIT_LOG_GAP_MS = 1000
# A job that goes on waiting for the same reason gets a line again after this time, or
# later if more jobs wait than may get such lines.
REPEAT_GAP_MS = 5000
MAX_REPEATS_PER_S = 20
# Lines with a new reason for which workers are examined in a second.
MAX_EXAMINED_PER_S = 10
# Different obstacles that a line names; the workers with others are counted together.
MAX_OBSTACLES = 8
# No room is left for short work if the job takes a worker: see `LastingRoom`.
OWN_HOST = "own_host"

log = get_logger(__name__)


@dataclass(frozen=True)
class _LastLine:
    """The last line about a job that waits."""

    reason: str
    logged_ms: int


class WaitLog:
    """Log why jobs wait, within a bounded number of lines and of examined workers."""

    def __init__(
        self,
        pool: str,
        links: Mapping[str, WorkerLink],
        possible_runs: PossibleRuns,
        queues: JobQueues,
        ticket_cache: TicketCache,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._links = links
        self._possible_runs = possible_runs
        self._queues = queues
        self._ticket_cache = ticket_cache
        self._clock = clock
        self._last_lines: dict[str, _LastLine] = {}
        # Lines of the present second for which workers were examined: those that repeat
        # a reason (True) and the others.
        self._second = 0
        self._examined: Counter[bool] = Counter()

    def forget_job(self, job_id: str) -> None:
        """Forget a job that ended or was placed."""
        self._last_lines.pop(job_id, None)

    def record(self, job: Job, reason: str, pending: int) -> None:
        """Log why a job waits, unless its last line says so or is too new.

        With few workers the reason can change with each pass. `pending` is the number
        of jobs that wait.
        """
        now_ms = self._clock.monotonic_ms()
        last = self._last_lines.get(job.job_id)
        is_repeated = last is not None and last.reason == reason
        if last is not None:
            repeat_gap_ms = max(
                REPEAT_GAP_MS, pending * MS_PER_SECOND // MAX_REPEATS_PER_S
            )
            gap_ms = repeat_gap_ms if is_repeated else WAIT_LOG_GAP_MS
            if now_ms - last.logged_ms < gap_ms:
                return
        may_examine = self._may_examine(now_ms, is_repeated)
        if is_repeated and not may_examine:
            return
        self._last_lines[job.job_id] = _LastLine(reason, now_ms)
        task = self._find_task(job, reason)
        former = self._find_former_run(task)
        obstacles = "not_examined"
        if may_examine:
            self._examined[is_repeated] += 1
            found = self._list_obstacles(job, task, reason, now_ms) if task else ()
            obstacles = summarize_obstacles(found)
        log.info(
            "job waits",
            job=job.job_id,
            pool=self._pool,
            reason=reason,
            age_ms=now_ms - job.arrived_ms,
            hungry=pending,
            workers=len(self._links),
            task=task.task_id if task else "",
            run=task.run if task else 0,
            obstacles=obstacles,
            former_worker=former.worker_id if former else "",
            former_run=former.run if former else 0,
            former_state=(
                describe_state(task.task_id, former, self._links)
                if task and former
                else ""
            ),
        )

    def _find_task(self, job: Job, reason: str) -> Task | None:
        """Return the waiting task that a line names."""
        held = (
            find_held_task(job, self._possible_runs) if reason == FORMER_RUN else None
        )
        return held or _find_waiting_task(job)

    def _find_former_run(self, task: Task | None) -> PossibleRun | None:
        """Return the first run that holds a task, if any."""
        runs = self._possible_runs.list_runs(task.task_id) if task else ()
        return next(iter(runs), None)

    def _may_examine(self, now_ms: int, is_repeated: bool) -> bool:
        second = now_ms // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._examined.clear()
        limit = MAX_REPEATS_PER_S if is_repeated else MAX_EXAMINED_PER_S
        return self._examined[is_repeated] < limit

    def _list_obstacles(
        self, job: Job, task: Task, reason: str, now_ms: int
    ) -> list[str]:
        """Return what keeps a task off each worker; `fits` for a worker without."""
        queue = self._queues.get(job)
        needs_ticket = queue is not None and queue.needs_advice
        tickets = self._ticket_cache.find_tickets(task.task_id) if needs_ticket else {}
        is_trial = job.get_step(task).has_suspects
        obstacles = []
        for link in self._links.values():
            obstacle = _find_worker_obstacle(link, task, is_trial, now_ms)
            if not obstacle and needs_ticket and link.worker_id not in tickets:
                obstacle = "needs_ticket"
            if not obstacle and reason == OWN_HOST and not accepts_held_back(link):
                obstacle = OWN_HOST
            obstacles.append(obstacle or "fits")
        return obstacles


def summarize_obstacles(obstacles: Iterable[str]) -> str:
    """Return the most frequent obstacles and the number of workers with each."""
    counts = Counter(obstacles).most_common()
    named = [f"{obstacle}:{count}" for obstacle, count in counts[:MAX_OBSTACLES]]
    if others := sum(count for _, count in counts[MAX_OBSTACLES:]):
        named.append(f"other:{others}")
    return ",".join(named)


def _find_waiting_task(job: Job) -> Task | None:
    """Return the first waiting task of a step that may start, of a trial if any."""
    waiting = [
        (step, task)
        for step in job.list_ready_steps()
        if (task := _find_first_waiting(step.tasks)) is not None
    ]
    trials = [task for step, task in waiting if step.has_suspects]
    return next(iter([*trials, *(task for _, task in waiting)]), None)


def _find_first_waiting(tasks: Iterable[Task]) -> Task | None:
    return next((task for task in tasks if task.phase is TaskPhase.WAITING), None)


def _find_worker_obstacle(
    link: WorkerLink, task: Task, is_trial: bool, now_ms: int
) -> str:
    if obstacle := link.get_obstacle(now_ms):
        return obstacle
    is_own_trial = is_trial and link.trial_job == task.task_id.job
    if link.trial_job and not is_own_trial:
        return "reserved_for_trial"
    if obstacle := find_obstacle(link.capacity, task):
        return obstacle
    return "needs_empty_worker" if is_trial and not link.is_empty else ""
