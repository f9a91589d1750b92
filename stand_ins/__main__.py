"""Command line of the stand-ins: `python -m stand_ins platform|workers`."""

import asyncio
import json
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from aiohttp import web

from stand_ins.platform import Platform, PlatformSettings
from stand_ins.serving import serve_app
from stand_ins.worker import Worker, WorkerSettings

app = typer.Typer(add_completion=False, no_args_is_help=True)

Listen = Annotated[str, typer.Option(help="ip:port to listen on")]
SettingsJson = Annotated[str, typer.Option(help="settings as a JSON object")]


async def _serve(applications: dict[str, web.Application]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        for address, application in applications.items():
            await stack.enter_async_context(serve_app(application, address))
        await stop.wait()


@app.command()
def platform(
    listen: Listen,
    hosts_file: Annotated[Path, typer.Option(help="JSON list of hosts")],
    settings: SettingsJson = "{}",
) -> None:
    """Run the platform stand-in."""
    hosts = json.loads(hosts_file.read_text())
    values = PlatformSettings.model_validate_json(settings)
    uvloop.run(_serve({listen: Platform(hosts, values).build_app()}))


@app.command()
def workers(
    listen: Annotated[list[str], typer.Option(help="ip:port, once per worker")],
    name: Annotated[list[str], typer.Option(help="host name, once per worker")],
    starts_directory: Annotated[
        Path | None, typer.Option(help="directory for the logs of task starts")
    ] = None,
    settings: SettingsJson = "{}",
) -> None:
    """Run one or more worker stand-ins in this process."""
    values = WorkerSettings.model_validate_json(settings)
    applications = {}
    for address, host in zip(listen, name, strict=True):
        file = starts_directory / f"{host}.starts" if starts_directory else None
        applications[address] = Worker(host, values, file).build_app()
    uvloop.run(_serve(applications))


app()
