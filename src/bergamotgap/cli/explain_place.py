"""The `explain-place` command: tells where a job would go now, without sending it."""

import os
import sys
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from bergamotgap.cli.client import OperatorAnswer, OperatorClient, build_refusal_error
from bergamotgap.cli.exits import (
    EXIT_MALFORMED_JOB,
    EXIT_NO_CONFIGURATION,
    EXIT_NO_OWNER,
    EXIT_NO_QUEUE,
    EXIT_REFUSED,
    EXIT_USAGE,
    CommandError,
)
from bergamotgap.cli.output import (
    Output,
    OutputOption,
    check_server,
    print_json,
    print_table,
    report_errors,
)
from bergamotgap.domain.customers import MAX_KEY_CHARS

KEY_VARIABLE = "BERGAMOTGAP_KEY"
PATH = "/explain/place"
KEY_HEADER = "Customer-Key"
EXPLAIN_PLACE_CODES_HELP = (
    "Exit codes: 0 explained, also if the job would be refused; 1 refused for another "
    "reason; 2 wrong usage or setting; 3 node not reachable; 5 the node has no "
    "configuration; 6 no such queue; 7 malformed job; 8 no owner of the pool reached."
)
EXIT_CODES = {
    "no_configuration": EXIT_NO_CONFIGURATION,
    "no_such_queue": EXIT_NO_QUEUE,
    "malformed_job": EXIT_MALFORMED_JOB,
    "no_owner": EXIT_NO_OWNER,
}


