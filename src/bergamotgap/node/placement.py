"""Placement of tasks: a slot in a pool and a worker that is chosen for the task."""

import random
import secrets
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from types import TracebackType

from bergamotgap.domain.catalogue import Entry, Urgency
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.health import EJECTED, HealthTracker
from bergamotgap.domain.outcomes import NotRun
from bergamotgap.domain.retries import NOT_STARTED_CODES
from bergamotgap.domain.routing import choose_worker
from bergamotgap.domain.task_sizes import SizeEstimates, TaskSize
from bergamotgap.node.admission import Admission, NotAdmittedError, Slot
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.node.workers import Workers, WorkerView
from bergamotgap.ports.worker import WorkerStatus

NO_WORKER_RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker chosen for one task, with the values that fence the task's order.

    `worker_time_ms` is the worker's clock as of its last status, and `arrived_ms` is
    this entry host's monotonic time at which that status arrived. `task` is the id
    under which the task runs. `granted_ms` is the monotonic time at which the slot was
    granted.
    """

    host: str
    address: str
    pool: str
    epoch: int
    boot_id: str
    worker_time_ms: int
    arrived_ms: int
    task: str = field(default_factory=lambda: secrets.token_hex(12))
    granted_ms: int = 0
    was_paused: Callable[[], bool] = lambda: False

    def measure_run_ms(self, now_ms: int) -> int | None:
        """Return the time since the slot was granted, which excludes the queue.

        None for a task that was preempted, since the length of its pause is unknown.
        """
        return None if self.was_paused() else now_ms - self.granted_ms

    def to_worker_time_ms(self, monotonic_ms: int) -> int:
        """Convert this entry host's monotonic time to the worker's clock.

        The result may be early by the delay of the status, but never late.
        """
        return self.worker_time_ms + (monotonic_ms - self.arrived_ms)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A routable worker with this node's view of it and its last status."""

    name: str
    slots: int
    host: HostState
    view: WorkerView
    status: WorkerStatus


