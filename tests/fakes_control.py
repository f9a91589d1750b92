"""Builders and in-memory fakes for tests of the control stream and the planner."""

from dataclasses import dataclass, field

import msgspec

from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied, Effect, Stamp
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import (
    CataloguePublished,
    HostSeen,
    HostUp,
    Record,
    decode_batch,
    unwrap_record,
)
from bergamotgap.node.host_health import HostList
from bergamotgap.node.planner import Planner
from bergamotgap.node.streams import Stream
from bergamotgap.node.workers import WorkerView
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.platform import (
    HostListing,
    LogRecord,
    PlatformUnavailableError,
)
from bergamotgap.ports.worker import (
    ListedTask,
    TaskRefusedError,
    TaskStatus,
    WorkerStatus,
    WorkerUnreachableError,
)

START_MS = 1_700_000_000_000


def format_catalogue(
    pools: dict[str, tuple[int, int]], availability: float, spare: str | None = None
) -> str:
    """Return a TOML catalogue: pools with (min, max) hosts and one entry in each."""
    parts = ['[[owners]]\nname = "team"\nquota_slots = 100\n']
    for name, (least, most) in pools.items():
        parts.append(
            f'[[pools]]\nname = "{name}"\nmin_hosts = {least}\nmax_hosts = {most}\n'
            f"spare = {str(name == spare).lower()}\n"
            f'[[entries]]\nname = "run-{name}"\nowner = "team"\npool = "{name}"\n'
            'urgency = "normal"\nidempotent = true\ndeadline_ms = 1000\nrun_ms = 10\n'
            f"cpus = 1.0\nmemory_mb = 64\navailability = {availability}\n"
            "checkpointable = true\n"
        )
    return "callers = []\n" + "\n".join(parts)


def build_host_seen(
    host: str, pool: str, index: int = 0, address: str = ""
) -> HostSeen:
    """Return the record of a host; data centre and rack follow from `index`.

    Consecutive hosts are spread over three data centres, with two hosts in each rack.
    """
    centre = index % 3
    return HostSeen(
        host=host,
        address=address or f"127.0.0.1:{9000 + index}",
        data_centre=f"dc-{centre}",
        rack=f"dc-{centre}-rack-{index // 6}",
        cpus=8.0,
        memory_mb=1024,
        accelerators=0,
        slots=8,
        pool=pool,
    )


class ControlLog:
    """Folds records one by one, as a stream would."""

    def __init__(self, state: ControlState | None = None) -> None:
        self.state = state or ControlState()
        self.offset = 0

    def add(self, record: Record) -> Effect:
        """Fold one record at the next offset, one second after the previous one."""
        self.offset += 1
        stamp = Stamp(self.offset, START_MS + 1000 * self.offset)
        return self.state.apply(stamp, record)

    def add_all(self, *records: Record) -> None:
        """Fold records and check that each takes effect."""
        for record in records:
            effect = self.add(record)
            assert effect == Applied(), (record, effect)


def build_log(
    pools: dict[str, tuple[int, int, int]], availability: float
) -> ControlLog:
    """Return a log with a catalogue and serving hosts: pool -> (hosts, min, max)."""
    log = ControlLog()
    limits = {name: (least, most) for name, (_, least, most) in pools.items()}
    document = format_catalogue(limits, availability, spare="spare")
    log.add_all(CataloguePublished(1, 0, document, "operator"))
    index = 0
    for pool, (count, _, _) in pools.items():
        for number in range(count):
            host = f"{pool}-{number}"
            log.add_all(build_host_seen(host, pool, index), HostUp(host, "boot-1"))
            index += 1
    return log


@dataclass
class FakeWorker:
    """One worker: its status and the calls that it received.

    If `is_silent`, it answers no call. If `ignores_assignments`, it answers assignments
    but doesn't apply them.
    """

    pool: str | None
    epoch: int = 1
    boot: int = 1
    state: str = "serving"
    busy: int = 0
    is_silent: bool = False
    ignores_assignments: bool = False
    calls: list[str] = field(default_factory=list)
    tasks: list[ListedTask] = field(default_factory=list)


