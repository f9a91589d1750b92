"""Authenticate callers by API key, authorize entries, and build error responses."""

import hashlib
import math
from collections.abc import Callable

from aiohttp import web

from bergamotgap.domain.catalogue import Caller, Catalogue, Entry

BEARER_PREFIX = "Bearer "
MAX_KEY_CHARS = 512
MS_PER_SECOND = 1000

CatalogueSource = Callable[[], Catalogue | None]


def find_caller(request: web.Request, catalogue: Catalogue | None) -> Caller | None:
    """Return the caller that the bearer key of the request belongs to, if any."""
    value = request.headers.get("Authorization", "")
    if (
        catalogue is None
        or not value.startswith(BEARER_PREFIX)
        or len(value) > MAX_KEY_CHARS
    ):
        return None
    key = value[len(BEARER_PREFIX) :].encode(errors="surrogateescape")
    return catalogue.find_caller_by_key(hashlib.sha256(key).hexdigest())


def find_permitted_entry(
    caller: Caller, catalogue: Catalogue | None, name: str
) -> Entry | None:
    """Return the named entry, or None if the caller has no permission for it."""
    if catalogue is None or name not in caller.entries:
        return None
    return catalogue.find_entry(name)


def build_problem_response(
    status: int,
    code: str,
    outcome: str,
    detail: str = "",
    retry_after_ms: int | None = None,
) -> web.Response:
    """Return a problem+json response; `code` is stable, `detail` is for people."""
    headers = {"Outcome": outcome}
    if retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_ms / MS_PER_SECOND)))
    if status == web.HTTPUnauthorized.status_code:
        headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(
        {"type": "about:blank", "status": status, "code": code, "detail": detail},
        status=status,
        content_type="application/problem+json",
        headers=headers,
    )
