"""HTTP load generator; `python -m bench.http_load` prints its results as JSON."""

import asyncio
import json
import time
from typing import Annotated, cast

import typer
import uvloop

HEAD_END = b"\r\n\r\n"
LAST_ANSWERS_TIMEOUT_S = 5.0


class Connection(asyncio.Protocol):
    """A persistent connection that carries one request at a time.

    It parses only the status and the content length, so that one generator process can
    saturate an entry host.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._answer: asyncio.Future[bool] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(False)

    def data_received(self, data: bytes) -> None:
        """Finish the request once its response is complete."""
        self._buffer += data
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return
        head = self._buffer[:end].lower()
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(self._buffer) - end - len(HEAD_END) < length:
            return
        self._buffer = b""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(head.startswith(b"http/1.1 200"))

    async def request(self, message: bytes) -> bool:
        """Send a request and return whether it was answered with 200."""
        self._answer = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        if self._transport.is_closing():
            return False
        self._transport.write(message)
        return await self._answer


class LoadRun:
    """A load run: latencies of successful requests and the number of errors."""

    def __init__(self, message: bytes, host: str, port: int) -> None:
        self._message = message
        self._address = (host, port)
        self._free: list[Connection] = []
        self.latencies_ms: list[float] = []
        self.errors = 0

    async def get_connection(self) -> Connection:
        """Return an idle connection, or open a new one."""
        if self._free:
            return self._free.pop()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, *self._address)
        return connection

    async def send(self, due_s: float) -> None:
        """Send a request; its latency is measured from the time it was due."""
        connection = await self.get_connection()
        if await connection.request(self._message):
            self.latencies_ms.append((time.perf_counter() - due_s) * 1000)
            self._free.append(connection)
        else:
            self.errors += 1

    async def run_closed(self, seconds: float, concurrency: int) -> None:
        """Run a closed loop with a fixed number of concurrent requests."""
        end_s = time.perf_counter() + seconds

        async def repeat() -> None:
            while time.perf_counter() < end_s:
                await self.send(time.perf_counter())

        await asyncio.gather(*(repeat() for _ in range(concurrency)))

    async def run_open(self, seconds: float, rate: float) -> None:
        """Run an open loop: send at a fixed rate, however long responses take."""
        start_s = time.perf_counter()
        sent: list[asyncio.Task[None]] = []
        for number in range(int(seconds * rate)):
            due_s = start_s + number / rate
            wait_s = due_s - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            sent.append(asyncio.create_task(self.send(due_s)))
        await asyncio.wait(sent, timeout=LAST_ANSWERS_TIMEOUT_S)


def main(
    address: Annotated[str, typer.Option(help="ip:port of the caller API")],
    entry: Annotated[str, typer.Option()],
    key: Annotated[str, typer.Option()],
    seconds: Annotated[float, typer.Option()],
    concurrency: Annotated[int, typer.Option(help="closed loop if no rate")] = 16,
    rate: Annotated[float, typer.Option(help="requests per second")] = 0.0,
    body_bytes: Annotated[int, typer.Option()] = 256,
) -> None:
    """Send requests and print errors and latencies."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST /v1/requests/{entry} HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    load = LoadRun(head.encode() + b"x" * body_bytes, host, int(port))
    if rate:
        uvloop.run(load.run_open(seconds, rate))
    else:
        uvloop.run(load.run_closed(seconds, concurrency))
    print(json.dumps({"errors": load.errors, "latencies_ms": load.latencies_ms}))


if __name__ == "__main__":
    typer.run(main)
