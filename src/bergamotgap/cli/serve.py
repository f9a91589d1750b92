"""The `serve` command: run one entry host."""

import asyncio
import gc
import signal
from typing import Annotated

import typer
import uvloop

from bergamotgap.adapters.logs import configure_logs
from bergamotgap.domain.clock import SystemClock
from bergamotgap.node.node import Node
from bergamotgap.node.settings import Settings, SettingsError, build_settings

EXIT_USAGE = 2
# Objects allocated between two collections; requests reach the default of 700 often.
GC_ALLOCATIONS = 20_000


def serve(
    node_id: Annotated[str, typer.Option(envvar="BERGAMOTGAP_NODE_ID")],
    data_centre: Annotated[str, typer.Option(envvar="BERGAMOTGAP_DATA_CENTRE")],
    caller_address: Annotated[str, typer.Option(envvar="BERGAMOTGAP_CALLER_ADDRESS")],
    operator_address: Annotated[
        str, typer.Option(envvar="BERGAMOTGAP_OPERATOR_ADDRESS")
    ],
    peer_address: Annotated[str, typer.Option(envvar="BERGAMOTGAP_PEER_ADDRESS")],
    platform_url: Annotated[str, typer.Option(envvar="BERGAMOTGAP_PLATFORM_URL")],
    peers: Annotated[
        str, typer.Option(envvar="BERGAMOTGAP_PEERS", help="ip:port,ip:port,...")
    ] = "",
    log_level: Annotated[str, typer.Option(envvar="BERGAMOTGAP_LOG_LEVEL")] = "info",
) -> None:
    """Run one entry host until SIGTERM or SIGINT."""
    values: dict[str, object] = {
        "node_id": node_id,
        "data_centre": data_centre,
        "caller_address": caller_address,
        "operator_address": operator_address,
        "peer_address": peer_address,
        "platform_url": platform_url,
        "peers": tuple(part for part in peers.split(",") if part),
        "log_level": log_level,
    }
    try:
        settings = build_settings(values)
    except SettingsError as error:
        typer.echo(f"bergamotgap: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    configure_logs(settings.log_level, node=settings.node_id)
    uvloop.run(_run(settings))


async def _run(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with Node(settings, SystemClock()):
        # What was built at start lives as long as the process. Left out of later
        # collections, it costs requests no pauses.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS)
        await stop.wait()
