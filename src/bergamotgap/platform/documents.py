"""Decode the platform's documents: configuration, worker reports, waves and jobs."""

import ipaddress
import re
from typing import Any, TypeVar

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.customers import (
    Customer,
    Customers,
    InvalidCustomersError,
    build_customers,
)
from bergamotgap.domain.fleet import (
    FleetConfig,
    HostInfo,
    JobSpec,
    Queue,
    Size,
    StepSpec,
    TaskId,
    Wave,
    WorkerInfo,
    WorkerState,
)
from bergamotgap.platform.client_limits import convert_limits
from bergamotgap.platform.figures import Natural, Positive, Quantity, Whole
from bergamotgap.pools.fleet_view import DocumentFormat, UnreadableDocumentError

OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
MAX_PORT = 65_535
MAX_HOST_NAME = 253
_HOST_LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST_NAME = re.compile(rf"{_HOST_LABEL}(\.{_HOST_LABEL})*\.?")
TASK_NAME = re.compile(r"([^.]*)" + 3 * r"\.([0-9]{1,15})")
# Tasks of a job in all its occurrences.
MAX_TASKS_PER_JOB = 100_000
MAX_SPECIFICATION_BYTES = 4000

T = TypeVar("T")
log = get_logger(__name__)


class _Route(msgspec.Struct, rename="camel"):
    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    priority: Whole = 0
    retry_attempts: Natural = 1
    stretch: Quantity = 1.0
    target_latency_ms: Quantity = 0
    timeout_ms: Quantity = 0
    advice: Any = None
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    spare: bool = False


class _Cap(msgspec.Struct, rename="camel"):
    cpu: Natural = 0
    requested_memory_mb: Natural = 0
    gpus: Natural = 0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    weight: Quantity = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Config(msgspec.Struct):
    version: Natural
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: Any = None


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Natural = 0
    requested_memory_mb: Natural = 0
    gpus: Natural = 0


class _Entry(msgspec.Struct, rename="camel"):
    """A worker's report; one without these fields is another writer's."""

    service: str
    address: str
    zone: str
    version: str
    slots: Natural
    state: str
    cold_remaining_ms: Quantity
    sequence: Natural
    capacity: _Capacity
    labels: list[str]
    born: Natural = 0
    machine: str = ""


class _Wave(msgspec.Struct, rename="camel"):
    wave: Natural
    machines: list[str]
    duration_s: Quantity = msgspec.field(name="durationS", default=0.0)
    cap: Natural = 1


