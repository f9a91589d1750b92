"""Keys of customers: which calls are let in, by which configuration."""

import asyncio
import json
from typing import Any

import pytest
import structlog
from aiohttp import web

from bergamotgap.domain.customers import digest_key
from bergamotgap.domain.fleet import FleetConfig, JobPhase, JobSpec, Queue
from bergamotgap.platform.documents import build_document_format, decode_config
from bergamotgap.platform.ingress import Ingress
from bergamotgap.pools.fleet_node import MAX_CONFIG_AGE_MS
from bergamotgap.pools.fleet_view import FleetView, UnreadableDocumentError
from bergamotgap.pools.partition_follower import PartitionFollower
from bergamotgap.pools.request_outcomes import (
    JobAccepted,
    JobState,
    KeyRejected,
    NoSuchJob,
    RequestOutcome,
)
from bergamotgap.pools.requests import JobRequests
from bergamotgap.ports.fleet import KeyedRecord
from bergamotgap.ports.pool_peer import (
    AcceptedReply,
    CancelCall,
    JobStateCall,
    KeyRejectedReply,
    KeyUse,
    NotOwnerReply,
    SubmitCall,
)
from stand_ins.pool_store import FakeStore
from stand_ins.pools import build_job
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import Scene
from tests.test_platform_adapter import JOB_ID, FakeMetrics, serve

OLD_KEY, NEW_KEY = "key-of-spring", "key-of-autumn"
TENANT = {"name": "acme", "apiKeys": [OLD_KEY], "weight": 2, "cap": {"cpu": 9000}}


def build_document(version: int = 1, *tenants: object) -> dict[str, Any]:
    route = {"host": "previews.example", "service": "previews", "stretch": 1.6}
    return {
        "version": version,
        "routes": [
            {**route, "name": "q-previews", "pathPrefix": "/previews/"},
            {**route, "name": "q-open", "pathPrefix": "/open/", "public": True},
        ],
        "services": [{"name": "previews"}],
        "tenants": list(tenants),
    }


def build_config(version: int = 1, *tenants: object) -> FleetConfig:
    return decode_config(json.dumps(build_document(version, *tenants)).encode())


