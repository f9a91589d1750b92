"""Client of stand-ins that run in the process of the test."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp

from stand_ins.platform import Platform, PlatformSettings
from stand_ins.serving import serve_app
from stand_ins.worker import Worker, WorkerSettings

HOST = {
    "host": "audits-1",
    "address": "127.0.0.1:1000",
    "data_centre": "riga-1",
    "rack": "riga-1-rack-1",
    "cpus": 32.0,
    "memory_mb": 65536,
    "accelerators": 0,
    "slots": 8,
    "connections": 64,
    "pool": "audits",
    "state": "live",
}
ORDER = {"Pool-Epoch": "1", "Lease-Ms": "60000", "Entry": "audit-export"}
LONG_TASK = {"run_ms": 3_600_000}


class Api:
    """Client of one stand-in."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    async def call(
        self, method: str, path: str, body: Any = None, **options: Any
    ) -> tuple[int, Any, Any]:
        url = f"http://{self.address}{path}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.session.request(method, url, data=data, **options) as answer:
            text = await answer.read()
            is_json = answer.content_type == "application/json"
            return answer.status, json.loads(text) if is_json else text, answer.headers

    async def run_task(self, task: str, body: Any = b"", **headers: Any) -> Any:
        headers = {name.replace("_", "-"): str(v) for name, v in headers.items()}
        return await self.call(
            "POST", f"/v1/tasks/{task}", body, headers=ORDER | headers
        )

    async def get_task(self, task: str) -> dict[str, Any]:
        return (await self.call("GET", f"/v1/tasks/{task}"))[1]

    async def send_verb(self, task: str, verb: str) -> dict[str, Any]:
        return (await self.call("POST", f"/v1/tasks/{task}/{verb}"))[1]

    async def wait_for(self, path: str, **wanted: Any) -> None:
        while True:
            _, body, _ = await self.call("GET", path)
            if wanted.items() <= body.items():
                return
            await asyncio.sleep(0.01)


@asynccontextmanager
async def open_api(app: Any) -> AsyncIterator[Api]:
    """Serve a stand-in; each call uses a new connection, as fault tests need."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        asyncio.timeout(20),
        serve_app(app) as address,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        yield Api(session, address)


@asynccontextmanager
async def open_worker(
    starts: Path | None = None, **settings: Any
) -> AsyncIterator[Api]:
    worker = Worker("audits-1", WorkerSettings(**settings), starts)
    async with open_api(worker.build_app()) as api:
        await api.call("PUT", "/v1/assignment", {"pool": "audits", "epoch": 1})
        yield api


@asynccontextmanager
async def open_platform(**settings: Any) -> AsyncIterator[Api]:
    platform = Platform([HOST], PlatformSettings(**settings))
    async with open_api(platform.build_app()) as api:
        yield api
