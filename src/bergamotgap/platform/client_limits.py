"""Read the limits of callers' requests from the platform's configuration."""

from collections.abc import Mapping
from typing import Any, TypeGuard

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.client_limits import ClientLimits

MAX_BYTES = 1 << 30
MAX_TIMEOUT_MS = 3_600_000
# The platform sets no limit for a whole body: as many idle times as this.
BODY_IDLE_TIMES = 4

log = get_logger(__name__)


def convert_limits(document: Any) -> ClientLimits:
    """Return the limits of a configuration; a missing or odd one has its default."""
    limits = document if isinstance(document, Mapping) else {}
    default = ClientLimits()
    idle_ms = _read(limits, "idleTimeoutMs", MAX_TIMEOUT_MS, default.idle_timeout_ms)
    return ClientLimits(
        _read(limits, "maxHeaderBytes", MAX_BYTES, default.max_head_bytes),
        _read(limits, "maxBodyBytes", MAX_BYTES, default.max_body_bytes),
        _read(limits, "headerTimeoutMs", MAX_TIMEOUT_MS, default.head_timeout_ms),
        idle_ms,
        idle_ms * BODY_IDLE_TIMES,
    )


def is_positive(value: Any) -> TypeGuard[float]:
    """Return whether a value is a number of at least 1."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value >= 1


def _read(limits: Mapping[str, Any], name: str, most: int, default: int) -> int:
    value = limits.get(name)
    if is_positive(value) and value <= most:
        return int(value)
    if value is not None:
        log.warning("limit not applied", limit=name, value=repr(value)[:60])
    return default
