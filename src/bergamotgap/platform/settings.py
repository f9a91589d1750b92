"""Settings file of the platform, as JSON through the template in `deploy/`."""

from pathlib import Path

import msgspec

from bergamotgap.pools.settings import PoolSettings

SETTINGS_VARIABLE = "BERGAMOTGAP_CONFIG"
# The port of `metrics` in deploy/system.toml, the usual one of such exporters.
METRICS_PORT = 9464


class PlatformSettingsError(Exception):
    """The settings file can't be read or lacks a field."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    grace_period_s: float = 6.0
    max_hold_ms: int = 10_000
    status_s: float = msgspec.field(name="status_s", default=120.0)
    stop_timeout_ms: int = 200
    move_s: float = 1.5
    maintenance_s: float = 2.0


class _Log(msgspec.Struct, rename="camel"):
    address: str
    parts: int = 16
    min_ttl_ms: int = 1000


class _Limits(msgspec.Struct, rename="camel"):
    cpu_share: float = 1.0
    cores: float = 1.0


class _Cloud(msgspec.Struct, rename="camel"):
    address: str = ""


class SettingsFile(msgspec.Struct, rename="camel"):
    """Fields of the settings file that are used; others are ignored."""

    node: str
    zone: str
    ip: str
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    platform: _Log
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _Cloud = msgspec.field(default_factory=_Cloud)
    advice: str | None = None
    heartbeat_interval_ms: int = 1500


def read_settings_file(path: Path) -> SettingsFile:
    """Decode the settings file; raises PlatformSettingsError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SettingsFile)
    except (OSError, msgspec.DecodeError) as error:
        raise PlatformSettingsError(f"settings file {path}: {error}") from error


def build_pool_settings(file: SettingsFile) -> PoolSettings:
    """Return the product's settings of a node for the platform's file."""
    bounds = file.bounds
    return PoolSettings(
        node_id=file.node,
        data_centre=file.zone,
        caller_address=file.listen_addresses.front,
        ready_address=file.listen_addresses.ready,
        peer_address=f"{file.ip}:{file.internal_port_range[0]}",
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        # A core of the machine is so many times as fast as the share's unit.
        cpu=max(1, int(1000 * file.limits.cpu_share * file.limits.cores)),
        log_parts=file.platform.parts,
        member_ttl_ms=max(file.platform.min_ttl_ms, PoolSettings.member_ttl_ms),
        shutdown_grace_ms=int(bounds.grace_period_s * 1000),
        max_lease_ms=bounds.max_hold_ms,
        job_retention_ms=int(bounds.status_s * 1000),
        stop_timeout_ms=bounds.stop_timeout_ms,
        move_duration_ms=int(bounds.move_s * 1000),
        maintenance_ms=int(bounds.maintenance_s * 1000),
        heartbeat_interval_ms=file.heartbeat_interval_ms,
    )
