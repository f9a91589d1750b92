"""Tests of an entry host's settings."""

import pytest
from typer.main import get_command
from typer.testing import CliRunner

from bergamotgap.cli.main import app
from bergamotgap.node.settings import Settings, SettingsError, build_settings

VALID = {
    "node_id": "entry-1",
    "data_centre": "riga-1",
    "caller_address": "10.0.0.1:7000",
    "operator_address": "10.0.0.1:7001",
    "peer_address": "10.0.0.1:7002",
    "platform_url": "http://10.0.0.9:8000",
}


def test_every_setting_is_a_flag_and_a_variable() -> None:
    """Guards against settings that an operator can't set."""
    command = get_command(app).commands["serve"]  # type: ignore[attr-defined]
    options = {p.name: p for p in command.params if p.name != "help"}
    assert options.keys() == Settings.model_fields.keys()
    for name, option in options.items():
        assert option.opts == [f"--{name.replace('_', '-')}"]
        assert option.envvar == f"BERGAMOTGAP_{name.upper()}"
        assert option.help


@pytest.mark.parametrize(
    ("name", "value", "message"),
    [
        ("node_id", "Entry 1", "--node-id: value 'Entry 1': allowed: text that"),
        ("batch_ms", "-1", "--batch-ms: value '-1': allowed: a whole number from 0 to"),
        ("batch_ms", "soon", "--batch-ms: value 'soon': allowed: a whole number"),
        ("log_level", "loud", "one of debug, info, warning, error"),
        ("platform_url", "ftp://10.0.0.9:1", "--platform-url: value"),
        ("caller_address", "localhost:1", "with a numeric IP address"),
        ("caller_address", "10.0.0.1:0", "a port 1 to 65535"),
        ("caller_address", "10.0.0.1:\u00b2", "a port 1 to 65535"),
        ("operator_address", "10.0.0.1:7000", "must differ from --caller-address"),
        ("operator_address", "0.0.0.0:7000", "must differ from --caller-address"),
        ("peer_address", "0.0.0.0:7002", "that other entry hosts can call"),
        ("peers", ("10.0.0.1:7002",), "--peer-address, which is this process"),
        ("peers", ("10.0.0.2:1", "10.0.0.2:1"), "--peers[1]: value '10.0.0.2:1'"),
    ],
)
def test_wrong_values_are_named(name: str, value: object, message: str) -> None:
    """Guards against a process that starts with an unusable setting."""
    with pytest.raises(SettingsError) as caught:
        build_settings(VALID | {name: value})
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_example_is_valid() -> None:
    """Guards against validation that rejects valid settings."""
    assert build_settings(VALID | {"peers": ("10.0.0.2:7002",)}).batch_ms == 5


def test_a_wrong_setting_ends_the_process_with_one_line() -> None:
    """Guards against a traceback, or another exit code, for an invalid setting."""
    variables = {f"BERGAMOTGAP_{name.upper()}": value for name, value in VALID.items()}
    arguments = ["serve", "--batch-ms", "2000", "--log-level", "loud"]
    result = CliRunner().invoke(app, arguments, env=variables)
    assert result.exit_code == 2
    [line] = result.stderr.splitlines()
    assert line.startswith("bergamotgap: setting --batch-ms: value '2000': allowed:")
    assert "setting --log-level" in line
