"""The `join` command: runs a node on the platform named in its settings file."""

import gc

import typer

from bergamotgap.cli.exits import EXIT_USAGE

# Allocations between two garbage collections, as for `serve`.
GC_THRESHOLD = 20_000


def join(
    log_level: str = typer.Option("info", help="lowest level that is logged")
) -> None:
    """Run a node of the fleet until SIGTERM, with the platform's settings file.

    The environment variable BERGAMOTGAP_CONFIG contains the path of the file.
    """
    # Imported here, so that the operators' commands don't load the node.
    import uvloop

    from bergamotgap.adapters.logs import configure_bounded_logs
    from bergamotgap.domain.clock import SystemClock
    from bergamotgap.platform.node import load_settings, run_node
    from bergamotgap.platform.settings import PlatformSettingsError

    try:
        file = load_settings()
    except PlatformSettingsError as error:
        typer.echo(f"bergamotgap: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    configure_bounded_logs(log_level, SystemClock(), node=file.node)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(run_node(file))