@report_errors
def explain_place(
    node: Annotated[
        str,
        typer.Option(
            envvar="BERGAMOTGAP_NODE",
            callback=check_server,
            metavar="IP:PORT",
            help="metrics address of any node started by `join`",
        ),
    ],
    job: Annotated[
        Path | None,
        typer.Argument(help="JSON of the job; default: standard input"),
    ] = None,
    queue: Annotated[str, typer.Option(help="name of the queue")] = "",
    host: Annotated[str, typer.Option(help="host name that callers use")] = "",
    path: Annotated[str, typer.Option(help="path that callers use")] = "/",
    key_file: Annotated[
        Path | None,
        typer.Option(help=f"file with a customer's key; default: ${KEY_VARIABLE}"),
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Explain where a job would go now, and why; the job is not sent.

    Example: bergamotgap explain-place job.json --node 10.0.0.1:9464 --queue previews
    """
    if bool(queue) == bool(host):
        raise CommandError(EXIT_USAGE, "usage", "give either --queue or --host")
    query = {"queue": queue} if queue else {"host": host, "path": path}
    body = _read_bytes(job) if job else sys.stdin.buffer.read()
    headers = _build_headers(key_file)
    answer = OperatorClient(node).read(f"{PATH}?{urlencode(query)}", body, headers)
    if not answer.is_ok:
        raise _build_error(answer)
    if output == Output.JSON:
        print_json(answer.payload)
        return
    _print_explanation(answer.payload)


def _read_bytes(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        detail = f"{file}: {error.strerror}"
        raise CommandError(EXIT_USAGE, "usage", detail) from error


def _build_headers(key_file: Path | None) -> dict[str, str]:
    """Return the header with the customer's key; raises CommandError without it."""
    if key_file is None and KEY_VARIABLE not in os.environ:
        return {}
    if key_file is None:
        key = os.environ[KEY_VARIABLE]
    else:
        key = _read_bytes(key_file).decode(errors="replace").strip()
    # Errors of the HTTP client may quote a header that it can't send.
    if not (0 < len(key) <= MAX_KEY_CHARS and key.isprintable()):
        detail = "the key is empty, too long or has characters that no header can hold"
        raise CommandError(EXIT_USAGE, "usage", detail)
    return {KEY_HEADER: key}


def _build_error(answer: OperatorAnswer) -> CommandError:
    refusal = build_refusal_error(answer)
    exit_code = EXIT_CODES.get(answer.code, EXIT_REFUSED)
    return CommandError(exit_code, refusal.code, refusal.detail, refusal.payload)


def _print_explanation(answer: dict[str, Any]) -> None:
    typer.echo(
        f"queue {answer['queue']}, pool {answer['pool']}, "
        f"configuration {answer['configuration']}"
    )
    typer.echo(f"key: {answer['key']}")
    placement = answer["placement"]
    if placement is None:
        typer.echo("not accepted: callers need a key that the configuration holds")
        return
    if placement["known_phase"]:
        typer.echo(
            f"a job with this id is {placement['known_phase']}, so a repeat is "
            "answered as accepted; the rest holds for a new job"
        )
    for former in placement.get("former_runs", ()):
        typer.echo(
            f"its task {former['task']} waits until run {former['run']} on "
            f"{former['worker']} is proven gone ({former['state']}, may exist for "
            f"{former['age_ms']} ms)"
        )
    if placement["customer"]:
        _print_customer(placement["customer"])
    _print_admission(placement["admission"])
    rank = placement["rank"]
    ahead = ", ".join(f"{n} {name}" for name, n in rank["ahead_by_class"].items())
    typer.echo(
        f"rank: class {rank['work_class']}, position {rank['position']} behind "
        f"{rank['position'] - 1} of {rank['pending']} pending jobs"
        + (f" ({ahead})" if ahead else "")
    )
    if placement["due_in_ms"]:
        typer.echo(f"due: in {placement['due_in_ms']} ms")
    if placement["blocked_by"]:
        typer.echo(f"the pool starts nothing of it now: {placement['blocked_by']}")
    for step in placement["steps"]:
        _print_step(step)
    if placement["other_steps"]:
        typer.echo(f"\n{placement['other_steps']} more steps are not explained")


def _print_customer(customer: dict[str, Any]) -> None:
    excess = "in excess of its weight" if customer["is_excess"] else "within its weight"
    over = "over" if customer["is_over_share"] else "below"
    typer.echo(
        f"customer {customer['name']}: weight {customer['weight']:g}, the job is "
        f"{excess}; holds {customer['held']:.4f} of the pool, {over} its share of "
        f"{customer['share']:.4f}"
    )
    cap = customer["cap"]
    if cap is None:
        typer.echo("cap: none")
        return
    verdict = "would start" if cap["may_start"] else "waits"
    reserved = (
        f", reserved for job {cap['reserved_for']}" if cap["reserved_for"] else ""
    )
    typer.echo(
        f"cap {_format_size(cap['cap'])}: used here {cap['used_share']:.4f} "
        f"({_format_size(cap['used'])}), may use {cap['share']:.4f} here, of which "
        f"granted {cap['granted']:.4f}; the first step needs {cap['next_share']:.4f}: "
        f"{verdict}{reserved}"
    )


def _print_admission(admission: dict[str, Any]) -> None:
    verdict = "accepted" if admission["is_accepted"] else "refused"
    retry = f", retry after {admission['retry_ms']} ms" if admission["retry_ms"] else ""
    typer.echo(f"{verdict}: {admission['reason']}{retry}")
    if admission["figures"]:
        figures = " ".join(f"{k}={v}" for k, v in admission["figures"].items())
        typer.echo(f"  {figures}")


def _print_step(step: dict[str, Any]) -> None:
    typer.echo()
    after = "".join(f" after step {number}" for number in step["after"])
    waits = f"; the rest waits for {step['waits_for']}" if step["waits_for"] else ""
    typer.echo(
        f"step {step['number']}{after}: {step['tasks']} tasks of "
        f"{_format_size(step['size'])}, expected {step['expected_ms']} ms (declared "
        f"{step['declared_ms']} ms, trust {step['trust']:.2f})"
    )
    ready = "could start now" if step["is_ready"] else "could start if it were ready"
    typer.echo(f"  {step['could_start']} {ready}{waits}")
    typer.echo(f"  {step['eligible']} workers could take a task")
    for worker, count in step["workers"].items():
        typer.echo(f"  {worker}: {count}")
    if step["ruled_out"]:
        rows = [
            (g["reason"], g["count"], " ".join(g["workers"])) for g in step["ruled_out"]
        ]
        print_table("Workers ruled out", ("reason", "workers", "such as"), rows)


def _format_size(size: list[int]) -> str:
    cpu, memory_mb, gpus = size
    gpu_text = f" {gpus} GPUs" if gpus else ""
    return f"{cpu / 1000:g} cores {memory_mb} MB{gpu_text}"