class _Step(msgspec.Struct, rename="camel"):
    count: Positive
    cpu: Natural = 0
    requested_memory_mb: Natural = 0
    gpus: Natural = 0
    estimated_ms: Quantity = 0
    after: tuple[Natural, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: Any = ""
    data_rack: str = ""
    anti_affinity: Natural = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Quantity = 0
    fills: bool = False
    may_miss: Natural = 0


class _Job(msgspec.Struct, rename="camel"):
    steps: list[_Step]
    specification: str = ""
    repetitions: Natural = 0
    start_at_ms: Natural = 0
    interval_ms: Natural = 0


class _Host(msgspec.Struct):
    machine: str
    pool: str = ""
    state: str = ""
    zone: str = ""
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    id: str | None = ""
    labels: list[str] = []


class HostPage(msgspec.Struct, rename="camel"):
    """One page of the platform's list of machines."""

    machines: list[msgspec.Raw]
    next_page_token: str | None = None

    def list_hosts(self) -> list[HostInfo]:
        """Return the hosts listed on the page, without rows that can't be decoded."""
        hosts = []
        for row in self.machines:
            try:
                hosts.append(_convert_host(decode_document(bytes(row), _Host)))
            except UnreadableDocumentError as error:
                log.debug("row of the list of hosts not decoded", error=str(error))
        return hosts


def _convert_host(host: _Host) -> HostInfo:
    return HostInfo(
        host.machine,
        host.pool,
        host.state,
        host.id or "",
        host.zone,
        host.capacity.cpu,
        frozenset(host.labels),
        host.capacity.requested_memory_mb,
        host.capacity.gpus,
    )


def build_document_format() -> DocumentFormat:
    """Return the keys and decoders that FleetView needs."""
    return DocumentFormat(
        CONFIG_KEY, WAVE_PREFIX, decode_config, decode_wave, decode_worker
    )


def decode_config(value: bytes) -> FleetConfig:
    """Decode the fleet's configuration; raises UnreadableDocumentError."""
    document = decode_document(value, _Config)
    queues = tuple(
        Queue(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            service=route.service,
            urgency=route.priority,
            attempts=max(1, route.retry_attempts),
            stretch=route.stretch,
            target_latency_ms=int(route.target_latency_ms),
            timeout_ms=int(route.timeout_ms),
            needs_advice=bool(route.advice),
            is_public=route.public,
        )
        for route in document.routes
    )
    return FleetConfig(
        document.version,
        queues,
        tuple(service.name for service in document.services),
        frozenset(service.name for service in document.services if service.spare),
        _convert_tenants(document.tenants),
        convert_limits(document.limits),
    )


def _convert_tenants(tenants: list[_Tenant] | None) -> Customers | None:
    if tenants is None:
        return None
    rows = [
        (
            Customer(
                tenant.name,
                tenant.weight,
                Size(tenant.cap.cpu, tenant.cap.requested_memory_mb, tenant.cap.gpus),
            ),
            tenant.api_keys,
        )
        for tenant in tenants
    ]
    try:
        return build_customers(rows)
    except InvalidCustomersError as error:
        raise UnreadableDocumentError(f"malformed config document: {error}") from error


def decode_worker(worker_id: str, value: bytes) -> WorkerInfo:
    """Decode a worker's report; raises UnreadableDocumentError."""
    entry = decode_document(value, _Entry)
    if entry.state not in tuple(WorkerState):
        raise UnreadableDocumentError(
            f"worker {worker_id} has unknown state {entry.state!r}"
        )
    if not is_address(entry.address):
        raise UnreadableDocumentError(
            f"worker {worker_id} has the address {entry.address[:60]!r}"
        )
    # The first label is the kind of worker, the second its rack.
    rack = entry.labels[1] if len(entry.labels) > 1 else ""
    capacity = entry.capacity
    return WorkerInfo(
        worker_id=worker_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        state=WorkerState(entry.state),
        capacity=Size(capacity.cpu, capacity.requested_memory_mb, capacity.gpus),
        labels=frozenset(entry.labels),
        rack=rack,
        incarnation_ms=entry.born,
        host=entry.machine,
    )


def decode_wave(value: bytes) -> Wave:
    """Decode a maintenance wave; raises UnreadableDocumentError."""
    wave = decode_document(value, _Wave)
    duration_ms = int(wave.duration_s * 1000)
    return Wave(wave.wave, tuple(wave.machines), duration_ms, max(1, wave.cap))


def encode_wave_status(wave: Wave, is_completed: bool) -> bytes:
    """Encode the status of a wave for the operator."""
    state = "completed" if is_completed else "running"
    return msgspec.json.encode({"wave": wave.number, "state": state})


def decode_job(
    job_id: str, queue: str, body: bytes, accepted_ms: int, customer: str = ""
) -> JobSpec:
    """Decode a submitted job; raises UnreadableDocumentError."""
    job = decode_document(body, _Job)
    if len(job.specification.encode(errors="replace")) > MAX_SPECIFICATION_BYTES:
        raise UnreadableDocumentError(
            f"the specification is longer than {MAX_SPECIFICATION_BYTES} bytes"
        )
    steps = tuple(_convert_step(step) for step in job.steps)
    if not steps or any(
        before >= number for number, step in enumerate(steps) for before in step.after
    ):
        raise UnreadableDocumentError(
            "a job needs steps, and `after` must name earlier ones"
        )
    tasks = sum(step.count for step in steps) * max(1, job.repetitions)
    if tasks > MAX_TASKS_PER_JOB:
        raise UnreadableDocumentError(
            f"{tasks} tasks are more than the {MAX_TASKS_PER_JOB} of one job"
        )
    return JobSpec(
        job_id=job_id,
        queue=queue,
        payload=job.specification,
        steps=steps,
        accepted_ms=accepted_ms,
        repetitions=job.repetitions,
        start_at_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
        customer=customer,
    )


def _convert_step(step: _Step) -> StepSpec:
    requirement = step.requirements
    if isinstance(requirement, list):
        requirement = requirement[0] if requirement else ""
    return StepSpec(
        count=step.count,
        cpu=step.cpu,
        memory_mb=step.requested_memory_mb,
        gpus=step.gpus,
        estimated_ms=int(step.estimated_ms),
        after=step.after,
        is_checkpointing=step.checkpointing,
        is_gang=step.gang,
        is_single_rack=step.same_rack,
        requirement=str(requirement or ""),
        data_rack=step.data_rack,
        max_per_host=step.anti_affinity,
        is_speculative=step.speculative,
        is_long_running=step.long_running,
        image=step.image,
        target_ms=int(step.target_ms),
        is_filler=step.fills,
        max_unavailable=step.may_miss,
    )


def format_task_name(task: TaskId) -> str:
    """Return the name by which workers know a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: str) -> TaskId:
    """Parse a task's name as sent by a worker; raises UnreadableDocumentError."""
    match = TASK_NAME.fullmatch(name)
    if match is None:
        raise UnreadableDocumentError(
            f"task name {name[:60]!r} is not JOB.OCCURRENCE.STEP.NUMBER"
        )
    job, occurrence, step, index = match.groups()
    return TaskId(job, int(occurrence), int(step), int(index))


def is_address(text: str) -> bool:
    """Return whether a text is a host, or an IP address, and a port."""
    host, _, port = text.rpartition(":")
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= MAX_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return len(host) <= MAX_HOST_NAME and bool(HOST_NAME.fullmatch(host))
    return True


def decode_document(value: bytes, kind: type[T]) -> T:
    """Decode a document of the platform; raises UnreadableDocumentError."""
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableDocumentError(
            f"malformed {kind.__name__.strip('_').lower()} document: {error}"
        ) from error
