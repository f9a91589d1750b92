"""Settings of one entry host process, validated at startup."""

import ipaddress
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from bergamotgap.adapters.machine_limits import find_memory_mb
from bergamotgap.domain.problems import Problem, list_field_problems

MAX_PORT = 65_535
ENVIRONMENT_PREFIX = "BERGAMOTGAP_"
ADDRESS_REQUIREMENT = (
    f"must be IP:PORT with a numeric IP address and a port 1 to {MAX_PORT}"
)

Endpoint = tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, int]


def parse_address(value: str) -> Endpoint:
    """Parse IP:PORT or [IP]:PORT; raises ValueError."""
    host, _, port = value.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        number = int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        raise ValueError(ADDRESS_REQUIREMENT) from None
    if (ip.version == 6) != is_bracketed or not 0 < number <= MAX_PORT:
        raise ValueError(ADDRESS_REQUIREMENT)
    return ip, number


def _check_address(value: str) -> str:
    parse_address(value)
    return value


def _check_url(value: str) -> str:
    try:
        parse_address(value.removeprefix("http://").rstrip("/"))
    except ValueError:
        raise ValueError(f"{ADDRESS_REQUIREMENT}, after http://") from None
    if not value.startswith("http://"):
        raise ValueError("must be http://IP:PORT")
    return value


Address = Annotated[
    str, AfterValidator(_check_address), Field(json_schema_extra={"format": "IP:PORT"})
]
Url = Annotated[
    str,
    AfterValidator(_check_url),
    Field(json_schema_extra={"format": "http://IP:PORT"}),
]
NodeId = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class SettingsError(Exception):
    """A setting's value is not allowed.

    The message gives the setting, its value and the allowed values.
    """


class Settings(BaseModel):
    """Validated settings of an entry host."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    node_id: NodeId = Field(description="unique name of this entry host")
    data_centre: NodeId = Field(description="data centre that this host is in")
    rack: NodeId = Field(default="rack-1", description="rack that this host is in")
    caller_address: Address = Field(description="IP:PORT to listen on for callers")
    operator_address: Address = Field(description="IP:PORT to listen on for operators")
    peer_address: Address = Field(
        description="IP:PORT to listen on for the other entry hosts, which call it"
    )
    platform_url: Url = Field(description="http://IP:PORT of the platform")
    peers: tuple[Address, ...] = Field(
        default=(),
        description="peer addresses of other entry hosts, IP:PORT,IP:PORT,...",
    )
    max_body_bytes: int = Field(
        default=16 << 20, ge=1024, le=1 << 30, description="largest request body"
    )
    max_job_body_bytes: int = Field(
        default=64 << 10, ge=1024, le=512 << 10, description="largest body of a job"
    )
    memory_mb: int = Field(
        default_factory=find_memory_mb,
        ge=64,
        le=1 << 24,
        description="memory of this process in MiB, the machine's by default; what "
        "clients may make it hold is a part of it",
    )
    max_head_bytes: int = Field(
        default=64 << 10,
        ge=1024,
        le=1 << 20,
        description="largest request line and header fields",
    )
    head_timeout_ms: int = Field(
        default=10_000,
        ge=100,
        le=600_000,
        description="longest time for the head of a request",
    )
    idle_timeout_ms: int = Field(
        default=75_000,
        ge=100,
        le=3_600_000,
        description="longest wait for a client's next request, for the next bytes of "
        "its body and for its reading of an answer",
    )
    max_queue_ms: int = Field(
        default=30_000, ge=10, le=3_600_000, description="longest wait in a queue"
    )
    headroom_part: float = Field(
        default=0.1, ge=0, le=0.9, description="part of the slots kept for urgent work"
    )
    preempt_after_ms: int = Field(
        default=300,
        ge=0,
        le=60_000,
        description="wait of urgent work after which less urgent tasks give way",
    )
    batch_ms: int = Field(
        default=5, ge=0, le=1000, description="time in which records are batched"
    )
    shutdown_ms: int = Field(
        default=30_000, ge=0, le=3_600_000, description="longest time to finish work"
    )
    progress_ms: int = Field(
        default=5000,
        ge=50,
        le=600_000,
        description="time without progress after which a connection is abandoned",
    )
    snapshot_records: int = Field(
        default=2000, ge=10, le=1_000_000, description="records between snapshots"
    )
    snapshot_age_ms: int = Field(
        default=1_200_000,
        ge=1000,
        le=86_400_000,
        description="age of a snapshot, at most a third of the log's retention",
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="debug, info, warning or error"
    )


def format_flag(field: str) -> str:
    """Return the command-line flag of a setting."""
    return f"--{field.replace('_', '-')}"


def format_variable(field: str) -> str:
    """Return the environment variable of a setting."""
    return f"{ENVIRONMENT_PREFIX}{field.upper()}"


def build_settings(values: dict[str, object]) -> Settings:
    """Validate the values; raises SettingsError with all problems on one line."""
    try:
        settings = Settings.model_validate(values)
    except ValidationError as error:
        raise _build_error(list_field_problems(Settings, error)) from error
    problems = _list_address_problems(settings)
    if problems:
        raise _build_error(problems)
    return settings


def _build_error(problems: list[Problem]) -> SettingsError:
    return SettingsError("; ".join(_describe_problem(problem) for problem in problems))


def _describe_problem(problem: Problem) -> str:
    name, bracket, rest = problem.path.partition("[")
    return (
        f"setting {format_flag(name)}{bracket}{rest}: "
        f"value {problem.value}: {problem.allowed}"
    )


def _list_address_problems(settings: Settings) -> list[Problem]:
    """Return problems of addresses: a duplicate, or a peer address of 0.0.0.0 or ::."""
    problems: list[Problem] = []
    if parse_address(settings.peer_address)[0].is_unspecified:
        allowed = "must be an address that other entry hosts can call"
        problems.append(_build_problem("peer_address", settings.peer_address, allowed))
    checked: list[tuple[str, Endpoint]] = []
    for name, value in _list_addresses(settings):
        endpoint = parse_address(value)
        duplicate = next(
            (n for n, e in checked if _is_same_endpoint(e, endpoint)), None
        )
        if duplicate is not None:
            allowed = f"must differ from {_describe_address(duplicate)}"
            problems.append(_build_problem(name, value, allowed))
        checked.append((name, endpoint))
    return problems


def _list_addresses(settings: Settings) -> list[tuple[str, str]]:
    own: list[tuple[str, Any]] = [
        (name, getattr(settings, name))
        for name in ("caller_address", "operator_address", "peer_address")
    ]
    platform = settings.platform_url.removeprefix("http://").rstrip("/")
    peers = [(f"peers[{i}]", value) for i, value in enumerate(settings.peers)]
    return [*own, ("platform_url", platform), *peers]


def _is_same_endpoint(one: Endpoint, other: Endpoint) -> bool:
    is_any = one[0].is_unspecified or other[0].is_unspecified
    return one[1] == other[1] and (one[0] == other[0] or is_any)


def _describe_address(name: str) -> str:
    if name == "peer_address":
        return f"{format_flag(name)}, which is this process"
    return format_flag(name)


def _build_problem(name: str, value: str, allowed: str) -> Problem:
    return Problem(name, repr(value), allowed)
