"""Settings file written by the platform: JSON, from the template in `deploy/`."""

from pathlib import Path
from typing import Any

import msgspec

from bergamotgap.adapters.machine_limits import find_descriptors, find_memory_mb
from bergamotgap.domain.client_limits import ClientBudget, divide_memory
from bergamotgap.domain.record_limits import RecordLimits
from bergamotgap.platform.client_limits import is_positive
from bergamotgap.pools.settings import PoolSettings

SETTINGS_VARIABLE = "BERGAMOTGAP_CONFIG"
# Port of `metrics` in deploy/system.toml; the usual port of metrics exporters.
METRICS_PORT = 9464
# The part of the rules that names callers who compete for too little room.
PRESSURE_CONTRACT = "pressure"


class PlatformSettingsError(Exception):
    """The settings file can't be read, is malformed or lacks a field."""


class _ListenAddresses(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    grace_period_s: float = 6.0
    max_hold_ms: int = 10_000
    status_s: float = msgspec.field(name="status_s", default=120.0)
    stop_timeout_ms: int = 200
    move_s: float = 1.5
    maintenance_s: float = 2.0
    quota_window_s: float = PoolSettings.share_window_ms / 1000


class _Log(msgspec.Struct, rename="camel"):
    address: str
    parts: int = 16
    min_ttl_ms: int = 1000
    record_bytes: Any = None
    call_bytes: Any = None


class _Limits(msgspec.Struct, rename="camel"):
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: Any = None
    file_descriptors: Any = None


class _CloudApi(msgspec.Struct, rename="camel"):
    address: str = ""
    # Moves and upkeeps per second that the platform accepts from all nodes together.
    duties_per_s: float = PoolSettings.host_orders_per_s


class SettingsFile(msgspec.Struct, rename="camel"):
    """The fields of the settings file that are used; all others are ignored."""

    node: str
    zone: str
    ip: str
    listen_addresses: _ListenAddresses
    internal_port_range: tuple[int, int]
    platform: _Log
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _CloudApi = msgspec.field(default_factory=_CloudApi)
    advice: str | None = None
    heartbeat_interval_ms: int = 1500
    # The parts of the platform's rules that are in force.
    contracts: tuple[str, ...] = ()


def read_settings_file(path: Path) -> SettingsFile:
    """Decode the settings file; raises PlatformSettingsError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SettingsFile)
    except (OSError, msgspec.DecodeError) as error:
        raise PlatformSettingsError(f"settings file {path}: {error}") from error


def build_pool_settings(settings_file: SettingsFile) -> PoolSettings:
    """Return a node's pool settings as given by the platform's settings file."""
    bounds = settings_file.bounds
    return PoolSettings(
        node_id=settings_file.node,
        data_centre=settings_file.zone,
        caller_address=settings_file.listen_addresses.front,
        ready_address=settings_file.listen_addresses.ready,
        peer_address=f"{settings_file.ip}:{settings_file.internal_port_range[0]}",
        metrics_address=f"{settings_file.ip}:{METRICS_PORT}",
        # A core of this host is `cores` times as fast as the core that `cpu_share` is a
        # share of.
        cpu=max(
            1, int(1000 * settings_file.limits.cpu_share * settings_file.limits.cores)
        ),
        log_parts=settings_file.platform.parts,
        member_ttl_ms=max(
            settings_file.platform.min_ttl_ms, PoolSettings.member_ttl_ms
        ),
        shutdown_grace_ms=int(bounds.grace_period_s * 1000),
        max_lease_ms=bounds.max_hold_ms,
        job_retention_ms=int(bounds.status_s * 1000),
        stop_timeout_ms=bounds.stop_timeout_ms,
        move_duration_ms=int(bounds.move_s * 1000),
        maintenance_ms=int(bounds.maintenance_s * 1000),
        share_window_ms=int(bounds.quota_window_s * 1000),
        refuses_early=PRESSURE_CONTRACT in settings_file.contracts,
        heartbeat_interval_ms=settings_file.heartbeat_interval_ms,
        host_orders_per_s=settings_file.cloud_api.duties_per_s,
        record_limits=_read_record_limits(settings_file.platform),
        client_budget=_divide_machine(settings_file.limits),
    )


def _read_record_limits(platform: _Log) -> RecordLimits:
    """Return the log's limits; what the file doesn't tell is as usual."""
    usual = PoolSettings.record_limits
    record_bytes, call_bytes = usual.record_bytes, usual.call_bytes
    if is_positive(platform.record_bytes):
        record_bytes = int(platform.record_bytes)
    if is_positive(platform.call_bytes):
        call_bytes = int(platform.call_bytes)
    return RecordLimits(record_bytes, call_bytes)


def _divide_machine(limits: _Limits) -> ClientBudget:
    """Return the budget of clients; what the file doesn't tell, the machine does."""
    memory_mb, descriptors = find_memory_mb(), find_descriptors()
    if is_positive(limits.memory_mb):
        memory_mb = min(memory_mb, int(limits.memory_mb))
    if is_positive(limits.file_descriptors):
        descriptors = min(descriptors, int(limits.file_descriptors))
    return divide_memory(memory_mb, descriptors)
