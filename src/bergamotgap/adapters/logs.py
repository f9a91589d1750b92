"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str, **context: Any) -> None:
    """Write events to standard error; `context` is on every line."""
    structlog.configure(
        processors=[
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)


def get_logger(name: str) -> Any:
    """Return a logger whose lines name the module."""
    return structlog.get_logger(module=name)