class RecordingRequests:
    """Record the customer and key of each call, and accept it."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, KeyUse | None]] = []

    async def submit(
        self, spec: JobSpec, queue: Queue, wait_ms: int, key: KeyUse | None
    ) -> RequestOutcome:
        self.calls.append((spec.customer, key))
        return JobAccepted()

    async def get_state(
        self, job_id: str, queue: Queue, wait_ms: int, key: KeyUse | None
    ) -> RequestOutcome:
        self.calls.append((job_id, key))
        return JobState(JobPhase.QUEUED)

    async def cancel(
        self, job_id: str, queue: Queue, wait_ms: int, key: KeyUse | None
    ) -> RequestOutcome:
        self.calls.append((job_id, key))
        return NoSuchJob()


class Entry:
    """An entry host with a configuration that a test may replace."""

    def __init__(self, config: FleetConfig | None) -> None:
        self.config = config
        self.is_current = True
        self.requests = RecordingRequests()
        self.ingress = Ingress(
            self.requests,  # type: ignore[arg-type]
            lambda: self.config,
            lambda: self.is_current,
            lambda: True,
            ("", "", ""),
            FakeMetrics(),  # type: ignore[arg-type]
            LoopClock(),
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        return await self.ingress._handle_request(request)


async def call(
    entry: Entry, key: str | None, method: str = "POST", path: str = "/previews/"
) -> int:
    """Return the status of a call with a key."""
    body = {"specification": "x", "steps": [{"count": 1}]}
    headers = {"Host": "previews.example", **({} if key is None else {"X-Key": key})}
    async with serve(entry.handle) as (session, address):
        url = f"http://{address}{path}{JOB_ID}"
        async with session.request(method, url, json=body, headers=headers) as reply:
            return reply.status


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
async def test_calls_without_a_valid_key_are_refused(method: str) -> None:
    """Guards against work for callers whose key no configuration ever held."""
    entry = Entry(build_config(1, TENANT))
    for key in (None, "", "unknown", OLD_KEY + "x", "x" * 5000, "ключ", "null"):
        sent = key if key is None or key.isascii() else key.encode().decode("latin-1")
        assert await call(entry, sent, method) == 401
    assert entry.requests.calls == []
    assert await call(entry, OLD_KEY, method) in (200, 410)
    assert entry.requests.calls[0][1] == KeyUse(digest_key(OLD_KEY), 1)


async def test_public_queues_and_deployments_without_customers_need_no_key() -> None:
    """Guards against callers of earlier deployments and public queues being refused."""
    entry = Entry(build_config(1, TENANT))
    assert await call(entry, None, path="/open/") == 200
    assert await call(entry, "unknown", path="/open/") == 200
    document = build_document()
    del document["tenants"]
    entry.config = decode_config(json.dumps(document).encode())
    assert await call(entry, None) == 200
    assert entry.requests.calls == [("", None)] * 3


async def test_a_rotated_key_follows_the_configuration() -> None:
    """Guards against an old key that is let in after a change, or a new one refused."""
    entry = Entry(build_config(1, TENANT))
    entry.config = build_config(2, {**TENANT, "apiKeys": [OLD_KEY, NEW_KEY]})
    assert await call(entry, OLD_KEY) == await call(entry, NEW_KEY) == 200
    entry.config = build_config(3, {**TENANT, "apiKeys": [NEW_KEY]})
    assert await call(entry, OLD_KEY) == 401
    assert await call(entry, NEW_KEY) == 200
    entry.config = build_config(4)
    assert await call(entry, NEW_KEY) == 401


async def test_an_unknown_key_is_not_refused_by_a_stale_configuration() -> None:
    """Guards against 401 for a new key at an entry host that has lost the log."""
    entry = Entry(build_config(1, TENANT))
    entry.is_current = False
    assert await call(entry, NEW_KEY) == 503
    assert await call(entry, OLD_KEY) == 200


@pytest.mark.parametrize(
    "tenants",
    [
        [{**TENANT, "weight": -1}],
        [{**TENANT, "weight": "much"}],
        [{**TENANT, "cap": 4}],
        [{**TENANT, "cap": {"cpu": -5}}],
        [{**TENANT, "cap": {"cpu": "8"}}],
        [{**TENANT, "apiKeys": "key"}],
        [{**TENANT, "apiKeys": ["a\nb"]}],
        [{**TENANT, "apiKeys": [""]}],
        [{**TENANT, "apiKeys": [7]}],
        [{**TENANT, "name": ""}],
        [{"apiKeys": ["k"]}],
        ["acme"],
        [TENANT, {**TENANT, "apiKeys": ["other"]}],
        [TENANT, {**TENANT, "name": "other"}],
    ],
)
def test_malformed_customers_leave_the_last_configuration(tenants: list[Any]) -> None:
    """Guards against an operator's mistake that lets callers in or locks them out."""
    view = FleetView(build_document_format(), LoopClock())
    good = json.dumps(build_document(1, TENANT)).encode()
    view.apply_operator_record(KeyedRecord("config", good))
    before = view.config
    assert before is not None
    bad = json.dumps(build_document(2, *tenants)).encode()
    with structlog.testing.capture_logs() as logs:
        view.apply_operator_record(KeyedRecord("config", bad))
    assert view.config is before
    with pytest.raises(UnreadableDocumentError) as raised:
        decode_config(bad)
    assert OLD_KEY not in str(raised.value)
    assert [line["log_level"] for line in logs] == ["error"]


def test_customers_are_decoded() -> None:
    """Guards against a cap or weight that is read from the wrong field."""
    customers = build_config(1, TENANT).customers
    assert customers is not None
    acme = customers.find_by_digest(digest_key(OLD_KEY))
    assert acme is not None
    assert (acme.name, acme.weight, acme.cap) == ("acme", 2.0, (9000, 0, 0))
    assert OLD_KEY not in repr(customers)


class RecordingPeers:
    """Forward calls to another node's requests, as gRPC does."""

    def __init__(self, requests: JobRequests) -> None:
        self._requests = requests

    async def call(self, address: str, call: Any, timeout_ms: int) -> Any:
        return await self._requests.answer_call(call)


