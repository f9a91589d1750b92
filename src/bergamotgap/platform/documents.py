"""Decode the platform's documents: configuration, worker reports, waves and jobs."""

from typing import Annotated, Any

import msgspec

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
from bergamotgap.pools.fleet_view import DocumentFormat, UnreadableDocumentError

OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"


# Figures beyond any use would exceed what a record of the log can hold.
_MAX_FIGURE = 10**15
_Natural = Annotated[int, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=_MAX_FIGURE)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
# Tasks of a job in all its occurrences. Each takes about 500 bytes of its owner's
# memory, so a job takes 50 MB at most.
MAX_TASKS_PER_JOB = 100_000


class _Route(msgspec.Struct, rename="camel"):
    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    priority: int = 0
    retry_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0
    timeout_ms: float = 0
    advice: Any = None
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    spare: bool = False


class _Cap(msgspec.Struct, rename="camel"):
    cpu: _Natural = 0
    requested_memory_mb: _Natural = 0
    gpus: _Natural = 0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    weight: _Weight = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int = 0
    requested_memory_mb: int = 0
    gpus: int = 0


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: int = 0
    machine: str = ""


class _Wave(msgspec.Struct, rename="camel"):
    wave: int
    machines: list[str]
    duration_s: float = msgspec.field(name="durationS", default=0.0)
    cap: int = 1


class _Step(msgspec.Struct, rename="camel"):
    count: _Positive
    cpu: _Natural = 0
    requested_memory_mb: _Natural = 0
    gpus: _Natural = 0
    estimated_ms: _Duration = 0
    after: tuple[_Natural, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: Any = ""
    data_rack: str = ""
    anti_affinity: _Natural = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Duration = 0
    fills: bool = False
    may_miss: _Natural = 0


class _Job(msgspec.Struct, rename="camel"):
    steps: list[_Step]
    specification: str = ""
    repetitions: _Natural = 0
    start_at_ms: _Natural = 0
    interval_ms: _Natural = 0


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

    machines: list[_Host]
    next_page_token: str | None = None

    def list_hosts(self) -> list[HostInfo]:
        """Return the hosts listed on the page."""
        return [
            HostInfo(
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
            for host in self.machines
        ]


def build_document_format() -> DocumentFormat:
    """Return the keys and decoders that FleetView needs."""
    return DocumentFormat(
        CONFIG_KEY, WAVE_PREFIX, decode_config, decode_wave, decode_worker
    )


def decode_config(value: bytes) -> FleetConfig:
    """Decode the fleet's configuration; raises UnreadableDocumentError."""
    document = _decode(value, _Config)
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
    entry = _decode(value, _Entry)
    if entry.state not in tuple(WorkerState):
        raise UnreadableDocumentError(
            f"worker {worker_id} has unknown state {entry.state!r}"
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
    wave = _decode(value, _Wave)
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
    job = _decode(body, _Job)
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
    parts = name.split(".")
    try:
        job, occurrence, step, index = parts
        return TaskId(job, int(occurrence), int(step), int(index))
    except ValueError as error:
        raise UnreadableDocumentError(
            f"task name {name!r} is not JOB.OCCURRENCE.STEP.NUMBER"
        ) from error


def _decode(value: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableDocumentError(
            f"malformed {kind.__name__[1:].lower()} document: {error}"
        ) from error
