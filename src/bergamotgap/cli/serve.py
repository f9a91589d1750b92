"""The `serve` command: runs one entry host."""

import asyncio
import gc
import inspect
import json
import signal
from collections.abc import Callable
from typing import Annotated

import typer
from pydantic.fields import FieldInfo

from bergamotgap.cli.exits import EXIT_USAGE
from bergamotgap.node.settings import (
    Settings,
    SettingsError,
    build_settings,
    format_flag,
    format_variable,
)

# Allocations between two garbage collections; requests reach the default of 700 often.
GC_THRESHOLD = 20_000
HELP = """Run one entry host until SIGTERM or SIGINT.

Every setting is a flag and an environment variable. SIGUSR1 logs a state dump.

Example: bergamotgap serve --node-id entry-1 --data-centre riga-1
--caller-address 10.0.0.1:7000 --operator-address 10.0.0.1:7001
--peer-address 10.0.0.1:7002 --platform-url http://10.0.0.9:8000
--peers 10.0.0.2:7002,10.0.0.3:7002
"""


def build_serve() -> Callable[..., None]:
    """Return the command, with one option for each field of Settings."""

    def serve(**values: str | None) -> None:
        _serve({name: value for name, value in values.items() if value is not None})

    parameters = [
        _build_parameter(name, field) for name, field in Settings.model_fields.items()
    ]
    serve.__doc__ = HELP
    serve.__annotations__ = {p.name: p.annotation for p in parameters}
    serve.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    return serve


def _build_parameter(name: str, field: FieldInfo) -> inspect.Parameter:
    # Values stay text here; Settings parses them, so that all errors look the same.
    default = "required" if field.is_required() else _format_default(field)
    option = typer.Option(
        format_flag(name),
        envvar=format_variable(name),
        help=field.description,
        show_default=default,
        metavar="VALUE",
    )
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def _format_default(field: FieldInfo) -> str:
    if field.default_factory is not None:
        return "the machine's"
    value = field.default
    return ",".join(value) or "none" if isinstance(value, tuple) else str(value)


def _serve(values: dict[str, str]) -> None:
    raw_settings: dict[str, object] = dict(values)
    if "peers" in values:
        parts = (part.strip() for part in values["peers"].split(","))
        raw_settings["peers"] = tuple(part for part in parts if part)
    try:
        settings = build_settings(raw_settings)
    except SettingsError as error:
        typer.echo(f"bergamotgap: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    # Imported here, so that the operators' commands don't load the entry host.
    import uvloop

    from bergamotgap.adapters.logs import configure_logs

    configure_logs(settings.log_level, node=settings.node_id)
    uvloop.run(_run(settings))


async def _run(settings: Settings) -> None:
    from bergamotgap.adapters.logs import get_logger
    from bergamotgap.domain.clock import SystemClock
    from bergamotgap.node.node import Node

    log = get_logger(__name__)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Without a handler SIGUSR1 would terminate a process that is still starting.
    loop.add_signal_handler(
        signal.SIGUSR1,
        lambda: log.info("dump not available while the node is starting"),
    )
    async with Node(settings, SystemClock()) as node:
        loop.add_signal_handler(
            signal.SIGUSR1,
            lambda: log.info("state dump", dump=json.dumps(node.dump())),
        )
        # Objects created during startup live as long as the process. Excluding them
        # from garbage collection avoids pauses in requests.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        await stop.wait()
