"""The operators' commands against entry hosts on an in-memory platform."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from bergamotgap.adapters import operator_appends
from bergamotgap.cli import maintenance, publishing
from bergamotgap.cli.main import app
from bergamotgap.domain.records import CataloguePublished
from tests.operator_hosts import DOCUMENT, OperatorHost, host_seen, run_in_thread


@dataclass
class Desk:
    """An operator's shell and files, with one entry host to call."""

    host: OperatorHost
    run_there: Any
    file: Path

    def run(self, *arguments: str, server: str | None = None) -> Result:
        variables = {
            "BERGAMOTGAP_SERVER": server or self.host.address,
            "BERGAMOTGAP_OPERATOR": "ilze",
        }
        return CliRunner().invoke(app, arguments, env=variables)

    def publish(self, *arguments: str, **options: Any) -> Result:
        return self.run("catalogue", "publish", str(self.file), *arguments, **options)

    def publish_as_another(self, base: int, document: str) -> None:
        record = CataloguePublished(base + 1, base, document, "janis")
        self.run_there(self.host.append(record))


@pytest.fixture
def desk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Desk]:
    for module in (publishing, maintenance):
        monkeypatch.setattr(module, "POLL_S", 0.01)
        monkeypatch.setattr(module, "LOOKUP_ATTEMPTS", 3)
    file = tmp_path / "catalogue.toml"
    file.write_text(DOCUMENT)
    host = OperatorHost()
    with run_in_thread(host) as run_there:
        yield Desk(host, run_there, file)


def edit(weight: int) -> str:
    return DOCUMENT.replace("weight = 4", f"weight = {weight}", 1)


def node(name: str, revision: int, is_live: bool = True) -> dict[str, Any]:
    return {"node_id": name, "is_live": is_live, "catalogue_revision": revision}


def test_a_file_is_shown_edited_and_published(desk: Desk) -> None:
    """Guards against an edit that is sent with another base than it was made from."""
    assert desk.publish("--base", "0").exit_code == 0
    assert desk.run("catalogue", "show", "--write", str(desk.file)).exit_code == 0
    assert desk.file.read_text() == f"# revision: 1\n{DOCUMENT}"
    desk.file.write_text(f"# revision: 1\n{edit(5)}")
    assert "+weight = 5" in desk.run("catalogue", "diff", str(desk.file)).stdout
    assert desk.publish().stdout == "revision 2 is accepted\n"
    again = desk.publish("--base", "0")
    assert again.stdout == "revision 2 has the same text already\n"
    # The file can be edited and published again.
    assert desk.file.read_text() == f"# revision: 2\n{edit(5)}"
    assert desk.host.stream.state.revisions[2].document == edit(5)
    history = json.loads(desk.run("catalogue", "history", "--output", "json").stdout)
    assert [(r["revision"], r["operator"]) for r in history] == [
        (2, "ilze"),
        (1, "ilze"),
    ]
    assert desk.run("catalogue", "show", "1").stdout == f"# revision: 1\n{DOCUMENT}"


@pytest.mark.fault("operator_race", "publish")
def test_the_slower_operator_gets_a_diff(desk: Desk) -> None:
    """Guards against overwriting another operator's edit, or hiding it."""
    desk.publish("--base", "0")
    desk.publish_as_another(1, edit(6))
    desk.file.write_text(f"# revision: 1\n{edit(5)}")
    refused = desk.publish()
    assert refused.exit_code == 1
    assert {"-weight = 6", "+weight = 5"} <= set(refused.stdout.splitlines())
    assert "revision 2 by janis is in force" in refused.stderr
    assert desk.file.read_text().startswith("# revision: 1\n")
    told = json.loads(desk.publish("--output", "json").stdout)
    assert (told["code"], told["exit_code"]) == ("revision_conflict", 1)


@pytest.mark.fault("answer_lost", "publish")
def test_a_lost_answer_is_looked_up(desk: Desk) -> None:
    """Guards against an accepted publication that is told as failed."""
    desk.host.lost_answers = 1
    assert desk.publish("--base", "0").stdout == "revision 1 is accepted\n"
    assert "GET /v1/catalogue/1" in desk.host.calls


@pytest.mark.fault("answer_lost", "publish")
def test_a_lost_answer_to_a_lost_race_is_looked_up(desk: Desk) -> None:
    """Guards against another operator's revision that is taken for one's own."""
    desk.publish_as_another(0, edit(6))
    desk.host.lost_answers = 1
    refused = desk.publish("--base", "0")
    assert refused.exit_code == 1
    assert "+weight = 4" in refused.stdout.splitlines()


