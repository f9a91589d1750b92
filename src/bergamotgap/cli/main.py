"""The `bergamotgap` command."""

import typer

from bergamotgap.cli import catalogue, maintenance
from bergamotgap.cli.exits import EXIT_CODES_HELP
from bergamotgap.cli.explain import explain
from bergamotgap.cli.explain_place import EXPLAIN_PLACE_CODES_HELP, explain_place
from bergamotgap.cli.join import join
from bergamotgap.cli.serve import build_serve
from bergamotgap.cli.status import dump, status

app = typer.Typer(
    name="bergamotgap",
    help="Manage fleet capacity and maintenance.",
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
app.command(name="serve")(build_serve())
app.command(epilog=EXIT_CODES_HELP)(join)
app.add_typer(catalogue.app, name="catalogue")
app.add_typer(maintenance.app, name="maintenance")
app.command(epilog=EXIT_CODES_HELP)(status)
app.command(epilog=EXIT_CODES_HELP)(dump)
app.command(epilog=EXIT_CODES_HELP)(explain)
app.command(epilog=EXPLAIN_PLACE_CODES_HELP)(explain_place)


@app.callback()
def _root() -> None:
    """Manage fleet capacity and maintenance."""


def main() -> None:
    """Run the command line."""
    app()
