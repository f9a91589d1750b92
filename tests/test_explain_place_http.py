"""Explanations over the peer interface, HTTP and the command line."""

import asyncio
import dataclasses
import json
import socket
from pathlib import Path

import msgspec
import pytest
import structlog
from aiohttp import web
from click.testing import Result
from typer.testing import CliRunner

from bergamotgap.adapters.pool_grpc import GrpcPoolPeerClient, GrpcPoolServer
from bergamotgap.cli.main import app
from bergamotgap.domain.fleet import (
    FleetConfig,
    Size,
)
from bergamotgap.domain.placement_explanation import PlacementExplanation
from bergamotgap.platform.ingress import Ingress
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.request_outcomes import OutcomeUnknown
from bergamotgap.pools.requests import JobRequests
from bergamotgap.ports.pool_peer import (
    ExplainCall,
    ExplainReply,
    KeyRejectedReply,
    KeyUse,
    PoolCall,
    PoolReply,
)
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import LoopClock
from tests.explain_scene import (
    BODY,
    KEY,
    build_config,
    build_spec,
    play,
)
from tests.pool_scene import Scene
from tests.test_platform_adapter import JOB_ID, FakeMetrics, Handler, serve


async def call_owner(pool: Pool, config: FleetConfig, call: ExplainCall) -> PoolReply:
    requests = JobRequests(
        {"previews": pool},
        lambda name: "10.0.0.1:7000",
        lambda: config,
        "10.0.0.1:7000",
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        LoopClock(),
    )
    return await requests.answer_call(call)


def test_a_withdrawn_key_is_reported_without_a_log_line() -> None:
    """Guards against an explanation for a customer whose key was withdrawn."""

    async def check(scene: Scene, pool: Pool) -> None:
        config = dataclasses.replace(build_config(), version=2)
        spec = build_spec("j", "acme")
        call = ExplainCall("previews", spec, KeyUse("not a digest", 1))
        with structlog.testing.capture_logs() as lines:
            assert await call_owner(pool, config, call) == KeyRejectedReply()
        assert lines == []
        reply = await call_owner(pool, config, ExplainCall("previews", spec))
        assert isinstance(reply, ExplainReply)
        # It survives the peer interface.
        encoded = msgspec.msgpack.encode(reply)
        assert msgspec.msgpack.decode(encoded, type=PoolReply) == reply

    play(check)


async def test_a_node_asks_the_owner_over_the_peer_interface() -> None:
    """Guards against a node that explains only the pools which it owns itself."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        owner = f"127.0.0.1:{opened.getsockname()[1]}"
    client = GrpcPoolPeerClient()
    other = JobRequests(
        {},
        lambda name: owner,
        lambda: CONFIG,
        "10.0.0.2:7000",
        client,
        None,  # type: ignore[arg-type]
        LoopClock(),
    )
    async with Scene().run_owner(1) as (pool, _):

        async def answer(call: PoolCall) -> PoolReply:
            assert isinstance(call, ExplainCall)
            return await call_owner(pool, CONFIG, call)

        async with GrpcPoolServer(owner, answer):
            await asyncio.sleep(0.3)
            found = await other.explain(build_spec(), CONFIG.queues[0], 3000)
            assert isinstance(found, PlacementExplanation)
            assert found.steps[0].could_start == 2
        with structlog.testing.capture_logs() as lines:
            lost = await other.explain(build_spec(), CONFIG.queues[0], 400)
        assert (isinstance(lost, OutcomeUnknown), lines) == (True, [])
    await client.close()


class Node:
    """The HTTP servers of a node, whose pool a scene's owner has, if any."""

    def __init__(self, config: FleetConfig | None, pool: Pool | None = None) -> None:
        self.config = config
        self.is_current = True
        requests = JobRequests(
            {"previews": pool} if pool else {},
            lambda name: "10.0.0.1:7000",
            lambda: self.config,
            "10.0.0.1:7000",
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            LoopClock(),
        )
        self.ingress = Ingress(
            requests,
            lambda: self.config,
            lambda: self.is_current,
            lambda: True,
            ("", "", ""),
            FakeMetrics(),  # type: ignore[arg-type]
            LoopClock(),
        )

    async def handle_operator(self, request: web.Request) -> web.StreamResponse:
        return await self.ingress.build_operator_handler()(request)

    async def handle_caller(self, request: web.Request) -> web.StreamResponse:
        return await self.ingress._handle_request(request)