@pytest.mark.fault("answer_lost", "publish")
def test_a_publication_that_is_not_found_stays_unknown(desk: Desk) -> None:
    """Guards against a publication told as refused that may yet take effect."""
    desk.host.lost_calls = 1
    unknown = desk.publish("--base", "0", "--output", "json")
    assert unknown.exit_code == 4
    assert json.loads(unknown.stdout)["code"] == "outcome_unknown"


@pytest.mark.fault("platform_slow", "publish")
def test_an_entry_host_that_gave_up_is_asked_again(
    desk: Desk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow log that makes an accepted publication look refused."""
    monkeypatch.setattr(operator_appends, "APPEND_TIMEOUT_MS", 20)
    monkeypatch.setattr(publishing, "LOOKUP_ATTEMPTS", 500)
    desk.host.platform.lost_answers = 1
    desk.host.is_reading = False
    change = publishing.OperatorClient.change

    def read_after(*arguments: Any) -> Any:
        try:
            return change(*arguments)
        finally:
            desk.host.is_reading = True

    monkeypatch.setattr(publishing.OperatorClient, "change", read_after)
    assert desk.publish("--base", "0").stdout.endswith("revision 1 is accepted\n")


def test_waiting_names_the_entry_hosts_without_the_revision(desk: Desk) -> None:
    """Guards against a rollout told as complete while an entry host lags."""
    desk.host.nodes = [node("entry-1", 1), node("entry-2", 0), node("old", 0, False)]
    waited = desk.publish("--base", "0", "--wait", "--timeout", "1")
    assert waited.exit_code == 4
    assert "not reported by entry-2\n" in waited.stderr
    # A host that is a revision ahead has the awaited one, too.
    desk.host.nodes = [node("entry-1", 2), node("entry-2", 3), node("old", 0, False)]
    waited = desk.publish("--base", "1", "--wait", "--output", "json")
    assert json.loads(waited.stdout) == {
        "revision": 2,
        "in_force_on": ["entry-1", "entry-2"],
    }


@pytest.mark.parametrize(
    ("arguments", "server", "code", "message"),
    [
        (["catalogue", "check", "FILE"], None, 0, ""),
        (["catalogue", "check", "no-such-file"], None, 2, "does not exist"),
        (["catalogue", "publish", "FILE"], None, 2, "--base N"),
        (["catalogue", "show", "9"], None, 1, "unknown_revision: no revision 9"),
        (["status"], "127.0.0.1:1", 3, "127.0.0.1:1 is not reachable"),
        (["status"], "localhost:80", 2, "numeric IP address"),
        (["catalogue", "publish", "FILE", "--base", "0"], "127.0.0.1:1", 3, "reach"),
        (["maintenance", "declare"], None, 2, "--pool P or --host H"),
        (["maintenance", "declare", "--host", "x"], None, 1, "not in the fleet: x"),
        (["maintenance", "cancel", "a?b"], None, 1, "unknown_wave: a?b"),
    ],
)
def test_exit_codes(
    desk: Desk, arguments: list[str], server: str | None, code: int, message: str
) -> None:
    """Guards against exit codes that scripts can't rely on."""
    arguments = [str(desk.file) if a == "FILE" else a for a in arguments]
    result = desk.run(*arguments, server=server)
    assert result.exit_code == code, result.output
    assert message in result.stderr


def test_an_invalid_file_is_not_sent(desk: Desk) -> None:
    """Guards against a check that differs between `check` and `publish`."""
    desk.file.write_text(edit(0).replace('pool = "audits"', 'pool = "attic"'))
    for command in (["check"], ["publish", "--base", "0"]):
        refused = desk.run("catalogue", command[0], str(desk.file), *command[1:])
        assert refused.exit_code == 1
        assert len(refused.stderr.splitlines()) == 2
    assert desk.host.calls == []


def test_status_shows_all_sections(desk: Desk) -> None:
    """Guards against a status that can't show what the entry host answers."""
    desk.publish("--base", "0")
    desk.run_there(desk.host.append(host_seen("previews-1")))
    shown = desk.run("status").stdout
    assert all(title in shown for title in ("Pools", "Hosts", "Entry hosts", "Jobs"))
    assert "previews-1  10.0.0.1:80" in shown
    hosts = json.loads(desk.run("status", "hosts", "--output", "json").stdout)
    assert hosts["hosts"][0]["host"] == "previews-1"
    assert json.loads(desk.run("dump").stdout) == {"node_id": "entry-1"}
