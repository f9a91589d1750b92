"""Publish a document, determine the outcome, and wait until it is in force."""

import time
from collections.abc import Iterable
from typing import Any

from bergamotgap.cli.client import (
    OperatorAnswer,
    OperatorClient,
    OutcomeUnknownError,
    build_refusal_error,
)
from bergamotgap.cli.exits import EXIT_REFUSED, EXIT_UNKNOWN, CommandError
from bergamotgap.domain.document_diff import build_diff

POLL_INTERVAL_S = 0.5
# The record may still reach the log after the entry host stopped waiting for it.
LOOKUP_ATTEMPTS = 20
CONFLICT = 409


def publish_document(
    client: OperatorClient, document: str, base: int, operator: str
) -> int:
    """Publish a document and return its revision; raises CommandError.

    If the outcome is unknown, the revision is looked up before anything is reported.
    """
    body = {"base_revision": base, "document": document, "operator": operator}
    try:
        answer = client.send_change("POST", "/v1/catalogue", body)
    except OutcomeUnknownError as error:
        found = _poll_revision(client, base + 1)
        if found is None:
            raise _build_unknown_error(base, error.detail) from error
        if found["document"] == document and found["operator"] == operator:
            return base + 1
        current = client.get("/v1/catalogue")
        raise _build_current_conflict_error(current, document, base) from error
    if answer.status == CONFLICT and answer.code == "revision_conflict":
        return _resolve_conflict(answer)
    if not answer.is_ok:
        raise build_refusal_error(answer)
    return int(answer.payload["revision"])


def _poll_revision(client: OperatorClient, revision: int) -> dict[str, Any] | None:
    for _ in range(LOOKUP_ATTEMPTS):
        try:
            answer = client.fetch_answer(f"/v1/catalogue/{revision}")
        except CommandError:
            answer = None
        if answer is not None and answer.is_ok:
            found: dict[str, Any] = answer.payload
            return found
        time.sleep(POLL_INTERVAL_S)
    return None


def _build_unknown_error(base: int, detail: str) -> CommandError:
    text = (
        f"it is not known whether the publication took effect, and no revision "
        f"{base + 1} was found: {detail}; check with `catalogue show {base + 1}`, "
        f"if necessary on another entry host, before publishing again"
    )
    return CommandError(EXIT_UNKNOWN, "outcome_unknown", text)


def _build_current_conflict_error(
    current: dict[str, Any], document: str, base: int
) -> CommandError:
    revision = current["revision"]
    old_name = f"revision {revision}, in force"
    new_name = f"refused, based on revision {base}"
    payload = {
        "revision_in_force": revision,
        "operator_in_force": current["operator"],
        "diff": build_diff(current["document"], document, old_name, new_name),
    }
    return _build_conflict_error(payload)


def _resolve_conflict(answer: OperatorAnswer) -> int:
    """Return the revision in force if it has the same text, else raise CommandError."""
    if answer.payload["diff"] == "":
        return int(answer.payload["revision_in_force"])
    raise _build_conflict_error(answer.payload)


def _build_conflict_error(payload: dict[str, Any]) -> CommandError:
    revision = payload["revision_in_force"]
    detail = (
        f"refused: revision {revision} by {payload['operator_in_force']} is in force; "
        f"apply the changes above to it and publish with --base {revision}"
    )
    text = payload["diff"]
    return CommandError(EXIT_REFUSED, "revision_conflict", detail, payload, text)


def wait_until_in_force(
    client: OperatorClient, revision: int, timeout_s: float
) -> tuple[str, ...]:
    """Return all live entry hosts once each reports the revision or a later one.

    After `timeout_s` raises CommandError with the names of those that don't report it.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        reported, missing = _fetch_nodes_by_revision(client, revision)
        if reported and not missing:
            return reported
        if time.monotonic() >= deadline_s:
            break
        time.sleep(POLL_INTERVAL_S)
    detail = (
        f"revision {revision} is accepted, but after {timeout_s:g} s not reported by "
        f"{', '.join(missing) or client.server}"
    )
    payload = {"revision": revision, "in_force_on": reported, "missing": missing}
    raise CommandError(EXIT_UNKNOWN, "not_in_force_everywhere", detail, payload)


def _fetch_nodes_by_revision(
    client: OperatorClient, revision: int
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the live entry hosts that report at least the revision, and the rest."""
    try:
        nodes = client.get("/v1/nodes")["nodes"]
    except CommandError:
        # The revision is accepted, so an unreachable entry host is not a failure.
        return (), ()
    return _split_nodes_by_revision(nodes, revision)


def _split_nodes_by_revision(
    nodes: Iterable[dict[str, Any]], revision: int
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    live = [node for node in nodes if node["is_live"]]
    reports_revision = {n["node_id"]: n["catalogue_revision"] >= revision for n in live}
    reported = tuple(name for name, has_it in reports_revision.items() if has_it)
    return reported, tuple(
        name for name, has_it in reports_revision.items() if not has_it
    )
