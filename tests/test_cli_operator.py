"""Test the operators' commands with entry hosts on an in-memory platform."""

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
class OperatorShell:
    """Runs commands as an operator with a catalogue file and one entry host."""

    host: OperatorHost
    run_in_host_thread: Any
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
        self.run_in_host_thread(self.host.append(record))


@pytest.fixture
def shell(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[OperatorShell]:
    for module in (publishing, maintenance):
        monkeypatch.setattr(module, "POLL_INTERVAL_S", 0.01)
        monkeypatch.setattr(module, "LOOKUP_ATTEMPTS", 3)
    file = tmp_path / "catalogue.toml"
    file.write_text(DOCUMENT)
    host = OperatorHost()
    with run_in_thread(host) as run_in_host_thread:
        yield OperatorShell(host, run_in_host_thread, file)


def edit_weight(weight: int) -> str:
    return DOCUMENT.replace("weight = 4", f"weight = {weight}", 1)


def node_view(name: str, revision: int, is_live: bool = True) -> dict[str, Any]:
    return {"node_id": name, "is_live": is_live, "catalogue_revision": revision}


def test_a_file_is_shown_edited_and_published(shell: OperatorShell) -> None:
    """Guards against publishing an edit with a base that it was not made from."""
    assert shell.publish("--base", "0").exit_code == 0
    assert shell.run("catalogue", "show", "--write", str(shell.file)).exit_code == 0
    assert shell.file.read_text() == f"# revision: 1\n{DOCUMENT}"
    shell.file.write_text(f"# revision: 1\n{edit_weight(5)}")
    assert "+weight = 5" in shell.run("catalogue", "diff", str(shell.file)).stdout
    assert shell.publish().stdout == "revision 2 is accepted\n"
    again = shell.publish("--base", "0")
    assert again.stdout == "revision 2 has the same text already\n"
    # The file can be edited and published again.
    assert shell.file.read_text() == f"# revision: 2\n{edit_weight(5)}"
    assert shell.host.stream.state.revisions[2].document == edit_weight(5)
    history = json.loads(shell.run("catalogue", "history", "--output", "json").stdout)
    assert [(r["revision"], r["operator"]) for r in history] == [
        (2, "ilze"),
        (1, "ilze"),
    ]
    assert shell.run("catalogue", "show", "1").stdout == f"# revision: 1\n{DOCUMENT}"


@pytest.mark.fault("operator_race", "publish")
def test_the_slower_operator_gets_a_diff(shell: OperatorShell) -> None:
    """Guards against overwriting another operator's edit without showing it."""
    shell.publish("--base", "0")
    shell.publish_as_another(1, edit_weight(6))
    shell.file.write_text(f"# revision: 1\n{edit_weight(5)}")
    refused = shell.publish()
    assert refused.exit_code == 1
    assert {"-weight = 6", "+weight = 5"} <= set(refused.stdout.splitlines())
    assert "revision 2 by janis is in force" in refused.stderr
    assert shell.file.read_text().startswith("# revision: 1\n")
    report = json.loads(shell.publish("--output", "json").stdout)
    assert (report["code"], report["exit_code"]) == ("revision_conflict", 1)


@pytest.mark.fault("answer_lost", "publish")
def test_a_lost_answer_is_looked_up(shell: OperatorShell) -> None:
    """Guards against an accepted publication that is reported as failed."""
    shell.host.lost_answers = 1
    assert shell.publish("--base", "0").stdout == "revision 1 is accepted\n"
    assert "GET /v1/catalogue/1" in shell.host.calls


@pytest.mark.fault("answer_lost", "publish")
def test_a_lost_answer_to_a_lost_race_is_looked_up(shell: OperatorShell) -> None:
    """Guards against taking another operator's revision for the published one.

    The other revision comes first, and the refusal of this one is lost.
    """
    shell.publish_as_another(0, edit_weight(6))
    shell.host.lost_answers = 1
    refused = shell.publish("--base", "0")
    assert refused.exit_code == 1
    assert "+weight = 4" in refused.stdout.splitlines()


@pytest.mark.fault("answer_lost", "publish")
def test_a_publication_that_is_not_found_stays_unknown(shell: OperatorShell) -> None:
    """Guards against reporting a publication as refused that may still take effect."""
    shell.host.lost_calls = 1
    unknown = shell.publish("--base", "0", "--output", "json")
    assert unknown.exit_code == 4
    assert json.loads(unknown.stdout)["code"] == "outcome_unknown"


@pytest.mark.fault("platform_slow", "publish")
def test_a_publication_is_looked_up_after_an_append_timeout(
    shell: OperatorShell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting a publication as refused because the log is slow."""
    monkeypatch.setattr(operator_appends, "APPEND_TIMEOUT_MS", 20)
    monkeypatch.setattr(publishing, "LOOKUP_ATTEMPTS", 500)
    shell.host.platform.lost_answers = 1
    shell.host.is_reading = False
    change = publishing.OperatorClient.send_change

    def read_after(*arguments: Any) -> Any:
        try:
            return change(*arguments)
        finally:
            shell.host.is_reading = True

    monkeypatch.setattr(publishing.OperatorClient, "send_change", read_after)
    assert shell.publish("--base", "0").stdout.endswith("revision 1 is accepted\n")


def test_waiting_names_the_entry_hosts_without_the_revision(
    shell: OperatorShell,
) -> None:
    """Guards against reporting a rollout as complete while an entry host lags."""
    shell.host.nodes = [
        node_view("entry-1", 1),
        node_view("entry-2", 0),
        node_view("old", 0, False),
    ]
    waited = shell.publish("--base", "0", "--wait", "--timeout", "1")
    assert waited.exit_code == 4
    assert "not reported by entry-2\n" in waited.stderr
    # An entry host with a later revision counts as having the awaited one.
    shell.host.nodes = [
        node_view("entry-1", 2),
        node_view("entry-2", 3),
        node_view("old", 0, False),
    ]
    waited = shell.publish("--base", "1", "--wait", "--output", "json")
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
    shell: OperatorShell,
    arguments: list[str],
    server: str | None,
    code: int,
    message: str,
) -> None:
    """Guards against exit codes that scripts can't rely on."""
    arguments = [str(shell.file) if a == "FILE" else a for a in arguments]
    result = shell.run(*arguments, server=server)
    assert result.exit_code == code, result.output
    assert message in result.stderr


def test_an_invalid_file_is_not_sent(shell: OperatorShell) -> None:
    """Guards against different checks by `check` and `publish`."""
    shell.file.write_text(edit_weight(0).replace('pool = "audits"', 'pool = "attic"'))
    for command in (["check"], ["publish", "--base", "0"]):
        refused = shell.run("catalogue", command[0], str(shell.file), *command[1:])
        assert refused.exit_code == 1
        assert len(refused.stderr.splitlines()) == 2
    assert shell.host.calls == []


def test_status_shows_all_sections(shell: OperatorShell) -> None:
    """Guards against a status that can't display the entry host's answer."""
    shell.publish("--base", "0")
    shell.run_in_host_thread(shell.host.append(host_seen("previews-1")))
    shown = shell.run("status").stdout
    assert all(title in shown for title in ("Pools", "Hosts", "Entry hosts", "Jobs"))
    assert "previews-1  10.0.0.1:80" in shown
    hosts = json.loads(shell.run("status", "hosts", "--output", "json").stdout)
    assert hosts["hosts"][0]["host"] == "previews-1"
    assert json.loads(shell.run("dump").stdout) == {"node_id": "entry-1"}