async def test_the_operators_address_explains_and_the_callers_address_does_not() -> (
    None
):
    """Guards against customers who can look into the queue, and lost metrics."""
    async with Scene().run_owner(1) as (pool, _):
        await asyncio.sleep(0.3)
        node = Node(build_config(), pool)
        pool.update_config(build_config())
        query = f"host=previews.example&path=/previews/{JOB_ID}"
        with structlog.testing.capture_logs() as lines:
            async with serve(node.handle_operator) as (session, address):
                url = f"http://{address}/explain/place?{query}"
                headers = {"Customer-Key": KEY}
                async with session.post(url, json=BODY, headers=headers) as reply:
                    text, status = await reply.text(), reply.status
                async with session.post(url, json=BODY) as reply:
                    missing = await reply.json()
                headers = {"Customer-Key": "wrong-key"}
                async with session.post(url, json=BODY, headers=headers) as reply:
                    unknown = await reply.text()
                async with session.get(f"http://{address}/metrics") as reply:
                    assert "python_info" in await reply.text()
        answer = json.loads(text)
        assert (status, answer["queue"], answer["pool"]) == (
            200,
            "q-previews",
            "previews",
        )
        assert answer["key"] == "known"
        assert answer["placement"]["customer"]["name"] == "acme"
        assert answer["placement"]["steps"][0]["could_start"] == 2
        assert (missing["key"], missing["placement"]) == ("missing", None)
        assert json.loads(unknown)["key"] == "unknown"
        assert KEY not in text + repr(lines)
        assert "wrong-key" not in unknown + repr(lines)
        assert lines == []
        async with serve(node.handle_caller) as (session, address):
            url = f"http://{address}/explain/place?{query}"
            async with session.post(url, json=BODY) as reply:
                assert reply.status == 404


@pytest.mark.parametrize(
    ("config", "query", "body", "status", "code"),
    [
        (None, "queue=q-previews", b"{}", 503, "no_configuration"),
        (CONFIG, "queue=other", b"{}", 404, "no_such_queue"),
        (CONFIG, "host=a.example&path=/x", b"{}", 404, "no_such_queue"),
        (CONFIG, "queue=q-previews", b"{", 400, "malformed_job"),
        (CONFIG, "queue=q-previews", b'{"steps":[]}', 400, "malformed_job"),
        (CONFIG, "queue=q-previews", json.dumps(BODY).encode(), 503, "no_owner"),
    ],
)
async def test_what_can_not_be_known_is_an_error_with_a_code(
    config: FleetConfig | None, query: str, body: bytes, status: int, code: str
) -> None:
    """Guards against an empty explanation in place of an error."""
    async with serve(Node(config).handle_operator) as (session, address):
        url = f"http://{address}/explain/place?{query}"
        async with session.post(url, data=body) as reply:
            answer = await reply.json()
    assert (reply.status, answer["code"]) == (status, code)
    assert answer["detail"]


async def run_command(
    handle: Handler, *arguments: str, env: dict[str, str] | None = None
) -> Result:
    """Run the command against a node of this event loop, with a job as input."""
    async with serve(handle) as (_, address):
        command = ["explain-place", "--node", address, *arguments]
        return await asyncio.to_thread(
            CliRunner().invoke, app, command, input=json.dumps(BODY), env=env
        )


