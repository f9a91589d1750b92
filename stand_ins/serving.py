"""Serve the application of a stand-in on an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from stand_ins.faults import FAULTS

# Calls that run longer than this after the end of serving are cancelled.
SHUTDOWN_S = 0.1


@asynccontextmanager
async def serve_app(
    app: web.Application, address: str = "127.0.0.1:0"
) -> AsyncIterator[str]:
    """Serve while the context is open; yield the address with the port in use."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    try:
        assert runner.server is not None
        app[FAULTS].attach_server(runner.server)
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        yield f"{host}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
