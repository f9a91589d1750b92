"""Run a local fleet, call it as callers and an operator do, and print the outcomes.

`python -m tools.demo --deployment association|vestfjord`
"""

import asyncio
import hashlib
import re
import sys
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import typer

from tools.fleet import Fleet, StartError
from tools.fleet_calls import CallerAnswer

DEMO_TIMEOUT_S = 100.0
STEP_TIMEOUT_S = 20.0
WAVE_TIMEOUT_S = 50.0
# Entry hosts query the status of workers every second.
STATUS_WAIT_S = 2.5
POLL_INTERVAL_S = 0.2
WORKERS_PER_PROCESS = 6
WAVE = "demo-wave"
COLUMNS = "{:<14} {:<24} {:<12} {:>7}  {:<9} {}"


@dataclass(frozen=True)
class Row:
    """A row of the table; `problem` is empty if the outcome is as expected."""

    who: str
    what: str
    how: str
    duration_ms: str
    outcome: str
    problem: str = ""


@dataclass(frozen=True)
class EntryUse:
    """A caller and one of its entries, with the entry host that it calls."""

    caller: str
    key: str
    entry: dict[str, Any]
    node: int

    @property
    def name(self) -> str:
        """Return the name of the entry."""
        return str(self.entry["name"])


def list_entry_uses(document: str, node_count: int) -> list[EntryUse]:
    """Return each caller with each of its entries.

    The catalogue has only hashes of the keys; the keys themselves are listed in its
    first comment.
    """
    comment = " ".join(line for line in document.split("\n\n")[0].splitlines())
    keys = re.findall(r"[a-z]+-key", comment)
    key_of = {hashlib.sha256(key.encode()).hexdigest(): key for key in keys}
    catalogue = tomllib.loads(document)
    entries = {entry["name"]: entry for entry in catalogue["entries"]}
    pairs = [
        (caller, name) for caller in catalogue["callers"] for name in caller["entries"]
    ]
    return [
        EntryUse(
            caller["name"], key_of[caller["key_sha256"]], entries[name], i % node_count
        )
        for i, (caller, name) in enumerate(pairs)
    ]