async def test_a_job_without_an_id_is_not_taken_for_a_known_one() -> None:
    """Guards against a stand-in for the id that a caller can send, such as zeros."""
    async with Scene().run_owner(1) as (pool, _):
        await asyncio.sleep(0.3)
        for job_id in ("0" * 16, JOB_ID):
            await pool.submit(build_spec(job_id))
        phases = []
        async with serve(Node(CONFIG, pool).handle_operator) as (session, address):
            for path in ("/previews/", f"/previews/{JOB_ID}"):
                query = f"host=previews.example&path={path}"
                url = f"http://{address}/explain/place?{query}"
                async with session.post(url, json=BODY) as reply:
                    phases.append((await reply.json())["placement"]["known_phase"])
    assert phases[0] == ""
    assert phases[1] in ("queued", "running")


async def test_the_command_prints_the_explanation_but_not_the_key(
    tmp_path: Path,
) -> None:
    """Guards against a key in the output, and against fields that are not printed."""
    key_file, job_file = tmp_path / "key", tmp_path / "job.json"
    key_file.write_text(f"{KEY}\n")
    job_file.write_text(json.dumps(BODY))
    config = build_config(cap=Size(cpu=16_000))
    async with Scene().run_owner(1) as (pool, _):
        pool.update_config(config)
        await asyncio.sleep(0.3)
        handle = Node(config, pool).handle_operator
        place = ("--host", "previews.example", "--path", "/previews/")
        shown = await run_command(
            handle, str(job_file), *place, "--key-file", str(key_file)
        )
        assert shown.exit_code == 0, shown.output
        assert "queue q-previews, pool previews, configuration 1" in shown.stdout
        assert "key: known" in shown.stdout
        assert "customer acme: weight 2, the job is within its weight" in shown.stdout
        assert "accepted: capacity_not_known" in shown.stdout
        assert "class on_time, position 1 behind 0 of 0" in shown.stdout
        assert "step 0: 2 tasks of 1 cores 0 MB" in shown.stdout
        env = {"BERGAMOTGAP_KEY": KEY}
        as_json = await run_command(handle, *place, "--output", "json", env=env)
        answer = json.loads(as_json.stdout)
        assert answer["placement"]["customer"]["cap"]["cap"] == [16_000, 0, 0]
        without = await run_command(handle, *place)
        assert (without.exit_code, "key: missing" in without.stdout) == (0, True)
        odd = "odd-key-\u0007"
        refused = await run_command(handle, *place, env={"BERGAMOTGAP_KEY": odd})
        assert refused.exit_code == 2
        assert odd not in refused.output
        assert KEY not in shown.output + as_json.output


@pytest.mark.parametrize(
    ("config", "queue", "job", "exit_code"),
    [
        (None, "q-previews", BODY, 5),
        (CONFIG, "other", BODY, 6),
        (CONFIG, "q-previews", {}, 7),
        (CONFIG, "q-previews", BODY, 8),
    ],
)
async def test_each_error_has_its_exit_code(
    config: FleetConfig | None, queue: str, job: object, exit_code: int, tmp_path: Path
) -> None:
    """Guards against scripts that can't tell a wrong queue from a lost owner."""
    file = tmp_path / "job.json"
    file.write_text(json.dumps(job))
    handle = Node(config).handle_operator
    result = await run_command(handle, str(file), "--queue", queue)
    assert (result.exit_code, result.stdout) == (exit_code, "")
    assert result.stderr.startswith("bergamotgap: ")


async def test_an_unreachable_node_and_wrong_usage_have_their_exit_codes() -> None:
    """Guards against an unreachable node that looks like a refused job."""
    command = ["explain-place", "--node", "127.0.0.1:1"]
    invoke = CliRunner().invoke
    queue = ["--queue", "q"]
    result = await asyncio.to_thread(invoke, app, [*command, *queue], input="{}")
    assert (result.exit_code, "not reachable" in result.stderr) == (3, True)
    result = await asyncio.to_thread(invoke, app, command, input="{}")
    assert result.exit_code == 2

    async def answer_as_older_node(request: web.Request) -> web.Response:
        return web.Response(body=b"# metrics")

    result = await run_command(answer_as_older_node, *queue)
    assert result.exit_code == 3
