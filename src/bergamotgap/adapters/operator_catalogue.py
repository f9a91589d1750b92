"""Routes of the operators' interface for the catalogue and its history."""

import asyncio
import json
from typing import Annotated

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bergamotgap.adapters.operator_appends import (
    CONFLICT,
    STATUS_BY_CODE,
    append_record,
)
from bergamotgap.adapters.operator_problems import (
    ProblemError,
    parse_limit,
    parse_number,
    read_body,
)
from bergamotgap.domain.catalogue import CatalogueError, parse_catalogue
from bergamotgap.domain.control_state import ControlState, Revision
from bergamotgap.domain.document_diff import build_diff
from bergamotgap.domain.folding import Rejected
from bergamotgap.domain.records import CataloguePublished, encode_batch, wrap_record
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter

MAX_REVISION = 1_000_000_000
# The platform refuses appends above 1 MiB; 4096 bytes are kept for the envelope.
MAX_APPEND_BYTES = (1 << 20) - 4096

OperatorName = Annotated[str, Field(pattern=r"^[^\x00-\x1f]{1,128}$")]


class PublishBody(BaseModel):
    """A document to publish and the revision that it is based on."""

    model_config = ConfigDict(extra="forbid", strict=True)

    base_revision: int = Field(ge=0, le=MAX_REVISION)
    document: str
    operator: OperatorName


class CatalogueRoutes:
    """Serves and publishes revisions of the catalogue."""

    def __init__(self, control: Stream[ControlState], writer: StreamWriter) -> None:
        self._control = control
        self._writer = writer

    def add_routes(self, app: web.Application) -> None:
        """Register the routes."""
        app.router.add_get("/v1/catalogue", self._get_current)
        app.router.add_post("/v1/catalogue", self._publish)
        app.router.add_get("/v1/catalogue/{revision}", self._get_revision)
        app.router.add_get("/v1/history", self._get_history)

    async def _get_current(self, request: web.Request) -> web.Response:
        state = self._control.state
        current = state.revisions.get(state.revision)
        if current is None:
            return web.json_response({"revision": 0, "document": ""})
        return web.json_response(_describe_revision(current, with_document=True))

    async def _get_revision(self, request: web.Request) -> web.Response:
        text = request.match_info["revision"]
        number = parse_number(text, "revision", MAX_REVISION)
        revision = self._control.state.revisions.get(number)
        if revision is None:
            in_force = self._control.state.revision
            detail = f"no revision {number} is kept; revision {in_force} is in force"
            raise ProblemError(404, "unknown_revision", detail)
        return web.json_response(_describe_revision(revision, with_document=True))

    async def _get_history(self, request: web.Request) -> web.Response:
        """Return the newest revisions, the newest first."""
        limit = parse_limit(request)
        revisions = self._control.state.revisions
        newest = sorted(revisions, reverse=True)[:limit]
        listed = [_describe_revision(revisions[n], with_document=False) for n in newest]
        return web.json_response({"revisions": listed})

    async def _publish(self, request: web.Request) -> web.Response:
        body = await read_body(request, PublishBody)
        _check_document(body.document)
        if body.base_revision < self._control.state.revision:
            # Revision numbers only increase, so the record can't take effect any more.
            raise await self._build_conflict(body)
        record = CataloguePublished(
            body.base_revision + 1, body.base_revision, body.document, body.operator
        )
        _check_record_size(record)
        effect = await append_record(self._writer, record)
        if isinstance(effect, Rejected) and effect.code == "revision_conflict":
            raise await self._build_conflict(body)
        if isinstance(effect, Rejected):
            status = STATUS_BY_CODE.get(effect.code, CONFLICT)
            raise ProblemError(status, effect.code, effect.detail)
        return web.json_response({"revision": record.revision})

    async def _build_conflict(self, body: PublishBody) -> ProblemError:
        state = self._control.state
        current = state.revisions.get(state.revision)
        document, operator = (
            (current.document, current.operator) if current else ("", "")
        )
        # Comparing long documents takes a while and must not block other requests.
        diff = await asyncio.to_thread(
            build_diff,
            document,
            body.document,
            f"revision {state.revision}, in force",
            f"refused, based on revision {body.base_revision}",
        )
        detail = (
            f"revision {state.revision} is in force, "
            f"but the document was edited from revision {body.base_revision}"
        )
        return ProblemError(
            CONFLICT,
            "revision_conflict",
            detail,
            revision_in_force=state.revision,
            operator_in_force=operator,
            diff=diff,
        )


def _check_document(document: str) -> None:
    try:
        parse_catalogue(document)
    except CatalogueError as error:
        problems = [str(problem) for problem in error.problems]
        raise ProblemError(
            422, "invalid_catalogue", "; ".join(problems), problems=problems
        ) from error


def _check_record_size(record: CataloguePublished) -> None:
    body = encode_batch([wrap_record("0" * 24, record)])
    size = len(json.dumps(body))
    if size > MAX_APPEND_BYTES:
        problem = (
            f"size: value {size} bytes as a record: "
            f"allowed: at most {MAX_APPEND_BYTES} bytes"
        )
        raise ProblemError(422, "invalid_catalogue", problem, problems=[problem])


def _describe_revision(revision: Revision, with_document: bool) -> dict[str, str | int]:
    described: dict[str, str | int] = {
        "revision": revision.revision,
        "operator": revision.operator,
        "appended_ms": revision.appended_ms,
        "bytes": len(revision.document.encode()),
    }
    if with_document:
        described["document"] = revision.document
    return described
