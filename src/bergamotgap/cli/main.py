"""The `bergamotgap` command."""

import typer

from bergamotgap.cli.serve import serve

app = typer.Typer(
    name="bergamotgap",
    help="Manage fleet capacity and maintenance.",
    no_args_is_help=True,
)
app.command()(serve)


@app.callback()
def _root() -> None:
    """Manage fleet capacity and maintenance."""


def main() -> None:
    """Run the command line."""
    app()
