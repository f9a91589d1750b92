"""The name of the operator who runs a command."""

import getpass
from typing import Annotated

import typer

from bergamotgap.cli.exits import EXIT_USAGE, CommandError

OperatorOption = Annotated[
    str | None,
    typer.Option(
        "--operator",
        envvar="BERGAMOTGAP_OPERATOR",
        help="name recorded in the history; by default the login name",
    ),
]


def get_operator_name(given: str | None) -> str:
    """Return the given name or the login name; raises CommandError without either."""
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        detail = "the login name can't be determined; pass --operator NAME"
        raise CommandError(EXIT_USAGE, "no_operator", detail) from error