class Demo:
    """The steps of the demo on one fleet; collects the rows of the table."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._uses = list_entry_uses(fleet.document, fleet.node_count)
        self._catalogue = tomllib.loads(fleet.document)
        self.rows: list[Row] = []

    async def run(self) -> None:
        """Run all steps."""
        publish = self._run_step("operator", "catalogue", "publish", self._publish())
        self.rows.append(await publish)
        await asyncio.sleep(STATUS_WAIT_S)
        calls = (("request", self._send_request), ("job", self._run_job))
        steps = [
            self._run_step(use.caller, use.name, how, call(use, _build_body(use, how)))
            for use in self._uses
            for how, call in calls
        ]
        self.rows += await asyncio.gather(*steps)
        self._check_starts()
        pool = self._catalogue["pools"][0]["name"]
        wave = self._run_step(
            "operator", f"pool {pool}", "maintenance", self._run_wave(pool)
        )
        self.rows.append(await wave)

    async def _run_step(
        self, who: str, what: str, how: str, step: Awaitable[tuple[str, str]]
    ) -> Row:
        begun = time.monotonic()
        try:
            outcome, problem = await step
        except TimeoutError:
            outcome, problem = "none", "not finished within the time limit"
        except Exception as error:
            outcome, problem = "none", repr(error)
        duration_ms = int((time.monotonic() - begun) * 1000)
        return Row(who, what, how, str(duration_ms), outcome, problem)

    async def _publish(self) -> tuple[str, str]:
        status = await self._fleet.publish()
        if status != 200:
            return "refused", f"status {status}"
        await self._fleet.wait_until_ready()
        await self._fleet.wait_until_assigned()
        return "in force", ""

    async def _send_request(self, use: EntryUse, body: bytes) -> tuple[str, str]:
        answer = await self._fleet.calls.send_request(use.name, body, use.key, use.node)
        return _check_answer(answer, body)

    async def _run_job(self, use: EntryUse, body: bytes) -> tuple[str, str]:
        calls = self._fleet.calls
        accepted = await calls.submit_job(use.name, body, use.key, use.node)
        if accepted.status != 202:
            return accepted.outcome or "none", _describe(accepted)
        job = accepted.payload["job"]
        # Every entry host knows every job, so a different one is queried.
        node = (use.node + 1) % self._fleet.node_count
        ended = await calls.wait_for_job(job, use.key, STEP_TIMEOUT_S, node)
        outcome = str(ended.payload["outcome"])
        if outcome != "done":
            return outcome, _describe(ended)
        result = await calls.call_jobs("GET", f"/{job}/result", use.key, node=node)
        return _check_answer(result, body)

    def _check_starts(self) -> None:
        starts = Counter(start["body"] for start in self._fleet.read_starts())
        non_idempotent = [use for use in self._uses if not use.entry["idempotent"]]
        for use in non_idempotent:
            for how in ("request", "job"):
                count = starts[_build_body(use, how).decode()]
                problem = "" if count == 1 else "expected exactly one start"
                row = Row("workers", use.name, f"{how} starts", "", str(count), problem)
                self.rows.append(row)

    async def _run_wave(self, pool: str) -> tuple[str, str]:
        hosts = [h["host"] for h in self._fleet.hosts if h["pool"] == pool]
        boot_ids = {h: (await self._read_worker_status(h))["boot_id"] for h in hosts}
        body = {"wave": WAVE, "hosts": hosts, "operator": "operator"}
        declared = await self._fleet.calls.call_operator("POST", "/v1/waves", body)
        if declared.status not in (200, 201, 202):
            return "refused", _describe(declared)
        entry_use = next(
            entry_use for entry_use in self._uses if entry_use.entry["pool"] == pool
        )
        answers: Counter[str] = Counter()
        min_serving = len(hosts)
        try:
            async with asyncio.timeout(WAVE_TIMEOUT_S):
                while not await self._is_maintained(boot_ids):
                    statuses = [await self._read_worker_status(host) for host in hosts]
                    serving = sum(s["state"] == "serving" for s in statuses)
                    min_serving = min(min_serving, serving)
                    outcome, _ = await self._send_request(
                        entry_use, b"during maintenance"
                    )
                    answers[outcome] += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return (
                "not ended",
                f"hosts serving: at least {min_serving}; {dict(answers)}",
            )
        return "ended", self._check_wave(pool, len(hosts), min_serving, answers)

    def _check_wave(
        self, pool: str, hosts: int, min_serving: int, answers: Counter[str]
    ) -> str:
        entries = [e for e in self._catalogue["entries"] if e["pool"] == pool]
        budget = max(float(entry["availability"]) for entry in entries)
        if min_serving < budget * hosts:
            return f"only {min_serving} of {hosts} hosts were serving"
        if set(answers) - {"done"}:
            return f"requests during the wave: {dict(answers)}"
        return ""

    async def _is_maintained(self, boot_ids: dict[str, str]) -> bool:
        for host, boot_id in boot_ids.items():
            status = await self._read_worker_status(host)
            if status["boot_id"] == boot_id or status["state"] != "serving":
                return False
        return True

    async def _read_worker_status(self, host: str) -> dict[str, Any]:
        return await self._fleet.read_worker_status(host)


def _build_body(use: EntryUse, how: str) -> bytes:
    return f"{use.caller} {use.name} {how}".encode()


def _check_answer(answer: CallerAnswer, body: bytes) -> tuple[str, str]:
    outcome = answer.outcome or "none"
    if answer.status != 200 or outcome != "done":
        return outcome, _describe(answer)
    return outcome, (
        "" if answer.body == body else "the response body belongs to another request"
    )


def _describe(answer: CallerAnswer) -> str:
    detail = "" if answer.payload is None else f": {answer.payload}"
    return f"status {answer.status}{detail}"


def print_table(rows: list[Row]) -> None:
    """Print one line per row and a summary."""
    print(COLUMNS.format("who", "what", "how", "ms", "outcome", "problem").rstrip())
    for row in rows:
        line = COLUMNS.format(
            row.who, row.what, row.how, row.duration_ms, row.outcome, row.problem
        )
        print(line.rstrip())
    expected_count = sum(not row.problem for row in rows)
    print(f"\n{expected_count} of {len(rows)} outcomes are as expected.")


async def run_demo(deployment: str) -> bool:
    """Run the demo; return whether every outcome is as expected."""
    fleet = Fleet(deployment=deployment, workers_per_process=WORKERS_PER_PROCESS)
    demo = Demo(fleet)
    places = len({node.data_centre for node in fleet.nodes})
    print(
        f"Fleet of the {deployment} deployment: {len(fleet.hosts)} workers and"
        f" {len(fleet.nodes)} entry hosts in {places} data centres.\n"
        "Each caller uses each of its entries, as a request and as a job; then one\n"
        "pool's hosts are drained and rebooted while requests go on.\n"
    )
    is_complete = True
    try:
        async with asyncio.timeout(DEMO_TIMEOUT_S), fleet:
            await demo.run()
    except (TimeoutError, StartError) as error:
        is_complete = False
        print(f"The demo did not finish: {error!r}\n")
    print_table(demo.rows)
    return is_complete and not any(row.problem for row in demo.rows)


def main(
    deployment: Annotated[
        Literal["association", "vestfjord"], typer.Option(help="deployment to run")
    ] = "association",
) -> None:
    """Run the demo; exit with 0 only if every outcome is as expected."""
    sys.exit(0 if asyncio.run(run_demo(deployment)) else 1)


if __name__ == "__main__":
    typer.run(main)
