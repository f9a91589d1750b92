"""Run one stand-in: `python -m stand_ins platform|worker`."""

import json
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from aiohttp import web

from stand_ins.platform import Platform
from stand_ins.worker import Worker

app = typer.Typer(add_completion=False, no_args_is_help=True)


def _serve(application: web.Application, address: str) -> None:
    host, _, port = address.rpartition(":")
    loop = uvloop.new_event_loop()
    web.run_app(application, host=host, port=int(port), print=None, loop=loop)


@app.command()
def platform(
    listen: Annotated[str, typer.Option(help="ip:port to listen on")],
    hosts_file: Annotated[Path, typer.Option(help="JSON list of hosts")],
    retention_ms: Annotated[int, typer.Option(help="how long records are kept")] = (
        3_600_000
    ),
) -> None:
    """Run the platform stand-in."""
    hosts = json.loads(hosts_file.read_text())
    _serve(Platform(hosts, retention_ms).build_app(), listen)


@app.command()
def worker(
    listen: Annotated[str, typer.Option(help="ip:port to listen on")],
    name: Annotated[str, typer.Option(help="host name of the worker")],
    slots: Annotated[int, typer.Option(help="tasks that run at once")] = 8,
    run_ms: Annotated[int, typer.Option(help="run time of a task")] = 20,
) -> None:
    """Run one worker stand-in."""
    _serve(Worker(name, slots, run_ms).build_app(), listen)


app()
