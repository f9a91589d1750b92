"""The `catalogue` commands: check, publish, show, diff, history."""

from pathlib import Path
from typing import Annotated

import typer

from bergamotgap.cli.catalogue_files import (
    add_header,
    parse_document,
    read_document,
    split_header,
    write_document,
)
from bergamotgap.cli.client import OperatorClient
from bergamotgap.cli.exits import EXIT_CODES_HELP, EXIT_USAGE, CommandError
from bergamotgap.cli.operator_name import OperatorOption, get_operator_name
from bergamotgap.cli.output import (
    Output,
    OutputOption,
    ServerOption,
    format_time,
    print_json,
    print_table,
    report_errors,
)
from bergamotgap.cli.publishing import publish_document, wait_until_in_force
from bergamotgap.domain.document_diff import build_diff

DEFAULT_WAIT_S = 60

app = typer.Typer(
    help="Check, publish and show the catalogue.",
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
)
FileArgument = Annotated[
    Path, typer.Argument(exists=True, dir_okay=False, readable=True, metavar="FILE")
]


@app.command()
@report_errors
def check(file: FileArgument, output: OutputOption = Output.TABLE) -> None:
    """Validate a file without contacting an entry host; prints all errors.

    Example: bergamotgap catalogue check association.toml
    """
    document = read_document(file)
    catalogue = parse_document(document, file)
    counts = {
        "pools": len(catalogue.pools),
        "owners": len(catalogue.owners),
        "callers": len(catalogue.callers),
        "entries": len(catalogue.entries),
    }
    if output == Output.JSON:
        print_json({"file": str(file), "is_valid": True, **counts})
        return
    listed = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    typer.echo(f"{file}: valid: {listed}")


@app.command()
@report_errors
def publish(
    file: FileArgument,
    server: ServerOption,
    base: Annotated[
        int | None,
        typer.Option(min=0, help="revision that the file was edited from; 0 at first"),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option("--wait", help="wait until all live entry hosts have applied it"),
    ] = False,
    timeout_s: Annotated[
        int, typer.Option("--timeout", min=1, help="seconds for --wait")
    ] = DEFAULT_WAIT_S,
    operator: OperatorOption = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Publish a file as the next revision.

    The base is --base, or the revision in the header comment that `show --write` wrote.
    If another operator has published since, the file is refused and a diff is printed.
    A header comment is updated after the publication.

    Example: bergamotgap catalogue publish association.toml --wait
    """
    header_base, document = split_header(read_document(file))
    base_revision = header_base if base is None else base
    if base_revision is None:
        detail = (
            "which revision was the file edited from? Pass --base N, "
            "or write the file with `catalogue show --write`"
        )
        raise CommandError(EXIT_USAGE, "no_base", detail)
    parse_document(document, file)
    client = OperatorClient(server)
    revision = publish_document(
        client, document, base_revision, get_operator_name(operator)
    )
    if header_base is not None:
        write_document(file, add_header(revision, document))
    report: dict[str, object] = {"revision": revision}
    if output == Output.TABLE:
        is_new = revision == base_revision + 1
        result = "is accepted" if is_new else "has the same text already"
        typer.echo(f"revision {revision} {result}")
    if wait:
        hosts = wait_until_in_force(client, revision, timeout_s)
        report["in_force_on"] = list(hosts)
        if output == Output.TABLE:
            typer.echo(f"revision {revision} is in force on {', '.join(hosts)}")
    if output == Output.JSON:
        print_json(report)


@app.command()
@report_errors
def show(
    server: ServerOption,
    revision: Annotated[
        int | None, typer.Argument(min=0, help="by default the one in force")
    ] = None,
    write: Annotated[
        Path | None,
        typer.Option(
            dir_okay=False, help="write it to a file for editing and publishing"
        ),
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Print a revision, or write it to a file with a header comment.

    Example: bergamotgap catalogue show --write association.toml
    """
    path = "/v1/catalogue" if revision is None else f"/v1/catalogue/{revision}"
    shown = OperatorClient(server).get(path)
    text = add_header(shown["revision"], shown["document"])
    if write is not None:
        write_document(write, text)
    if output == Output.JSON:
        print_json(shown)
    elif write is not None:
        typer.echo(f"{write}: revision {shown['revision']}")
    else:
        typer.echo(text, nl=False)


@app.command()
@report_errors
def diff(
    file: FileArgument, server: ServerOption, output: OutputOption = Output.TABLE
) -> None:
    """Print the diff from the revision in force to a file; nothing if equal.

    Example: bergamotgap catalogue diff association.toml
    """
    _, document = split_header(read_document(file))
    current = OperatorClient(server).get("/v1/catalogue")
    name = f"revision {current['revision']}, in force"
    text = build_diff(current["document"], document, name, str(file))
    if output == Output.JSON:
        print_json({"revision": current["revision"], "diff": text})
    else:
        typer.echo(text, nl=False)


@app.command()
@report_errors
def history(
    server: ServerOption,
    limit: Annotated[int, typer.Option(min=1, max=1000, help="newest only")] = 50,
    output: OutputOption = Output.TABLE,
) -> None:
    """List revisions, newest first.

    Example: bergamotgap catalogue history --limit 10
    """
    revisions = OperatorClient(server).get(f"/v1/history?limit={limit}")["revisions"]
    if output == Output.JSON:
        print_json(revisions)
        return
    rows = [
        (r["revision"], format_time(r["appended_ms"]), r["operator"], r["bytes"])
        for r in revisions
    ]
    print_table("Revisions", ("revision", "accepted (UTC)", "operator", "bytes"), rows)
