"""The `bergamotgap` command.

The module of a subcommand is loaded when it is used: a node, whose memory is limited,
does without the libraries of the operators' commands.
"""

from collections.abc import Callable
from typing import Any

import typer
from typer.core import TyperGroup

from bergamotgap.cli.exits import EXIT_CODES_HELP


def _load_serve() -> typer.Typer:
    from bergamotgap.cli.serve import build_serve

    return _build_app(build_serve(), "serve", epilog=None)


def _load_join() -> typer.Typer:
    from bergamotgap.cli.join import join

    return _build_app(join, "join")


def _load_catalogue() -> typer.Typer:
    from bergamotgap.cli import catalogue

    return catalogue.app


def _load_maintenance() -> typer.Typer:
    from bergamotgap.cli import maintenance

    return maintenance.app


def _load_status() -> typer.Typer:
    from bergamotgap.cli.status import status

    return _build_app(status, "status")


def _load_dump() -> typer.Typer:
    from bergamotgap.cli.status import dump

    return _build_app(dump, "dump")


def _load_explain() -> typer.Typer:
    from bergamotgap.cli.explain import explain

    return _build_app(explain, "explain")


def _build_app(
    function: Callable[..., Any], name: str, epilog: str | None = EXIT_CODES_HELP
) -> typer.Typer:
    command_app = typer.Typer(add_completion=False)
    command_app.command(name=name, epilog=epilog)(function)
    return command_app


LOADERS: dict[str, Callable[[], typer.Typer]] = {
    "serve": _load_serve,
    "join": _load_join,
    "catalogue": _load_catalogue,
    "maintenance": _load_maintenance,
    "status": _load_status,
    "dump": _load_dump,
    "explain": _load_explain,
}


class LazyGroup(TyperGroup):
    """Group of the subcommands, which are loaded by name."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Return the names of the subcommands, in the order of the help."""
        return list(LOADERS)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Load a subcommand; return None if there is none of that name."""
        load = LOADERS.get(cmd_name)
        if load is None:
            return None
        command = typer.main.get_command(load())
        command.name = cmd_name
        return command


app = typer.Typer(
    name="bergamotgap",
    cls=LazyGroup,
    help="Manage fleet capacity and maintenance.",
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)


@app.callback()
def _root() -> None:
    """Manage fleet capacity and maintenance."""


def main() -> None:
    """Run the command line."""
    app()