async def look_up(pool: str, job_id: str) -> bool | None:
    return None


def test_an_owner_refuses_a_key_that_was_withdrawn_during_a_cut() -> None:
    """Guards against an entry host, cut off from the log, that lets in a withdrawn key.

    It also covers an entry host that restarts with a configuration from before.
    """

    async def main() -> None:
        scene = Scene()
        owner_config = build_config(2, {**TENANT, "apiKeys": [NEW_KEY]})
        async with scene.run_owner(1) as (pool, _):
            owner = JobRequests(
                *({"previews": pool}, lambda _: "owner", lambda: owner_config, "owner"),
                *(RecordingPeers, look_up, scene.clock),  # type: ignore[arg-type]
            )
            old, new = (
                KeyUse(digest_key(key), version)
                for key, version in ((OLD_KEY, 1), (NEW_KEY, 2))
            )
            spec = build_job(customer="acme")
            for withdrawn in (
                SubmitCall("previews", spec, old),
                JobStateCall("previews", spec.job_id, old),
                CancelCall("previews", spec.job_id, old),
                # The key belongs to another customer by now.
                SubmitCall("previews", build_job(customer="other"), old),
            ):
                assert await owner.answer_call(withdrawn) == KeyRejectedReply()
            assert spec.job_id not in pool.job_table.jobs
            call = SubmitCall("previews", spec, new)
            assert await owner.answer_call(call) == AcceptedReply(True)
            # A newer configuration of the entry host is not doubted by an older owner.
            newest = SubmitCall("previews", spec, KeyUse(digest_key("newest"), 3))
            assert await owner.answer_call(newest) == AcceptedReply(False)
            assert await owner.answer_call(SubmitCall("none", spec, old)) == (
                NotOwnerReply()
            )
            entry = JobRequests(
                *({}, lambda _: "owner", lambda: owner_config, "entry"),
                *(RecordingPeers(owner), look_up, scene.clock),
            )
            queue = owner_config.queues[0]
            assert await entry.submit(spec, queue, 1000, old) == KeyRejected()
            state = await entry.get_state(spec.job_id, queue, 1000, old)
            assert state == KeyRejected()
            assert await entry.cancel(spec.job_id, queue, 1000, old) == KeyRejected()

    run_virtual(main())


def test_a_withdrawn_key_stays_withdrawn_over_an_outage_and_a_restart() -> None:
    """Guards against a node that goes back to keys from before an outage or restart."""

    async def main() -> None:
        store, clock = FakeStore(), LoopClock()

        async def publish(version: int, key: str) -> None:
            document = build_document(version, {**TENANT, "apiKeys": [key]})
            record = KeyedRecord("config", json.dumps(document).encode())
            await store.append("op", 0, [record])

        def follow() -> tuple[FleetView, PartitionFollower]:
            view = FleetView(build_document_format(), clock)
            return view, PartitionFollower(
                store, "op", clock, view.apply_operator_record
            )

        def knows(view: FleetView, key: str) -> bool:
            assert view.config is not None and view.config.customers is not None
            return view.config.customers.find_by_digest(digest_key(key)) is not None

        await publish(1, OLD_KEY)
        view, follower = follow()
        reading = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        assert knows(view, OLD_KEY)
        await publish(2, NEW_KEY)
        await asyncio.sleep(0.1)
        store.is_down = True
        await asyncio.sleep(5)
        assert clock.monotonic_ms() - follower.synced_ms > MAX_CONFIG_AGE_MS
        assert not knows(view, OLD_KEY)
        restarted, restarted_follower = follow()
        restarted_reading = asyncio.create_task(restarted_follower.run())
        await asyncio.sleep(1)
        assert restarted.config is None
        store.is_down = False
        # A late writer's older version must not bring the withdrawn key back.
        await publish(1, OLD_KEY)
        await publish(3, NEW_KEY)
        await asyncio.sleep(2)
        for seen in (view, restarted):
            assert knows(seen, NEW_KEY)
            assert not knows(seen, OLD_KEY)
        reading.cancel()
        restarted_reading.cancel()

    run_virtual(main())
