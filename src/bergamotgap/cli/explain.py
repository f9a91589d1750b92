"""The `explain` command: explains a job from the logs of several nodes."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from bergamotgap.cli.exits import EXIT_REFUSED, EXIT_USAGE


def explain(
    job: Annotated[str, typer.Argument(help="id of the job")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="logs of one or more nodes; default: standard input"),
    ] = None,
) -> None:
    """Print the decisions about a job in time order, and the cause of its outcome.

    Differences between the nodes' clocks are corrected by means of the records that all
    nodes read. Example: bergamotgap explain 2a942efda8dd5970 node-*.log
    """
    from bergamotgap.adapters.job_explanation import explain_job
    from bergamotgap.adapters.log_lines import align_clocks, parse_lines

    texts: list[str] = []
    for file in files or []:
        try:
            texts += file.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"bergamotgap: {file}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
    if not files:
        texts = sys.stdin.read().splitlines()
    explanation = explain_job(job, align_clocks(parse_lines(texts)))
    if explanation is None:
        typer.echo(f"bergamotgap: no line names the job {job}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    for line in explanation.lines:
        when = datetime.fromtimestamp(line.time_ms / 1000, UTC)
        shown = {k: v for k, v in line.fields.items() if k != "module"}
        details = " ".join(f"{name}={value}" for name, value in shown.items())
        typer.echo(
            f"{when:%H:%M:%S}.{when.microsecond // 1000:03} {line.node} "
            f"{line.event}: {details}"
        )
    typer.echo(f"cause: {explanation.cause}")
