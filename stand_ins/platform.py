"""Stand-in for the platform: append-only streams with offsets and a host list."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

MAX_BODY_BYTES = 1 << 20
MAX_PAGE = 1000
MAX_WAIT_MS = 30_000


@dataclass
class Stream:
    """One stream: records kept, and the offset of the first of them."""

    first_offset: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    grown: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self.first_offset + len(self.records)


class Platform:
    """Hold streams and hosts; serve them over HTTP."""

    def __init__(self, hosts: list[dict[str, Any]], retention_ms: int) -> None:
        self._streams: dict[str, Stream] = {}
        self._hosts = {host["host"]: host for host in hosts}
        self._retention_ms = retention_ms

    def build_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=2 * MAX_BODY_BYTES)
        app.router.add_post("/streams/{name}/records", self._append)
        app.router.add_get("/streams/{name}/records", self._read)
        app.router.add_get("/hosts", self._list_hosts)
        app.router.add_put("/hosts/{host}", self._put_host)
        return app

    def _stream(self, request: web.Request) -> Stream:
        return self._streams.setdefault(request.match_info["name"], Stream())

    def _drop_old(self, stream: Stream) -> None:
        limit_ms = time.time_ns() // 1_000_000 - self._retention_ms
        while stream.records and stream.records[0]["appended_ms"] < limit_ms:
            stream.records.pop(0)
            stream.first_offset += 1

    async def _append(self, request: web.Request) -> web.Response:
        payload = await request.json()
        if len(payload["body"]) > MAX_BODY_BYTES:
            return web.json_response({"code": "too_large"}, status=413)
        stream = self._stream(request)
        offset = stream.next_offset
        stream.records.append(
            {
                "offset": offset,
                "appended_ms": time.time_ns() // 1_000_000,
                "id": payload["id"],
                "body": payload["body"],
            },
        )
        async with stream.grown:
            stream.grown.notify_all()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        stream = self._stream(request)
        self._drop_old(stream)
        start = int(request.query["from"])
        limit = min(int(request.query.get("max", MAX_PAGE)), MAX_PAGE)
        wait_ms = min(int(request.query.get("wait_ms", 0)), MAX_WAIT_MS)
        if start < stream.first_offset:
            body = {"code": "dropped", "first_offset": stream.first_offset}
            return web.json_response(body, status=410)
        if start >= stream.next_offset and wait_ms:
            await self._wait_for_growth(stream, start, wait_ms)
        index = max(0, start - stream.first_offset)
        body = {
            "records": stream.records[index : index + limit],
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
        }
        return web.json_response(body)

    async def _wait_for_growth(self, stream: Stream, start: int, wait_ms: int) -> None:
        async def wait() -> None:
            async with stream.grown:
                await stream.grown.wait_for(lambda: stream.next_offset > start)

        try:
            await asyncio.wait_for(wait(), wait_ms / 1000)
        except TimeoutError:
            return

    async def _list_hosts(self, request: web.Request) -> web.Response:
        body = {
            "as_of_ms": time.time_ns() // 1_000_000,
            "hosts": list(self._hosts.values()),
        }
        return web.json_response(body)

    async def _put_host(self, request: web.Request) -> web.Response:
        host = await request.json()
        self._hosts[request.match_info["host"]] = host
        return web.json_response({})
