"""Stand-in for the log service of the users' platform, over HTTP."""

import asyncio
import base64
import random
import struct
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Self

import msgspec
from aiohttp import web

from bergamotgap.ports.fleet import (
    AppendConflictError,
    Fence,
    FencedError,
    KeyedRecord,
    SequenceError,
)
from stand_ins.outages import Outages
from stand_ins.pool_store import FakeStore

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpServer:
    """HTTP server on a free loopback port."""

    def __init__(self, handle: Handler) -> None:
        self._runner = web.ServerRunner(web.Server(handle, access_log=None))
        self.address = ""

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close the server."""
        await self._runner.cleanup()


class UsersLog(Outages):
    """Log service with an in-memory store.

    Faults: `is_down` refuses all calls; `answer_loss_rate` is the fraction of calls
    that take effect but get no answer.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.store = FakeStore()
        self.answer_loss_rate = 0.0
        self._rng = rng
        self._members: dict[str, float] = {}
        self._generation = 1

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one call."""
        body = await request.read()
        if self.is_down:
            return web.Response(status=503)
        calls: dict[str, Callable[[web.BaseRequest, bytes], Awaitable[web.Response]]]
        calls = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._read_newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._list_owners,
        }
        response = await calls[request.path](request, body)
        if self._rng.random() < self.answer_loss_rate and request.transport is not None:
            request.transport.abort()
        return response

    async def _append(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        fence = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            fence = Fence(query["producer"], epoch, sequence)
        at = int(query["at"]) if "at" in query else None
        try:
            offset = await self.store.append(
                query["topic"],
                int(query["part"]),
                _read_records(body),
                expected_end=at,
                fence=fence,
            )
        except AppendConflictError as error:
            return build_answer(412, {"end": error.end_offset})
        except FencedError:
            return build_answer(409, {"reason": "fenced"})
        except SequenceError as error:
            return build_answer(409, {"reason": "seq", "expected": error.expected})
        return build_answer(200, {"offset": offset})

    async def _read(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        start, wait_ms = int(query["from"]), int(query.get("waitMs", 0))
        page = await self.store.read(
            query["topic"], int(query["part"]), start, min(wait_ms, 2000)
        )
        chunks = [struct.pack(">QQ", page.end_offset, 0)]
        for record in page.records:
            key, value = record.key.encode(), record.value or b""
            chunks.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)))
            chunks.append(key + value)
        return web.Response(body=b"".join(chunks))

    async def _read_newest(self, request: web.BaseRequest, body: bytes) -> web.Response:
        query = request.query
        newest = await self.store.read_newest_values(query["topic"], int(query["part"]))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in newest.values.items()
        ]
        return build_answer(
            200, {"items": items, "more": False, "end": newest.end_offset}
        )

    async def _join(self, request: web.BaseRequest, body: bytes) -> web.Response:
        call = msgspec.json.decode(body)
        until_s = asyncio.get_running_loop().time() + call["ttlMs"] / 1000
        if call["member"] not in self._list_live_members():
            self._generation += 1
        self._members[call["member"]] = until_s
        return build_answer(200, {"generation": self._generation, "parts": []})

    async def _leave(self, request: web.BaseRequest, body: bytes) -> web.Response:
        self._members.pop(msgspec.json.decode(body)["member"], None)
        self._generation += 1
        return build_answer(200, {})

    async def _list_owners(self, request: web.BaseRequest, body: bytes) -> web.Response:
        rows = [
            ["nodes.0", n, name, 0] for n, name in enumerate(self._list_live_members())
        ]
        return build_answer(200, {"owners": rows})

    def _list_live_members(self) -> list[str]:
        now_s = asyncio.get_running_loop().time()
        live = [name for name, until_s in self._members.items() if until_s > now_s]
        if len(live) != len(self._members):
            self._members = {name: self._members[name] for name in live}
            self._generation += 1
        return live


def build_answer(status: int, content: Mapping[str, Any]) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )


def _read_records(body: bytes) -> list[KeyedRecord]:
    records, position = [], 0
    while position < len(body):
        length, size = struct.unpack_from(">IB", body, position)
        content = body[position + 5 : position + 4 + length]
        key, value = content[:size].decode(), content[size:]
        records.append(KeyedRecord(key, value or None))
        position += 4 + length
    return records
