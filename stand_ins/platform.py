"""Stand-in for the platform: append-only streams with offsets, and a host list."""

import asyncio
import bisect
import re
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Literal

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from stand_ins.faults import FaultInjector, reject

MAX_RECORD_BYTES = 1 << 20
# JSON escaping can make a record several times as long in the request.
MAX_REQUEST_BYTES = 8 << 20
MAX_PAGE_RECORDS = 1000
MAX_WAIT_MS = 30_000
APPEND_RATE_WINDOW_MS = 1000
STREAM_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


class PlatformSettings(BaseModel):
    """Settings, given at the start or changed by `PUT /fakes/settings`.

    `append_rate` is the number of appends accepted within any second. Changes of hosts
    show in the host list after `hosts_lag_ms`.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    retention_ms: int = Field(default=3_600_000, ge=0)
    append_rate: int = Field(default=300, ge=0)
    hosts_lag_ms: int = Field(default=0, ge=0)


class Append(BaseModel):
    """The body of an append request."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    id: str = Field(min_length=1, max_length=256)
    body: str


class ReadQuery(BaseModel):
    """The query parameters of a read."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    start: int = Field(alias="from", ge=0)
    max: int = Field(default=MAX_PAGE_RECORDS, ge=1)
    wait_ms: int = Field(default=0, ge=0)


class ListedHost(BaseModel):
    """A host in the host list."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    host: str = Field(min_length=1)
    address: str = Field(pattern=r"^.+:\d+$")
    data_centre: str
    rack: str
    cpus: float = Field(gt=0)
    memory_mb: int = Field(gt=0)
    accelerators: int = Field(ge=0)
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    pool: str
    state: Literal["live", "leaving"]


@dataclass
class Stream:
    """The retained records of a stream and the offset of the first of them."""

    first_offset: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    appended: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self.first_offset + len(self.records)

    def drop_before(self, limit_ms: int) -> None:
        """Drop the records that were appended before `limit_ms`."""
        count = bisect.bisect_left(
            self.records, limit_ms, key=lambda record: int(record["appended_ms"])
        )
        del self.records[:count]
        self.first_offset += count


class Platform:
    """Serve streams and the host list over HTTP, from memory."""

    def __init__(
        self, hosts: list[dict[str, Any]], settings: PlatformSettings | None = None
    ) -> None:
        self._settings = settings or PlatformSettings()
        self._streams: dict[str, Stream] = {}
        self._hosts = {host["host"]: host for host in hosts}
        self._host_changes: deque[tuple[int, str, dict[str, Any] | None]] = deque()
        self._appended_ms: deque[float] = deque()
        self._faults = FaultInjector()

    def build_app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        self._faults.add_to(app)
        app.router.add_post("/streams/{name}/records", self._append)
        app.router.add_get("/streams/{name}/records", self._read)
        app.router.add_get("/hosts", self._list_hosts)
        app.router.add_put("/hosts/{host}", self._put_host)
        app.router.add_delete("/hosts/{host}", self._delete_host)
        app.router.add_put("/fakes/settings", self._put_settings)
        return app

    def _find_stream(self, request: web.Request) -> Stream | None:
        name = request.match_info["name"]
        if not STREAM_NAME.fullmatch(name):
            return None
        stream = self._streams.setdefault(name, Stream())
        stream.drop_before(_now_ms() - self._settings.retention_ms)
        return stream

    def _exceeds_append_rate(self) -> bool:
        now_ms = time.monotonic() * 1000
        while (
            self._appended_ms and self._appended_ms[0] <= now_ms - APPEND_RATE_WINDOW_MS
        ):
            self._appended_ms.popleft()
        if len(self._appended_ms) >= self._settings.append_rate:
            return True
        self._appended_ms.append(now_ms)
        return False

    async def _append(self, request: web.Request) -> web.Response:
        stream = self._find_stream(request)
        if stream is None:
            return reject("bad_stream", "not a stream name")
        try:
            append = Append.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_append", str(error))
        if len(append.body.encode()) > MAX_RECORD_BYTES:
            return reject("too_large", f"limit is {MAX_RECORD_BYTES} bytes", 413)
        if self._exceeds_append_rate():
            answer = reject("too_many_appends", "above the append rate", 429)
            answer.headers["Retry-After"] = "1"
            return answer
        offset = stream.next_offset
        stream.records.append(
            {
                "offset": offset,
                "appended_ms": _now_ms(),
                "id": append.id,
                "body": append.body,
            },
        )
        async with stream.appended:
            stream.appended.notify_all()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        stream = self._find_stream(request)
        if stream is None:
            return reject("bad_stream", "not a stream name")
        try:
            query = ReadQuery.model_validate(dict(request.query))
        except ValidationError as error:
            return reject("bad_query", str(error))
        wait_ms = min(query.wait_ms, MAX_WAIT_MS)
        if query.start >= stream.next_offset and wait_ms:
            await self._wait_for_append(stream, query.start, wait_ms)
        if query.start < stream.first_offset:
            body = {"code": "dropped", "first_offset": stream.first_offset}
            return web.json_response(body, status=410)
        index = query.start - stream.first_offset
        body = {
            "records": stream.records[index : index + min(query.max, MAX_PAGE_RECORDS)],
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
        }
        return web.json_response(body)

    async def _wait_for_append(self, stream: Stream, start: int, wait_ms: int) -> None:
        async def wait() -> None:
            async with stream.appended:
                await stream.appended.wait_for(lambda: stream.next_offset > start)

        try:
            await asyncio.wait_for(wait(), wait_ms / 1000)
        except TimeoutError:
            return

    def _queue_host_change(self, name: str, host: dict[str, Any] | None) -> None:
        self._host_changes.append((_now_ms(), name, host))

    async def _list_hosts(self, request: web.Request) -> web.Response:
        as_of_ms = _now_ms() - self._settings.hosts_lag_ms
        while self._host_changes and self._host_changes[0][0] <= as_of_ms:
            _, name, host = self._host_changes.popleft()
            if host is None:
                self._hosts.pop(name, None)
            else:
                self._hosts[name] = host
        hosts = list(self._hosts.values())
        return web.json_response({"as_of_ms": as_of_ms, "hosts": hosts})

    async def _put_host(self, request: web.Request) -> web.Response:
        try:
            host = ListedHost.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_host", str(error))
        if host.host != request.match_info["host"]:
            return reject("bad_host", "the path names another host")
        self._queue_host_change(host.host, host.model_dump())
        return web.json_response({})

    async def _delete_host(self, request: web.Request) -> web.Response:
        self._queue_host_change(request.match_info["host"], None)
        return web.json_response({})

    async def _put_settings(self, request: web.Request) -> web.Response:
        try:
            changes = PlatformSettings.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_settings", str(error))
        update = changes.model_dump(exclude_unset=True)
        self._settings = self._settings.model_copy(update=update)
        return web.json_response(self._settings.model_dump())
