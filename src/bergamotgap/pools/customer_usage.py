"""Use of customers' caps in one pool, and what the pool's owner may start."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.amounts import NOTHING, Amount, total
from bergamotgap.domain.cap_grants import HeldGrants
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.customer_caps import (
    BaseShare,
    CustomerUse,
    can_ever_fit,
    count_fitting,
    fits_share,
    list_caps,
    measure_base_share,
    measure_fraction,
    permits_start,
)
from bergamotgap.domain.fleet import NO_SIZE, FleetConfig, Size, sum_sizes
from bergamotgap.domain.job_state import Job
from bergamotgap.pools.customer_runs import CustomerRuns, add_size
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.ports.pool_peer import CapCall, CapReply

# The oldest job that the cap has held back for the first time keeps back its customer's
# other jobs for the second; otherwise a large task would never start beside a stream of
# small ones. The second is limited, since the share may be in use elsewhere for long.
RESERVE_AFTER_MS = 2000
RESERVATION_MS = 2000
# Shortest time between two lines about one customer at its cap.
CAP_LOG_GAP_MS = 1000

log = get_logger(__name__)


@dataclass
class HeldBack:
    """The first task or gang of a customer that the cap held back in a pass."""

    job_id: str
    since_ms: int
    pass_number: int
    size: Size


@dataclass(frozen=True)
class CapState:
    """What limits the starts of a customer in this pool.

    `share` is the part of the cap that may be used here, of which `granted` is held
    beyond the base share. Only the job `reserved_for`, if any, may start.
    """

    cap: Size
    used: Size
    share: float
    granted: float
    has_permit: bool
    reserved_for: str


@dataclass
class StartableWork:
    """Waiting work that the caps permit, for the pool's demand.

    `tasks` limits the waiting tasks that count of the jobs that it names, `held_back`
    are the customers with more, and `held_back_use` is what those use.
    """

    jobs: list[Job]
    tasks: dict[str, int] = field(default_factory=dict)
    held_back: set[str] = field(default_factory=set)
    held_back_use: Amount = NOTHING


class CustomerUsage:
    """Count the use of capped customers in a pool and hold the pool's grants."""

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        run_tracker: RunTracker,
        clock: Clock,
    ) -> None:
        term = run_tracker.ownership.term
        self._pool = pool
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._clock = clock
        self._caps: dict[str, Size] = {}
        self._base = BaseShare()
        if term.number == 1:
            # Owners of other pools may not know yet that this pool exists.
            self._base.record(clock.monotonic_ms(), 0.0)
        self._held = HeldGrants(term.token)
        self._runs = CustomerRuns(job_table, run_tracker, clock)
        # Jobs that the cap held back in the present pass.
        self._refused: set[str] = set()
        self._held_back: dict[str, HeldBack] = {}
        # The oldest job of each customer that was held back in the present pass, and
        # the one of the last pass with the time since when it is the oldest.
        self._oldest: dict[str, Job] = {}
        self._reserved: dict[str, tuple[str, int]] = {}
        self._pass_number = 0
        self._logged_ms: dict[str, int] = {}

    def update_config(self, config: FleetConfig) -> None:
        """Apply the caps and the number of pools of a newer configuration."""
        self._base.record(
            self._clock.monotonic_ms(), measure_base_share(config, self._pool)
        )
        self._caps = list_caps(config)

    def require_coordinator(self, token: int) -> None:
        """Refuse the grants of coordinators before the one with this token."""
        self._held.require_token(token)

    def begin_pass(self) -> None:
        """Begin a placement pass: forget what the last one didn't hold back."""
        self._refused.clear()
        if not self._caps:
            self._held_back.clear()
            return
        self._held_back = {
            customer: held
            for customer, held in self._held_back.items()
            if held.pass_number == self._pass_number
        }
        self._pass_number += 1
        self._update_reservations()
        self._runs.expire()

    def _update_reservations(self) -> None:
        now_ms = self._clock.monotonic_ms()
        reserved = {}
        for customer, job in self._oldest.items():
            job_id, since_ms = self._reserved.get(customer, ("", now_ms))
            is_over = now_ms - since_ms >= RESERVE_AFTER_MS + RESERVATION_MS
            if job_id != job.job_id or is_over:
                since_ms = now_ms
            reserved[customer] = (job.job_id, since_ms)
        self._reserved = reserved
        self._oldest = {}

    def _get_reserved_job(self, customer: str) -> str:
        """Return the job that keeps back the customer's other jobs, if any."""
        job_id, since_ms = self._reserved.get(customer, ("", 0))
        passed_ms = self._clock.monotonic_ms() - since_ms
        return job_id if passed_ms >= RESERVE_AFTER_MS else ""

    def may_start(self, job: Job, size: Size, count: int = 1) -> bool:
        """Return whether the cap of a job's customer permits a task, or a whole gang.

        `size` is that of one task. A refusal counts as held back by the cap, so it must
        only be asked for what could start otherwise.
        """
        customer = job.spec.customer
        cap = self._caps.get(customer)
        if cap is None:
            return True
        used = self._runs.count(customer)
        share = self.measure_share(customer)
        is_first = self._get_reserved_job(customer) in ("", job.job_id)
        has_permit = customer in self._held.permits
        if is_first and permits_start(used, size, share, cap, count, has_permit):
            # The caller starts it now.
            self._runs.expire_changed_runs()
            return True
        self._refused.add(job.job_id)
        if self._can_ever_start(customer, size, count):
            self._hold_back(job, Size(*(count * part for part in size)), used, share)
        return False

    def _can_ever_start(self, customer: str, size: Size, count: int) -> bool:
        """Return whether a gang could start if its customer used nothing else.

        One that can't must not hold back others or take a share from them.
        """
        base = self._base.measure(self._clock.monotonic_ms())
        return can_ever_fit(size, base, self._caps[customer], count)

    def may_restart(self, job: Job, size: Size, count: int) -> bool:
        """Return whether the cap will permit tasks of which one runs and others wait.

        Unlike `may_start` it holds nothing back, since nothing is to start yet.
        """
        customer = job.spec.customer
        state = self.describe_cap(customer)
        if state is None:
            return True
        running = self._runs.count(customer)
        used = [part - own for part, own in zip(running, size, strict=True)]
        is_first = state.reserved_for in ("", job.job_id)
        return is_first and permits_start(
            used, size, state.share, state.cap, count, state.has_permit
        )

    def is_at_cap(self, job: Job, size: Size, count: int) -> bool:
        """Return whether a cap that was reached in this pass holds back a job, too.

        Spares the search for a worker for each waiting job of a customer at its cap.
        """
        held_back = self._held_back.get(job.spec.customer)
        if held_back is None or held_back.pass_number != self._pass_number:
            return False
        return not self.may_start(job, size, count)

    def is_held_back(self, job: Job) -> bool:
        """Return whether the cap held back a job in the present pass."""
        return job.job_id in self._refused

    def measure_share(self, customer: str) -> float:
        """Return the share of a customer's cap that may be used in this pool."""
        now_ms = self._clock.monotonic_ms()
        return self._base.measure(now_ms) + self._held.grants.get(customer, 0.0)

    def describe_cap(self, customer: str) -> CapState | None:
        """Return what limits a customer's starts now; None without a cap."""
        cap = self._caps.get(customer)
        if cap is None:
            return None
        return CapState(
            cap,
            Size(*self._runs.measure(customer)),
            self.measure_share(customer),
            self._held.grants.get(customer, 0.0),
            customer in self._held.permits,
            self._get_reserved_job(customer),
        )

    def _hold_back(
        self, job: Job, size: Size, used: Sequence[int], share: float
    ) -> None:
        customer, now_ms = job.spec.customer, self._clock.monotonic_ms()
        former = self._held_back.get(customer)
        oldest = self._oldest.setdefault(customer, job)
        if job.arrived_ms < oldest.arrived_ms:
            self._oldest[customer] = job
        is_known = former is not None and former.pass_number == self._pass_number
        if is_known and self._get_reserved_job(customer) != job.job_id:
            return
        since_ms = former.since_ms if former else now_ms
        self._held_back[customer] = HeldBack(
            job.job_id, since_ms, self._pass_number, size
        )
        if now_ms - self._logged_ms.get(customer, -CAP_LOG_GAP_MS) >= CAP_LOG_GAP_MS:
            self._logged_ms[customer] = now_ms
            cap = self._caps[customer]
            log.info(
                "customer cap reached",
                customer=customer,
                pool=self._pool,
                job=job.job_id,
                used=round(measure_fraction(used, cap), 4),
                share=round(share, 4),
                next=round(measure_fraction(size, cap), 4),
            )

    def answer(self, call: CapCall) -> CapReply:
        """Apply a call of the coordinator and return what the pool uses and wants."""
        held = self._held
        if held.apply(
            call.token, call.sequence, call.owner_token, call.grants, call.permits
        ):
            self._run_tracker.placement_needed.set()
        return CapReply(
            held.owner_token,
            held.token,
            held.sequence,
            self._base.measure(self._clock.monotonic_ms()),
            self.list_uses(),
        )

    def list_uses(self) -> dict[str, CustomerUse]:
        """Return the use of each capped customer that has jobs, use or a grant."""
        if not self._caps and not self._held.grants:
            return {}
        now_ms = self._clock.monotonic_ms()
        waiting = self._sum_waiting()
        free = [0, 0, 0]
        for link in self._run_tracker.list_usable_links(now_ms):
            add_size(free, link.info.capacity, 1)
            capacity = link.capacity
            add_size(
                free,
                (capacity.used_cpu, capacity.used_memory_mb, capacity.used_gpus),
                -1,
            )
        self._runs.expire()
        uses = {}
        for customer in sorted({*self._caps, *self._held.grants}):
            use = self._build_use(customer, waiting.get(customer, NO_SIZE), free)
            if use != CustomerUse():
                uses[customer] = use
        return uses

    def _build_use(
        self, customer: str, waiting: Sequence[int], free: Sequence[int]
    ) -> CustomerUse:
        cap = self._caps.get(customer, Size())
        known = self._runs.count_known(customer)
        held_back = self._held_back.get(customer)
        size = held_back.size if held_back else NO_SIZE
        startable = [
            min(part, max(free_part, size_part))
            for part, free_part, size_part in zip(waiting, free, size, strict=True)
        ]
        least, waits_ms = 0.0, 0
        if held_back is not None:
            lasting = self._runs.count_lasting(customer)
            least = measure_fraction(sum_sizes(lasting, size), cap)
            since_ms = max(held_back.since_ms, self._runs.get_started_ms(customer))
            waits_ms = self._clock.monotonic_ms() - since_ms
        return CustomerUse(
            self._held.grants.get(customer, 0.0),
            measure_fraction(self._runs.count(customer), cap),
            measure_fraction(sum_sizes(known, startable), cap),
            measure_fraction(sum_sizes(known, waiting), cap),
            least,
            waits_ms,
            customer in self._held.permits,
        )

    def _sum_waiting(self) -> dict[str, list[int]]:
        waiting: dict[str, list[int]] = {}
        for job in self._job_table.pending.values():
            if job.spec.customer not in self._caps:
                continue
            sums = waiting.setdefault(job.spec.customer, list(NO_SIZE))
            for step in job.list_ready_steps():
                size, members = step.spec.size, step.spec.count
                if not step.spec.is_gang or self._can_ever_start(
                    job.spec.customer, size, members
                ):
                    add_size(sums, size, step.waiting_tasks)
        return waiting

    def limit_demand(self, jobs: Iterable[Job]) -> StartableWork:
        """Return the waiting work without what the caps hold back."""
        if not self._caps:
            return StartableWork(list(jobs))
        self._runs.expire()
        work = StartableWork([])
        used: dict[str, list[int]] = {}
        for job in jobs:
            customer = job.spec.customer
            cap = self._caps.get(customer)
            if cap is None:
                work.jobs.append(job)
                continue
            if customer not in used:
                used[customer] = self._runs.count(customer)
            startable = self._count_startable(job, used[customer], cap, work)
            if startable:
                work.jobs.append(job)
                work.tasks[job.job_id] = startable
        work.held_back_use = total(
            [Amount(*self._runs.count_known(customer)) for customer in work.held_back]
        )
        return work

    def _count_startable(
        self, job: Job, used: list[int], cap: Size, work: StartableWork
    ) -> int:
        """Return how many waiting tasks of a job fit, and add them to the use."""
        customer = job.spec.customer
        share = self.measure_share(customer)
        startable = 0
        for step in job.list_ready_steps():
            waiting = step.waiting_tasks
            size = step.spec.size
            fitting = count_fitting(used, size, share, cap, waiting)
            if step.spec.is_gang and fitting < waiting:
                fitting = 0
            if not fitting and customer in self._held.permits:
                count = waiting if step.spec.is_gang else min(1, waiting)
                fitting = count * fits_share(used, size, share, cap, count, 1)
            if fitting < waiting:
                work.held_back.add(customer)
            add_size(used, size, fitting)
            startable += fitting
        return startable
