"""Reports of other writers among those of the workers."""

import asyncio
import json

import pytest

from bergamotgap.domain.fleet import JobPhase
from bergamotgap.platform.documents import build_document_format, decode_worker
from bergamotgap.pools.fleet_view import FleetView, UnreadableDocumentError
from bergamotgap.ports.fleet import KeyedRecord
from stand_ins.pools import build_job
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import Scene

SOUND_REPORT = {
    "service": "previews",
    "address": "10.128.0.9:8080",
    "zone": "vest-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "requestedMemoryMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "born": 1765000000000,
    "machine": "m-1",
    "sequence": 4,
}
DEEP_LISTS = "[" * 50_000 + "]" * 50_000
DEEP_OBJECTS = '{"a":' * 50_000 + "1" + "}" * 50_000
ODD_VALUES = [
    ("extra", DEEP_LISTS),
    ("extra", DEEP_OBJECTS),
    ("born", "10e400"),
    ("born", "1" + "0" * 30),
    ("born", "-1"),
    ("born", "NaN"),
    ("sequence", "36893488147419103232"),
    ("sequence", "-5"),
    ("slots", "-1"),
    ("coldRemainingMs", "-1"),
    ("capacity", '{"cpu":36893488147419103232}'),
    ("capacity", '{"cpu":-16000}'),
    ("capacity", '{"cpu":16000,"gpus":-1}'),
    ("capacity", '{"cpu":1e400}'),
    ("capacity", "[]"),
    ("labels", "[7]"),
    ("labels", '"a"'),
    ("state", '"resting"'),
    ("address", '"10.128.0.9:99999"'),
    ("address", '"10.128.0.9:0"'),
    ("address", '"10.128.0.9:-1"'),
    ("address", f'"10.128.0.9:{"1" * 5000}"'),
    ("address", '"10.128.0.9"'),
    ("address", '"10.128.0.9:"'),
    ("address", '":8080"'),
    ("address", '""'),
    ("address", '" :8080"'),
    ("address", '"[::1"'),
    ("address", '"[::1:8080"'),
    ("address", '"::1:8080"'),
    ("address", '"10.128.0.9\\u0000:8080"'),
    ("address", '"10.128.0.9/x:8080"'),
    ("address", '"user@10.128.0.9:8080"'),
]


def encode_report(key: str = "", text: str = "") -> bytes:
    """Return a worker's report with the JSON text of one value replaced."""
    values = {name: json.dumps(value) for name, value in SOUND_REPORT.items()}
    if key:
        values[key] = text
    return ("{" + ",".join(f'"{k}":{v}' for k, v in values.items()) + "}").encode()


@pytest.mark.parametrize(("key", "text"), ODD_VALUES)
def test_an_odd_report_names_no_worker(key: str, text: str) -> None:
    """Guards against a report of another writer that gets links, polls and tasks."""
    with pytest.raises(UnreadableDocumentError):
        decode_worker("w", encode_report(key, text))


@pytest.mark.parametrize(
    "key",
    sorted(SOUND_REPORT.keys() - {"clockMs", "born", "machine"}),
)
def test_a_report_without_a_field_names_no_worker(key: str) -> None:
    """Guards against an incomplete report of another writer that holds up a pool."""
    report = {name: value for name, value in SOUND_REPORT.items() if name != key}
    with pytest.raises(UnreadableDocumentError):
        decode_worker("w", json.dumps(report).encode())


@pytest.mark.parametrize(
    "address", ["10.128.0.9:1", "[::1]:65535", "w-1.vest_a.example:8080", "w1:80"]
)
def test_addresses_that_can_be_called_are_accepted(address: str) -> None:
    """Guards against a strict check that rejects the reports of sound workers."""
    info = decode_worker("w", encode_report("address", json.dumps(address)))
    assert info.address == address


def test_odd_reports_leave_the_others_and_are_logged_once(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a list that is not followed any more, and against a flood of logs.

    An odd report also replaces that of a sound worker, which then gets no work.
    """
    view = FleetView(build_document_format(), LoopClock())
    for _ in range(3):
        for number, (key, text) in enumerate(ODD_VALUES):
            record = KeyedRecord(f"odd-{number}", encode_report(key, text))
            view.apply_worker_record(record)
        view.apply_worker_record(KeyedRecord("sound", encode_report()))
        view.apply_worker_record(KeyedRecord("turned", encode_report()))
        view.apply_worker_record(KeyedRecord("turned", b"\xff{"))
    assert list(view.list_pool_workers("previews")) == ["sound"]
    assert capsys.readouterr().out.count("worker report not decoded") <= (
        len(ODD_VALUES) + 3
    )
    view.apply_worker_record(KeyedRecord("turned", encode_report()))
    assert set(view.list_pool_workers("previews")) == {"sound", "turned"}


def test_runs_of_a_worker_with_an_odd_report_go_on() -> None:
    """Guards against work that is lost as another writer replaces a worker's report."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=3)
        sound = dict(scene.infos)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(1)
            for gone in ("w1", "w2"):
                pool.update_workers({n: i for n, i in sound.items() if n != gone})
                await asyncio.sleep(0.5)
            pool.update_workers(sound)
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())
