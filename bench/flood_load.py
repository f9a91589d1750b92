"""Open-loop load generator for fleets: `python -m bench.flood_load PLAN RESULTS`.

Requests are sent as Poisson processes of fixed rates, whether or not earlier ones have
been answered.
"""

import asyncio
import time
from pathlib import Path
from typing import Annotated

import aiohttp
import msgspec
import numpy as np
import typer
import uvloop


class RequestStream(msgspec.Struct, frozen=True):
    """Requests of one entry, `rate` per second, each with the same deadline."""

    entry: str
    key: str
    rate: float
    deadline_ms: int


class LoadPlan(msgspec.Struct, frozen=True):
    """The streams to send, the target addresses (`ip:port`) and the duration.

    A caller closes its connection after `give_up_ms` without an answer.
    """

    name: str
    addresses: list[str]
    streams: list[RequestStream]
    seconds: float
    seed: int
    run_ms: int
    give_up_ms: int


class SentRequest(msgspec.Struct, frozen=True):
    """A sent request; `due_ms` is Unix time, `late_ms` the delay of sending.

    `outcome` is the header `Outcome`, or `given_up`, `connection_lost` or
    `wrong_answer`; `code` is the error code of the response.
    """

    entry: str
    key: str
    due_ms: float
    late_ms: float
    latency_ms: float
    outcome: str
    deadline_ms: int
    code: str = ""

    @property
    def is_on_time(self) -> bool:
        """Return whether the request was done within its deadline."""
        return self.outcome == "done" and self.latency_ms <= self.deadline_ms


class Problem(msgspec.Struct, frozen=True):
    """The fields used of an error response."""

    code: str = ""


def list_arrivals(plan: LoadPlan) -> list[tuple[float, RequestStream, str]]:
    """Return due times in seconds, each with its stream and target address."""
    source = np.random.default_rng(plan.seed)
    arrivals = []
    for stream in plan.streams:
        count = source.poisson(stream.rate * plan.seconds)
        times = source.uniform(0, plan.seconds, count)
        nodes = source.integers(len(plan.addresses), size=count)
        arrivals += [
            (float(due_s), stream, plan.addresses[node])
            for due_s, node in zip(times, nodes, strict=True)
        ]
    return sorted(arrivals, key=lambda item: item[0])


async def send(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    stream: RequestStream,
    address: str,
    key: str,
    due_s: float,
) -> SentRequest:
    """Send a request and return its outcome; `due_s` is monotonic time."""
    late_ms = (time.monotonic() - due_s) * 1000
    due_ms = time.time() * 1000 - late_ms
    url = f"http://{address}/v1/requests/{stream.entry}"
    headers = {
        "Authorization": f"Bearer {stream.key}",
        "Request-Id": key,
        "Deadline-Ms": str(stream.deadline_ms),
    }
    body = msgspec.json.encode({"run_ms": plan.run_ms, "key": key})
    outcome, code = "given_up", ""
    try:
        async with (
            asyncio.timeout(plan.give_up_ms / 1000),
            session.post(url, data=body, headers=headers) as answer,
        ):
            received = await answer.read()
            outcome = answer.headers.get("Outcome", str(answer.status))
            if outcome == "done" and received != body:
                outcome = "wrong_answer"
            if answer.content_type == "application/problem+json":
                code = msgspec.json.decode(received, type=Problem).code
    except TimeoutError:
        pass
    except (aiohttp.ClientError, OSError):
        outcome = "connection_lost"
    latency_ms = (time.monotonic() - due_s) * 1000
    return SentRequest(
        entry=stream.entry,
        key=key,
        due_ms=due_ms,
        late_ms=late_ms,
        latency_ms=latency_ms,
        outcome=outcome,
        deadline_ms=stream.deadline_ms,
        code=code,
    )


async def run(plan: LoadPlan) -> list[SentRequest]:
    """Send all requests of a plan."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        start_s = time.monotonic()
        tasks = []
        for number, (offset_s, stream, address) in enumerate(list_arrivals(plan)):
            due_s = start_s + offset_s
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            key = f"{plan.name}-{number}"
            call = send(session, plan, stream, address, key, due_s)
            tasks.append(asyncio.create_task(call))
        return list(await asyncio.gather(*tasks))


def main(
    plan: Annotated[Path, typer.Argument(help="JSON file")],
    results: Annotated[Path, typer.Argument(help="JSON file to write")],
) -> None:
    """Run a load plan."""
    decoded = msgspec.json.decode(plan.read_bytes(), type=LoadPlan)
    results.write_bytes(msgspec.json.encode(uvloop.run(run(decoded))))


if __name__ == "__main__":
    typer.run(main)
