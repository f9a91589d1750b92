"""Entry hosts' operator interfaces on an in-memory platform."""

import asyncio
import threading
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from aiohttp import web

from bergamotgap.adapters.operator_http import OperatorApi, OperatorSources
from bergamotgap.domain.clock import SystemClock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.records import HostSeen, Record
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.platform import PlatformError
from tests.fakes_platform import FakePlatform

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
DOCUMENT = (
    Path(__file__).resolve().parent.parent / "catalogues" / "association.toml"
).read_text()


def host_seen(name: str, pool: str = "previews") -> HostSeen:
    return HostSeen(name, "10.0.0.1:80", "riga-1", "rack-1", 32, 65_536, 0, 8, pool)


@dataclass
class OperatorHost:
    """An entry host that folds `platform` and serves operators.

    The next `lost_answers` changes take effect, but the connection is aborted instead
    of an answer. The next `lost_calls` changes are aborted without effect. `nodes` is
    returned as the list of entry hosts.
    """

    platform: FakePlatform = field(default_factory=FakePlatform)
    nodes: list[dict[str, Any]] = field(default_factory=list)
    lost_answers: int = 0
    lost_calls: int = 0
    is_reading: bool = True
    address: str = ""

    async def __aenter__(self) -> Self:
        clock = SystemClock()
        self.stream = Stream("control", ControlState(), clock)
        self.writer = StreamWriter(self.stream, self.platform, clock, 0)
        self.calls: list[str] = []
        sources = OperatorSources(
            control=self.stream,
            writer=self.writer,
            clock=clock,
            dump=lambda: {"node_id": "entry-1"},
            is_ready=lambda: self.stream.state.catalogue is not None,
            list_nodes=lambda: self.nodes,
            read_status=lambda host: None,
        )
        app = OperatorApi(sources).build_app()
        app.middlewares.append(self._abort_changes)
        self._stack = AsyncExitStack()
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"
        reader = asyncio.create_task(self._read())
        self._stack.callback(reader.cancel)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def _read(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            if not self.is_reading:
                continue
            try:
                page = await self.platform.read(
                    "control", self.stream.next_offset, 100, 0
                )
            except PlatformError:
                continue
            self.stream.fold_records(page.records)

    @web.middleware
    async def _abort_changes(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        if request.method == "GET" or not (self.lost_answers or self.lost_calls):
            return await handler(request)
        assert request.transport is not None
        if self.lost_calls:
            self.lost_calls -= 1
            request.transport.abort()
            return web.Response()
        self.lost_answers -= 1
        try:
            return await handler(request)
        finally:
            request.transport.abort()

    async def append(self, *records: Record) -> None:
        """Append records as another entry host would."""
        for record in records:
            await self.writer.append(record, 5000)


@contextmanager
def run_in_thread(host: OperatorHost) -> Iterator[Callable[..., Any]]:
    """Serve in another thread; yields a function that runs a coroutine in it."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run(coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(30)

    run(host.__aenter__())
    try:
        yield run
    finally:
        run(host.__aexit__())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
