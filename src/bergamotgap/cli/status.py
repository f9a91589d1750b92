"""The `status` and `dump` commands."""

from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, Any

import typer

from bergamotgap.cli.client import OperatorClient
from bergamotgap.cli.output import (
    Output,
    OutputOption,
    ServerOption,
    print_json,
    print_table,
    report_errors,
)


class Section(StrEnum):
    """Sections of the status."""

    POOLS = "pools"
    HOSTS = "hosts"
    ENTRY_HOSTS = "entry-hosts"
    JOBS = "jobs"


PATHS = {
    Section.POOLS: "/v1/pools",
    Section.HOSTS: "/v1/hosts",
    Section.ENTRY_HOSTS: "/v1/nodes",
    Section.JOBS: "/v1/jobs",
}


@report_errors
def status(
    server: ServerOption,
    section: Annotated[
        Section | None, typer.Argument(help="by default all sections")
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show pools, hosts, entry hosts and jobs as one entry host sees them.

    Example: bergamotgap status

    Example: bergamotgap status hosts --output json
    """
    client = OperatorClient(server)
    sections = tuple(Section) if section is None else (section,)
    shown = {name: client.get(PATHS[name]) for name in sections}
    if output == Output.JSON:
        merged = {
            key: value for payload in shown.values() for key, value in payload.items()
        }
        print_json(merged if section != Section.JOBS else shown[Section.JOBS])
        return
    for number, (name, payload) in enumerate(shown.items()):
        if number:
            typer.echo()
        PRINTERS[name](payload)


def _print_pools(payload: dict[str, Any]) -> None:
    columns = (
        *("pool", "hosts", "serving", "must serve", "draining", "down"),
        *("slots", "min", "max", "spare"),
    )
    rows = [
        (
            *(p["pool"], p["hosts"], p["serving"], p["must_serve"]),
            *(p["draining"], p["down"], p["slots"], p["min_hosts"], p["max_hosts"]),
            "yes" if p["is_spare"] else "",
        )
        for p in payload["pools"]
    ]
    print_table("Pools", columns, rows)


def _print_hosts(payload: dict[str, Any]) -> None:
    columns = (
        *("host", "address", "data centre", "rack", "pool", "epoch", "state"),
        *("worker", "busy", "status age ms"),
    )
    rows = [
        (
            *(h["host"], h["address"], h["data_centre"], h["rack"], h["pool"]),
            *(h["epoch"], h["state"]),
            *_describe_worker(h["worker"]),
        )
        for h in payload["hosts"]
    ]
    print_table("Hosts", columns, rows)


def _describe_worker(worker: dict[str, Any] | None) -> tuple[object, object, object]:
    if worker is None:
        return "not heard", None, None
    return worker["state"], f"{worker['busy']}/{worker['slots']}", worker["age_ms"]


def _print_nodes(payload: dict[str, Any]) -> None:
    columns = (
        *("entry host", "data centre", "live", "revision", "control", "work"),
        *("platform", "age ms", "operator address"),
    )
    rows = [
        (
            *(n["node_id"], n["data_centre"], _get_liveness_name(n)),
            *(n["catalogue_revision"], n["control_offset"], n["work_offset"]),
            "reachable" if n["is_platform_reachable"] else "not reachable",
            *(n["age_ms"], n["operator_address"]),
        )
        for n in payload["nodes"]
    ]
    print_table("Entry hosts", columns, rows)


def _get_liveness_name(node: dict[str, Any]) -> str:
    if node["is_leaving"]:
        return "leaving"
    return "live" if node["is_live"] else "silent"


def _print_jobs(payload: dict[str, Any]) -> None:
    print_table("Jobs", ("state", "count"), payload["counts"].items())
    recent = payload["recent"]
    if recent:
        columns = tuple(recent[0])
        rows = [tuple(job.get(name) for name in columns) for job in recent]
        print_table("Recent jobs", columns, rows)


PRINTERS: dict[Section, Callable[[dict[str, Any]], None]] = {
    Section.POOLS: _print_pools,
    Section.HOSTS: _print_hosts,
    Section.ENTRY_HOSTS: _print_nodes,
    Section.JOBS: _print_jobs,
}


@report_errors
def dump(server: ServerOption) -> None:
    """Print an entry host's state as JSON; all ages are in milliseconds.

    Example: bergamotgap dump --server 10.0.0.1:7001
    """
    print_json(OperatorClient(server).get("/v1/dump"))
