"""Settings of one entry host process, checked at start."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

MAX_PORT = 65_535


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("must be IP:PORT with a numeric IP address") from None
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port must be a number from 1 to {MAX_PORT}")
    return value


def _check_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("must be http://IP:PORT")
    _check_address(value.removeprefix("http://").rstrip("/"))
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, AfterValidator(_check_url)]
NodeId = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class SettingsError(Exception):
    """A setting has a value that is not allowed; the message names all three."""


class Settings(BaseModel):
    """Checked settings of an entry host."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    node_id: NodeId
    data_centre: NodeId
    rack: NodeId = "rack-1"
    caller_address: Address
    operator_address: Address
    peer_address: Address
    platform_url: Url
    peers: tuple[Address, ...] = ()
    max_body_bytes: int = Field(default=16 << 20, ge=1024, le=1 << 30)
    max_job_body_bytes: int = Field(default=64 << 10, ge=1024, le=512 << 10)
    max_queue_ms: int = Field(default=30_000, ge=10, le=3_600_000)
    headroom_part: float = Field(default=0.1, ge=0, le=0.9)
    preempt_after_ms: int = Field(default=300, ge=0, le=60_000)
    batch_ms: int = Field(default=5, ge=0, le=1000)
    shutdown_ms: int = Field(default=30_000, ge=0, le=3_600_000)
    progress_ms: int = Field(default=5000, ge=50, le=600_000)
    snapshot_records: int = Field(default=2000, ge=10, le=1_000_000)
    snapshot_age_ms: int = Field(default=1_200_000, ge=1000, le=86_400_000)
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")


def build_settings(values: dict[str, object]) -> Settings:
    """Check the values; raises SettingsError with one line for all problems."""
    try:
        return Settings.model_validate(values)
    except ValidationError as error:
        problems = [_describe_problem(dict(item)) for item in error.errors()]
        raise SettingsError("; ".join(problems)) from error


def _describe_problem(item: dict[str, object]) -> str:
    location = item["loc"]
    path = (
        ".".join(str(part) for part in location)
        if isinstance(location, tuple)
        else str(location)
    )
    name = path.replace("_", "-")
    message = str(item["msg"]).removeprefix("Value error, ")
    return f"setting --{name}: value {item.get('input')!r}: {message}"
