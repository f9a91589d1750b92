"""Baseline: a round-robin forwarder without any policy."""

import itertools
import secrets
from typing import Annotated

import aiohttp
import typer
import uvloop
from aiohttp import web

LEASE_MS = "15000"


def build_app(workers: list[str]) -> web.Application:
    """Return an application that forwards to the workers (`ip:port`) in turn."""
    addresses = itertools.cycle(workers)
    headers: dict[str, dict[str, str]] = {}

    async def open_session(app: web.Application) -> None:
        app["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        for address in workers:
            async with app["session"].get(f"http://{address}/v1/status") as answer:
                epoch = str((await answer.json())["epoch"])
            headers[address] = {
                "Pool-Epoch": epoch,
                "Lease-Ms": LEASE_MS,
                "Accept-Encoding": "identity",
            }

    async def close_session(app: web.Application) -> None:
        await app["session"].close()

    async def forward(request: web.Request) -> web.Response:
        address = next(addresses)
        url = f"http://{address}/v1/tasks/{secrets.token_hex(12)}"
        body = await request.read()
        post = request.app["session"].post
        async with post(url, data=body, headers=headers[address]) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    app = web.Application(client_max_size=16 << 20)
    app.on_startup.append(open_session)
    app.on_cleanup.append(close_session)
    app.router.add_post("/v1/requests/{entry}", forward)
    return app


def main(
    listen: Annotated[str, typer.Option(help="ip:port to listen on")],
    workers: Annotated[str, typer.Option(help="ip:port,ip:port,...")],
) -> None:
    """Run the forwarder."""
    host, _, port = listen.rpartition(":")
    app = build_app(workers.split(","))
    loop = uvloop.new_event_loop()
    web.run_app(app, host=host, port=int(port), print=None, loop=loop, access_log=None)


if __name__ == "__main__":
    typer.run(main)
