"""The `join` command: runs a node on the platform named in its settings file."""

import typer

from bergamotgap.cli.exits import EXIT_USAGE


def join(
    log_level: str = typer.Option("info", help="lowest level that is logged")
) -> None:
    """Run a node of the fleet until SIGTERM, with the platform's settings file.

    The environment variable BERGAMOTGAP_CONFIG contains the path of the file.
    """
    # Imported here, so that the operators' commands don't load the node.
    from bergamotgap.platform.settings import PlatformSettingsError
    from bergamotgap.platform.start import run_process

    try:
        run_process(log_level)
    except PlatformSettingsError as error:
        typer.echo(f"bergamotgap: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
