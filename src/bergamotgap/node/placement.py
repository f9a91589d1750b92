"""Give a task a slot and a worker."""

import random
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.control_state import ControlState, HostState
from bergamotgap.domain.outcomes import NotRun
from bergamotgap.domain.retries import NOT_STARTED_CODES
from bergamotgap.domain.routing import choose_worker
from bergamotgap.node.admission import Admission, NotAdmittedError
from bergamotgap.node.workers import Workers, WorkerView

NO_WORKER_RETRY_MS = 1000


@dataclass(frozen=True, slots=True)
class Placement:
    """A worker chosen for one task, with the values that fence the task.

    `worker_time_ms` is the worker's clock in its last status, which arrived at
    `arrived_ms` of our monotonic clock.
    """

    host: str
    address: str
    pool: str
    epoch: int
    boot_id: str
    worker_time_ms: int
    arrived_ms: int

    def translate_ms(self, monotonic_ms: int) -> int:
        """Return our monotonic time on the worker's clock; never too late."""
        return self.worker_time_ms + (monotonic_ms - self.arrived_ms)


class Placer:
    """Choose workers for tasks and learn from how the tasks ended.

    Workers in `data_centre` are preferred as long as they have free slots.
    """

    def __init__(
        self,
        control: Callable[[], ControlState],
        workers: Workers,
        admission: Admission,
        data_centre: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self._control = control
        self._workers = workers
        self._admission = admission
        self._data_centre = data_centre
        self._rng = rng or random.Random()

    @asynccontextmanager
    async def place(
        self,
        entry: Entry,
        deadline_at_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> AsyncIterator[Placement]:
        """Hold a slot and a chosen worker; raises NotAdmittedError.

        Hosts in `avoid` are used only when there is no other.
        """
        async with self._admission.admit(entry, deadline_at_ms) as slot:
            host = self._choose(entry, slot.pool, avoid)
            view = self._workers.view(host.facts.host)
            status = view.status
            if status is None:
                raise NotAdmittedError(_no_worker())
            with self._reserve(entry, host.facts.host, view):
                yield Placement(
                    host=host.facts.host,
                    address=host.facts.address,
                    pool=slot.pool,
                    epoch=host.epoch,
                    boot_id=status.boot_id,
                    worker_time_ms=status.time_ms,
                    arrived_ms=status.arrived_ms,
                )

    @contextmanager
    def _reserve(self, entry: Entry, host: str, view: WorkerView) -> Iterator[None]:
        health = self._workers.health
        is_probe = health.is_ejected(host)
        if is_probe:
            health.begin_probe(host)
        view.running += 1
        view.sent_since_report += 1
        view.reserved_cpus += entry.cpus
        view.reserved_memory_mb += entry.memory_mb
        view.reserved_accelerators += entry.accelerators
        try:
            yield
        finally:
            view.running -= 1
            view.reserved_cpus -= entry.cpus
            view.reserved_memory_mb -= entry.memory_mb
            view.reserved_accelerators -= entry.accelerators
            if is_probe:
                health.end_probe(host)

    def _choose(self, entry: Entry, pool: str, avoid: frozenset[str]) -> HostState:
        hosts = self._workers.list_pool(pool)
        if hosts and not any(_can_ever_fit(entry, host) for host in hosts):
            raise NotAdmittedError(NotRun("does_not_fit", "no host is large enough"))
        chosen = choose_worker(
            self._group_by_distance(hosts),
            self._build_tests(entry, avoid),
            self._score,
            self._rng,
        )
        if chosen is None:
            raise NotAdmittedError(_no_worker())
        return chosen

    def _group_by_distance(self, hosts: list[HostState]) -> list[list[HostState]]:
        local: list[HostState] = []
        remote: list[HostState] = []
        for host in hosts:
            is_local = host.facts.data_centre == self._data_centre
            (local if is_local else remote).append(host)
        return [local, remote]

    def _build_tests(
        self, entry: Entry, avoid: frozenset[str]
    ) -> list[Callable[[HostState], bool]]:
        workers = self._workers

        def is_open(host: HostState) -> bool:
            return workers.is_routable(host) and _can_ever_fit(entry, host)

        def is_usable(host: HostState) -> bool:
            return is_open(host) and self._is_healthy_or_due(entry, host.facts.host)

        def is_other(host: HostState) -> bool:
            return host.facts.host not in avoid and is_usable(host)

        def is_free(host: HostState) -> bool:
            view = workers.view(host.facts.host)
            return (
                view.load < host.facts.slots
                and _fits_now(entry, host, view)
                and is_other(host)
            )

        return [is_free, is_other, is_usable, is_open]

    def _is_healthy_or_due(self, entry: Entry, host: str) -> bool:
        health = self._workers.health
        if not health.is_ejected(host):
            return True
        # A probe may fail, and only idempotent work is run again.
        return entry.idempotent and health.is_probe_due(host)

    def _score(self, host: HostState) -> float:
        name = host.facts.host
        health = self._workers.health
        if health.is_probe_due(name):
            return -1.0
        # A worker that fails at once is nearly idle; its failure rate counts as load.
        load = self._workers.view(name).load / host.facts.slots
        return load + health.failure_rate(name)

    def note_success(self, entry: Entry, host: str, run_ms: float) -> None:
        """Learn that a task ended well after `run_ms`."""
        self._workers.health.note_success(entry.name, host)
        self._admission.note_run(entry, run_ms)

    def note_failure(self, entry: Entry, host: str, code: str) -> None:
        """Learn that a task failed at a host, or that the host refused it.

        `code` is a refusal of the worker, `unreachable`, or any other word for a
        failure of the task or its answer.
        """
        if code == "unreachable":
            self._workers.note_unreachable(host)
        if code in NOT_STARTED_CODES:
            self._workers.note_refusal(host, code)
            return
        self._workers.note_failure(entry.name, host, entry.pool)

    def note_answer(self, host: str, busy: int | None, boot_id: str | None) -> None:
        """Learn from the headers of a worker's answer."""
        self._workers.note_answer(host, busy, boot_id)


def _no_worker() -> NotRun:
    return NotRun(
        "no_worker", "no worker of the pool can take tasks now", NO_WORKER_RETRY_MS
    )


def _can_ever_fit(entry: Entry, host: HostState) -> bool:
    facts = host.facts
    return (
        entry.cpus <= facts.cpus
        and entry.memory_mb <= facts.memory_mb
        and entry.accelerators <= facts.accelerators
    )


def _fits_now(entry: Entry, host: HostState, view: WorkerView) -> bool:
    facts = host.facts
    return (
        entry.cpus + view.reserved_cpus <= facts.cpus
        and entry.memory_mb + view.reserved_memory_mb <= facts.memory_mb
        and entry.accelerators + view.reserved_accelerators <= facts.accelerators
    )
