"""Configuration of structured logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog

from bergamotgap.adapters.log_output import LineRateLimiter, NonBlockingOutput
from bergamotgap.domain.clock import Clock


def configure_logs(level: str, **context: Any) -> None:
    """Log to standard error; the fields of `context` are added to every line."""
    _configure_structlog(
        level, [], structlog.PrintLoggerFactory(file=sys.stderr), context
    )


def configure_bounded_logs(level: str, clock: Clock, **context: Any) -> None:
    """Log to standard output, rate-limited and without blocking on the reader."""
    output = NonBlockingOutput(sys.stdout.fileno())
    factory = structlog.WriteLoggerFactory(file=output)  # type: ignore[arg-type]
    _configure_structlog(level, [LineRateLimiter(clock)], factory, context)


def _configure_structlog(
    level: str, first_processors: list[Any], factory: Any, context: dict[str, Any]
) -> None:
    structlog.configure(
        processors=[
            *first_processors,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)


def get_logger(name: str) -> Any:
    """Return a logger that adds the module's name to each line."""
    return structlog.get_logger(module=name)
