"""Baseline: one FIFO queue for all requests, without admission control.

One such process replaces each entry host and gets an equal part of all slots.
"""

import asyncio
import itertools
import secrets
from typing import Annotated

import aiohttp
import typer
import uvloop
from aiohttp import web

BUSY_RETRY_DELAY_S = 0.005
LEASE_MS = 60_000


def build_app(workers: list[str], slots: int) -> web.Application:
    """Return a forwarder that runs up to `slots` tasks, on the workers in turn."""
    addresses = itertools.cycle(workers)
    # asyncio.Semaphore wakes its waiters in FIFO order.
    free = asyncio.Semaphore(slots)
    epochs: dict[str, str] = {}

    async def open_session(app: web.Application) -> None:
        app["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        for address in workers:
            async with app["session"].get(f"http://{address}/v1/status") as answer:
                epochs[address] = str((await answer.json())["epoch"])

    async def close_session(app: web.Application) -> None:
        await app["session"].close()

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        async with free:
            while True:
                response = await run_task(request, body)
                if response is not None:
                    return response
                await asyncio.sleep(BUSY_RETRY_DELAY_S)

    async def run_task(request: web.Request, body: bytes) -> web.Response | None:
        address = next(addresses)
        url = f"http://{address}/v1/tasks/{secrets.token_hex(12)}"
        headers = {"Pool-Epoch": epochs[address], "Lease-Ms": str(LEASE_MS)}
        post = request.app["session"].post
        async with post(url, data=body, headers=headers) as answer:
            if "Task-Refused" in answer.headers:
                return None
            outcome = {"Outcome": "done" if answer.status == 200 else "failed"}
            received = await answer.read()
            return web.Response(status=answer.status, body=received, headers=outcome)

    app = web.Application()
    app.on_startup.append(open_session)
    app.on_cleanup.append(close_session)
    app.router.add_post("/v1/requests/{entry}", forward)
    return app


def main(
    listen: Annotated[str, typer.Option(help="ip:port to listen on")],
    workers: Annotated[str, typer.Option(help="ip:port,ip:port,...")],
    slots: Annotated[int, typer.Option(help="maximum of concurrent tasks")],
) -> None:
    """Run the forwarder."""
    host, _, port = listen.rpartition(":")
    app = build_app(workers.split(","), slots)
    loop = uvloop.new_event_loop()
    web.run_app(
        app,
        host=host,
        port=int(port),
        print=None,
        loop=loop,
        access_log=None,
        handler_cancellation=True,
        backlog=4096,
    )


if __name__ == "__main__":
    typer.run(main)
