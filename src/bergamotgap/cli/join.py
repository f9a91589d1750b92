"""The `join` command: run a node on the platform that its settings file names."""

import gc

import typer

from bergamotgap.cli.exits import EXIT_USAGE

# As for `serve`: objects allocated between two collections.
GC_THRESHOLD = 20_000


def join(
    log_level: str = typer.Option("info", help="least level that is logged")
) -> None:
    """Run a node of the fleet until SIGTERM, from the platform's settings file.

    The environment variable BERGAMOTGAP_CONFIG holds the file's path.
    """
    # The operators' commands must not pay for loading the node.
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
