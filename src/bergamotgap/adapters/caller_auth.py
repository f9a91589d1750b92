"""Identify callers by key, and find what they may use."""

import hashlib
from collections.abc import Callable

from aiohttp import web

from bergamotgap.domain.catalogue import Caller, Catalogue, Entry

BEARER = "Bearer "


def find_caller(request: web.Request, catalogue: Catalogue | None) -> Caller | None:
    """Return the caller whose key the request carries."""
    value = request.headers.get("Authorization", "")
    if catalogue is None or not value.startswith(BEARER):
        return None
    digest = hashlib.sha256(value.removeprefix(BEARER).encode()).hexdigest()
    return next((c for c in catalogue.callers if c.key_sha256 == digest), None)


def find_entry(caller: Caller, catalogue: Catalogue | None, name: str) -> Entry | None:
    """Return the entry if the caller may use it."""
    if catalogue is None or name not in caller.entries:
        return None
    return catalogue.find_entry(name)


def build_problem(
    status: int, code: str, outcome: str, detail: str = ""
) -> web.Response:
    """Return a problem+json answer with a stable code."""
    return web.json_response(
        {"type": "about:blank", "status": status, "code": code, "detail": detail},
        status=status,
        content_type="application/problem+json",
        headers={"Outcome": outcome},
    )


CatalogueSource = Callable[[], Catalogue | None]