class FakeWorkers:
    """A worker client for all workers, and the views that a node has of them."""

    def __init__(self, log: ControlLog) -> None:
        self._log = log
        self.by_host = {
            name: FakeWorker(host.pool) for name, host in log.state.hosts.items()
        }

    def _find_worker(self, address: str) -> FakeWorker:
        for name, host in self._log.state.hosts.items():
            if host.facts.address == address and not self.by_host[name].is_silent:
                return self.by_host[name]
        raise WorkerUnreachableError(address)

    def view(self, host: str) -> WorkerView:
        """Return a node's view of the worker after several status calls."""
        worker = self.by_host[host]
        failures = 10 if worker.is_silent else 0
        return WorkerView(status=_read_status(host, worker), failures=failures)

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Return the worker's status."""
        return _read_status(address, self._find_worker(address))

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        """Apply an assignment, or refuse one of an old epoch."""
        worker = self._find_worker(address)
        if epoch < worker.epoch:
            raise TaskRefusedError("stale_epoch")
        if not worker.ignores_assignments:
            worker.pool, worker.epoch = pool, epoch
        worker.calls.append(f"assign {pool} {epoch}")

    async def list_tasks(self, address: str) -> list[ListedTask]:
        """Return the running tasks that a test has set."""
        return list(self._find_worker(address).tasks)

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Record the call; a `stop` also ends the task."""
        worker = self._find_worker(address)
        worker.calls.append(f"{verb} {task}")
        if verb == "stop":
            worker.busy -= 1
            worker.tasks = [item for item in worker.tasks if item.task != task]
        return TaskStatus("stopped", 0, "boot", started=True)

    def _find_worker_with_boot(self, address: str, boot_id: str) -> FakeWorker:
        worker = self._find_worker(address)
        if boot_id != f"boot-{worker.boot}":
            raise TaskRefusedError("wrong_boot")
        return worker

    async def drain(self, address: str, boot_id: str) -> None:
        """Set the worker to draining."""
        worker = self._find_worker_with_boot(address, boot_id)
        worker.state = "draining"
        worker.calls.append("drain")

    async def reboot(self, address: str, boot_id: str) -> None:
        """Return to service at once, with a new boot id."""
        worker = self._find_worker_with_boot(address, boot_id)
        worker.state, worker.busy = "serving", 0
        worker.boot += 1
        worker.calls.append("reboot")


def _read_status(name: str, worker: FakeWorker) -> WorkerStatus:
    return WorkerStatus(
        worker=name,
        time_ms=0,
        arrived_ms=0,
        boot_id=f"boot-{worker.boot}",
        pool=worker.pool,
        epoch=worker.epoch,
        state=worker.state,
        slots=8,
        busy=worker.busy,
        used_cpus=0.0,
        used_memory_mb=0,
        usage_as_of_ms=0,
    )


class FakeControlPlatform:
    """A log that folds records into the control state at once, and a host list."""

    def __init__(self, log: ControlLog, clock: ManualClock) -> None:
        self.log = log
        self.clock = clock
        self.stream: Stream[ControlState] = Stream("control", log.state, clock)
        self.is_up = True
        self.appended: list[Record] = []
        self.listing: HostListing | None = None

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Fold the records of one append, or fail without appending anything."""
        if not self.is_up:
            raise PlatformUnavailableError("down")
        # Tests also fold records into the log's state directly.
        self.stream.load_state(self.log.state, self.log.offset + 1)
        self.log.offset += 1
        self.appended += [unwrap_record(item) for item in decode_batch(body)]
        now_ms = self.clock.wall_ms()
        self.stream.fold_records((LogRecord(self.log.offset, now_ms, record_id, body),))
        return self.log.offset

    async def list_hosts(self) -> HostListing:
        """Return the listing that the test set, or else the recorded hosts."""
        if not self.is_up:
            raise PlatformUnavailableError("down")
        return self.listing or list_hosts(self.log.state, self.clock.wall_ms())


def list_hosts(
    state: ControlState, as_of_ms: int, leaving: tuple[str, ...] = ()
) -> HostListing:
    """Return a listing of the recorded hosts; those in `leaving` are leaving."""
    return HostListing(
        as_of_ms,
        tuple(
            HostFacts(
                **msgspec.to_builtins(host.facts),
                connections=64,
                is_leaving=name in leaving,
            )
            for name, host in state.hosts.items()
        ),
    )


class PlannerHarness:
    """A planner with its fakes; `replace_planner` starts another one on them."""

    def __init__(self, log: ControlLog) -> None:
        self.clock = ManualClock(START_MS + 10_000_000)
        self.platform = FakeControlPlatform(log, self.clock)
        self.workers = FakeWorkers(log)
        self.demand: dict[str, float] = {}
        self.is_planner = True
        self.replace_planner()

    @property
    def state(self) -> ControlState:
        """Return the folded state."""
        return self.platform.log.state

    def find_host(self, address: str) -> str:
        """Return the name of the host at an address."""
        hosts = self.state.hosts.items()
        return next(name for name, host in hosts if host.facts.address == address)

    def replace_planner(self) -> None:
        """Replace the planner by a new one that has only the shared log and workers."""
        writer = StreamWriter(self.platform.stream, self.platform, self.clock, 0)  # type: ignore[arg-type]
        self.host_list = HostList(self.platform, self.clock)
        self.planner = Planner(
            self.platform.stream,
            writer,
            self.host_list,
            self.workers,  # type: ignore[arg-type]
            self.workers.view,
            lambda: self.demand,
            lambda: self.is_planner and self.host_list.is_fresh,
            self.clock,
        )

    async def step(self, rounds: int = 1) -> None:
        """Run planning rounds one second apart."""
        for _ in range(rounds):
            self.clock.advance_ms(1000)
            await self.host_list.refresh()
            await self.planner.step()
