"""Errors of the operators' interface, as problem+json with stable codes."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.problems import list_field_problems

DEFAULT_LIST_LIMIT = 50
MAX_LIST_LIMIT = 1000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
M = TypeVar("M", bound=BaseModel)

log = get_logger(__name__)


class ProblemError(Exception):
    """Ends a call with a problem response; `outcome` says whether it took effect."""

    def __init__(
        self,
        status: int,
        code: str,
        detail: str = "",
        outcome: str = "not_run",
        **extension_members: Any,
    ) -> None:
        super().__init__(f"{code}: {detail}")
        self.status = status
        self.code = code
        self.detail = detail
        self.outcome = outcome
        self.extension_members = extension_members

    def build_response(self) -> web.Response:
        """Build the problem+json response."""
        payload = {
            "type": "about:blank",
            "status": self.status,
            "code": self.code,
            "detail": self.detail,
            **self.extension_members,
        }
        return web.json_response(
            payload,
            status=self.status,
            content_type="application/problem+json",
            headers={"Outcome": self.outcome},
        )


@web.middleware
async def convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert every error to problem+json; logs unexpected errors."""
    try:
        return await handler(request)
    except ProblemError as error:
        return error.build_response()
    except web.HTTPException as error:
        if error.status < 400:
            raise
        code = (error.reason or "error").lower().replace(" ", "_")
        response = ProblemError(error.status, code, error.text or "").build_response()
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
    except Exception:
        log.exception("operator call failed", method=request.method, path=request.path)
        # A call that changes something may have appended a record before it failed.
        outcome = "not_run" if request.method == "GET" else "unknown"
        return ProblemError(500, "internal_error", "", outcome).build_response()


async def read_body(request: web.Request, model: type[M]) -> M:
    """Return the validated JSON body; raises ProblemError with all field errors."""
    body = await request.read()
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        field_problems = list_field_problems(model, error)
    problems = [str(problem) for problem in field_problems]
    raise ProblemError(400, "malformed_body", "; ".join(problems), problems=problems)


def parse_limit(request: web.Request) -> int:
    """Return the query parameter `limit`; raises ProblemError if out of range."""
    text = request.query.get("limit", str(DEFAULT_LIST_LIMIT))
    limit = parse_number(text, "limit", MAX_LIST_LIMIT)
    if limit == 0:
        raise ProblemError(400, "malformed_number", "limit: value 0: at least 1")
    return limit


def parse_number(text: str, name: str, maximum: int) -> int:
    """Parse a whole number from 0 to `maximum`; raises ProblemError."""
    if text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= maximum:
        return int(text)
    detail = f"{name}: value {text[:40]!r}: allowed: a whole number 0 to {maximum}"
    raise ProblemError(400, "malformed_number", detail)
