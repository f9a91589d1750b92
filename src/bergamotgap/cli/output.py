"""Output of the commands: tables for people, JSON for programs."""

import functools
import json
import sys
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from enum import StrEnum
from typing import Annotated, Any, ParamSpec

import typer
from rich.console import Console
from rich.table import Table

from bergamotgap.cli.exits import CommandError
from bergamotgap.node.settings import parse_address

# Tables written to a file or pipe are not truncated to a terminal's width.
WIDTH_WITHOUT_TERMINAL = 400

P = ParamSpec("P")


class Output(StrEnum):
    """Output formats."""

    TABLE = "table"
    JSON = "json"


def check_server(value: str) -> str:
    """Return an address that is IP:PORT; raises typer.BadParameter."""
    try:
        parse_address(value)
    except ValueError as error:
        raise typer.BadParameter(f"value {value!r}: {error}") from error
    return value


ServerOption = Annotated[
    str,
    typer.Option(
        "--server",
        envvar="BERGAMOTGAP_SERVER",
        callback=check_server,
        metavar="IP:PORT",
        help="operator address of any entry host",
    ),
]
OutputOption = Annotated[
    Output, typer.Option("--output", "-o", help="table for people, json for programs")
]


def report_errors(command: Callable[P, None]) -> Callable[P, None]:
    """Wrap a command: print a CommandError and exit with its exit code."""

    @functools.wraps(command)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except CommandError as error:
            _print_error(error, kwargs.get("output") == Output.JSON)
            raise typer.Exit(error.exit_code) from error

    return run


def _print_error(error: CommandError, is_json: bool) -> None:
    if is_json:
        payload = {**error.payload, "code": error.code, "detail": error.detail}
        print_json(payload | {"exit_code": error.exit_code})
    elif error.text:
        typer.echo(error.text, nl=False)
    typer.echo(f"bergamotgap: {error.detail}", err=True)


def print_json(payload: Any) -> None:
    """Print a JSON document."""
    typer.echo(json.dumps(payload, indent=2, ensure_ascii=False))


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table; None is shown as `-`."""
    width = None if sys.stdout.isatty() else WIDTH_WITHOUT_TERMINAL
    console = Console(width=width, markup=False, highlight=False, emoji=False)
    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*("-" if value is None else str(value) for value in row))
    console.print(table)
    if not table.row_count:
        console.print("(none)")


def format_time(wall_ms: int) -> str:
    """Format a Unix time in ms as UTC."""
    moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