class _Reservation:
    """Context that holds a slot and reserves capacity for one task on a worker.

    A class rather than a generator, which costs several microseconds more per request.
    """

    __slots__ = (
        "_admission",
        "_candidate",
        "_choose_worker",
        "_entry",
        "_health",
        "_held_slot",
        "_is_probe",
        "_is_released",
        "_running",
        "_running_task",
        "_size",
        "_slot_context",
        "_was_paused",
    )

    def __init__(
        self,
        entry: Entry,
        slot: AbstractAsyncContextManager[Slot],
        choose_worker: Callable[[str], Candidate],
        health: HealthTracker,
        admission: Admission,
        running: RunningTasks,
        size: TaskSize,
    ) -> None:
        self._entry = entry
        self._slot_context = slot
        self._choose_worker = choose_worker
        self._health = health
        self._admission = admission
        self._running = running
        self._size = size
        self._is_probe = False
        self._is_released = False
        self._was_paused = False

    async def __aenter__(self) -> Placement:
        """Wait for the slot, then choose the worker."""
        slot = await self._slot_context.__aenter__()
        try:
            candidate = self._choose_worker(slot.pool)
        except BaseException:
            await self._slot_context.__aexit__(*sys.exc_info())
            raise
        self._candidate = candidate
        self._reserve_worker(candidate)
        self._held_slot = slot
        facts = candidate.host.facts
        placement = Placement(
            host=facts.host,
            address=facts.address,
            pool=slot.pool,
            epoch=candidate.host.epoch,
            boot_id=candidate.status.boot_id,
            worker_time_ms=candidate.status.time_ms,
            arrived_ms=candidate.status.arrived_ms,
            granted_ms=slot.granted_ms,
            was_paused=self._get_was_paused,
        )
        self._running_task = RunningTask(
            task=placement.task,
            host=facts.host,
            address=facts.address,
            pool=slot.pool,
            entry=self._entry,
            is_lent=slot.is_lent,
            started_ms=slot.granted_ms,
            reservation=self,
        )
        self._running.add(self._running_task)
        return placement

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the reserved capacity, then the slot."""
        self._running.remove(self._running_task)
        # The running task and this object refer to each other; break the cycle.
        del self._running_task
        if not self._is_released:
            self._release_capacity(self._candidate.view)
        self._is_released = True
        if self._is_probe:
            self._health.end_probe(self._candidate.name)
        await self._slot_context.__aexit__(kind, error, trace)

    def release_while_paused(self) -> None:
        """Release the slot and the reserved capacity while the task is paused."""
        if self._is_released:
            return
        self._is_released = self._was_paused = True
        view = self._candidate.view
        self._release_capacity(view)
        view.busy = max(0, view.busy - 1)
        self._admission.pause(self._held_slot)

    def _get_was_paused(self) -> bool:
        return self._was_paused

    def reacquire(self) -> None:
        """Count the slot and the capacity as taken again, unless the task has ended."""
        if not self._held_slot.ticket.is_paused or self._held_slot.ticket.is_ended:
            return
        self._is_released = False
        self._reserve_capacity(self._candidate.view)
        self._admission.resume(self._held_slot)

    def _reserve_worker(self, candidate: Candidate) -> None:
        self._reserve_capacity(candidate.view)
        candidate.view.sent_since_report += 1
        self._is_probe = self._health.is_ejected(candidate.name)
        if self._is_probe:
            self._health.begin_probe(candidate.name)

    def _reserve_capacity(self, view: WorkerView) -> None:
        view.running += 1
        view.reserved_cpus += self._size.cpus
        view.reserved_memory_mb += self._size.memory_mb
        view.reserved_accelerators += self._entry.accelerators

    def _release_capacity(self, view: WorkerView) -> None:
        view.running -= 1
        view.reserved_cpus -= self._size.cpus
        view.reserved_memory_mb -= self._size.memory_mb
        view.reserved_accelerators -= self._entry.accelerators


class Placer:
    """Chooses workers for tasks and records the results of the tasks.

    Workers in `data_centre` are preferred as long as they have free slots.
    `request_preemption(pool)` is called when a worker refuses urgent work because it
    is busy.
    """

    def __init__(
        self,
        control: Callable[[], ControlState],
        workers: Workers,
        admission: Admission,
        data_centre: str = "",
        rng: random.Random | None = None,
        running: RunningTasks | None = None,
        sizes: SizeEstimates | None = None,
        request_preemption: Callable[[str], None] = lambda pool: None,
    ) -> None:
        self._request_preemption = request_preemption
        self._control = control
        self._workers = workers
        self._admission = admission
        self._data_centre = data_centre
        self._rng = rng or random.Random()
        self._running = running or RunningTasks()
        self._sizes = sizes or SizeEstimates()
        self._groups: dict[str, tuple[list[HostState], list[list[Candidate]]]] = {}

    def place(
        self,
        entry: Entry,
        deadline_at_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> AbstractAsyncContextManager[Placement]:
        """Return a context that waits for a slot and holds it with a chosen worker.

        Entering it raises NotAdmittedError. Hosts in `avoid` are chosen only if there
        is no other.
        """
        slot = self._admission.admit(entry, deadline_at_ms)
        return _Reservation(
            entry,
            slot,
            lambda pool: self._choose_worker(entry, pool, avoid),
            self._workers.health,
            self._admission,
            self._running,
            self._sizes.estimate(entry),
        )

    def _choose_worker(
        self, entry: Entry, pool: str, avoid: frozenset[str]
    ) -> Candidate:
        groups = self._group_by_data_centre(pool)
        chosen = choose_worker(groups, self._build_raters(entry, avoid), self._rng)
        if chosen is not None:
            return chosen
        hosts = self._workers.list_pool_hosts(pool)
        if hosts and not any(_fits_host(entry, host) for host in hosts):
            raise NotAdmittedError(NotRun("does_not_fit", "no host is large enough"))
        raise NotAdmittedError(_build_no_worker_outcome())

    def _group_by_data_centre(self, pool: str) -> list[list[Candidate]]:
        hosts = self._workers.list_routable_hosts(pool)
        cached = self._groups.get(pool)
        if cached is not None and cached[0] is hosts:
            return cached[1]
        groups: list[list[Candidate]] = [[], []]
        for host in hosts:
            facts = host.facts
            view = self._workers.view(facts.host)
            if view.status is not None:
                candidate = Candidate(facts.host, facts.slots, host, view, view.status)
                groups[facts.data_centre != self._data_centre].append(candidate)
        self._groups[pool] = (hosts, groups)
        return groups

    def _build_raters(
        self, entry: Entry, avoid: frozenset[str]
    ) -> list[Callable[[Candidate], float | None]]:
        """Return the functions that rate candidates, from the strictest to the loosest.

        A lower score is better, and None excludes the candidate.
        """
        health = self._workers.health
        size = self._sizes.estimate(entry)

        def rate_fitting(item: Candidate) -> float | None:
            return item.view.load if _fits_host(entry, item.host) else None

        def rate_healthy(item: Candidate) -> float | None:
            rate = health.get_failure_rate(item.name)
            # A rate below 0 means that a probe of an ejected worker is due. The probe
            # may fail, so only idempotent work, which can be retried, is used for it.
            if rate >= EJECTED or (rate < 0 and not entry.idempotent):
                return None
            if not _fits_host(entry, item.host):
                return None
            # A worker whose tasks fail at once is nearly idle and would attract work,
            # so its failure rate is added to its load.
            return rate + item.view.load / item.slots

        def rate_not_avoided(item: Candidate) -> float | None:
            return None if item.name in avoid else rate_healthy(item)

        def rate_with_free_capacity(item: Candidate) -> float | None:
            view = item.view
            if view.load >= item.slots or not _fits_free_capacity(
                entry, size, item.host, view
            ):
                return None
            return rate_not_avoided(item)

        return [rate_with_free_capacity, rate_not_avoided, rate_healthy, rate_fitting]

    def record_success(self, entry: Entry, host: str, run_ms: float | None) -> None:
        """Record that a task succeeded, and its run time unless that is unknown."""
        self._workers.health.record_success(entry.name, host)
        if run_ms is not None:
            self._admission.record_run_time(entry, run_ms)

    def record_failure(self, entry: Entry, host: str, code: str) -> None:
        """Record that a task failed on a host, or that the host refused it.

        `code` is the worker's refusal code, `unreachable`, or any other value for a
        failure of the task or its answer.
        """
        if code == "unreachable":
            self._workers.record_unreachable(host)
        if code in NOT_STARTED_CODES:
            self._workers.record_refusal(host, code)
            if code == "busy" and entry.urgency is Urgency.URGENT:
                # This entry host granted a slot within its share, so other entry hosts
                # must hold more than theirs.
                self._request_preemption(entry.pool)
            return
        self._workers.record_failure(entry.name, host, entry.pool)

    def record_answer(self, host: str, busy: int | None, boot_id: str | None) -> None:
        """Record the number of busy slots and the boot id from an answer's headers."""
        self._workers.record_answer(host, busy, boot_id)


def _build_no_worker_outcome() -> NotRun:
    return NotRun(
        "no_worker",
        "no worker of the pool can take tasks now",
        NO_WORKER_RETRY_AFTER_MS,
    )


def _fits_host(entry: Entry, host: HostState) -> bool:
    facts = host.facts
    return (
        entry.cpus <= facts.cpus
        and entry.memory_mb <= facts.memory_mb
        and entry.accelerators <= facts.accelerators
    )


def _fits_free_capacity(
    entry: Entry, size: TaskSize, host: HostState, view: WorkerView
) -> bool:
    facts = host.facts
    return (
        size.cpus + view.reserved_cpus <= facts.cpus
        and size.memory_mb + view.reserved_memory_mb <= facts.memory_mb
        and entry.accelerators + view.reserved_accelerators <= facts.accelerators
    )
