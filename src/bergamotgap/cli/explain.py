"""The `explain` command: explains a job or a task from the logs of several nodes."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from bergamotgap.cli.exits import EXIT_REFUSED, EXIT_USAGE


def explain(
    job: Annotated[
        str, typer.Argument(help="id of the job, or name of one of its tasks")
    ],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="logs of one or more nodes; default: standard input"),
    ] = None,
) -> None:
    """Print the decisions about a job in time order, and the cause of its outcome.

    Of a task, or of each task with several runs, print its runs and their overlaps.

    Differences between the nodes' clocks are corrected by means of the records that all
    nodes read. Example: bergamotgap explain 2a942efda8dd5970 node-*.log
    """
    from bergamotgap.adapters.job_explanation import explain_job
    from bergamotgap.adapters.log_lines import (
        align_clocks,
        format_time,
        parse_lines,
    )
    from bergamotgap.cli.run_texts import describe_task

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
        typer.echo(f"bergamotgap: no line names the job or task {job}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    for line in explanation.lines:
        shown = {k: v for k, v in line.fields.items() if k != "module"}
        details = " ".join(f"{name}={value}" for name, value in shown.items())
        typer.echo(f"{format_time(line.time_ms)} {line.node} {line.event}: {details}")
    for task in explanation.tasks:
        for text in describe_task(task):
            typer.echo(text)
    typer.echo(f"cause: {explanation.cause}")
