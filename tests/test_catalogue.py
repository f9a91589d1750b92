"""Validation of the catalogue."""

import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotgap.domain.catalogue import (
    MAX_CATALOGUE_BYTES,
    CatalogueError,
    Entry,
    parse_catalogue,
)

ROOT = Path(__file__).resolve().parent.parent
DOCUMENT = (ROOT / "catalogues" / "association.toml").read_text()


def list_errors(document: str) -> list[str]:
    with pytest.raises(CatalogueError) as caught:
        parse_catalogue(document, "a.toml")
    return str(caught.value).splitlines()


def test_all_errors_are_listed_with_path_value_and_range() -> None:
    """Guards against reporting only the first error of a document."""
    document = DOCUMENT.replace("min_hosts = 3", "min_hosts = true", 1)
    document = document.replace('owner = "finance"', 'owner = "nobody"', 1)
    document = document.replace("deadline_ms", "deadline_sm", 1)
    document = re.sub(r"availability = \S+", "availability = 1.5", document, count=1)
    errors = list_errors(document)
    assert len(errors) == 5
    expected = (
        "a.toml: pools[0].min_hosts: value True: allowed: a whole number from 0 to",
        "a.toml: entries[0].deadline_ms: value missing: required, a whole number",
        "a.toml: entries[0].availability: value 1.5: allowed: a number from 0 to 1",
        "a.toml: entries[0].deadline_sm: value 2000: unknown key, allowed: name,",
        "a.toml: entries[2].owner: value 'nobody': not in owners",
    )
    for error, start in zip(errors, expected, strict=True):
        assert error.startswith(start)


@pytest.mark.parametrize(
    ("document", "message"),
    [
        (DOCUMENT + "\n[[pools]]\nname = \n", "at line"),
        ("x" * (MAX_CATALOGUE_BYTES + 1), f"at most {MAX_CATALOGUE_BYTES} bytes"),
        ("x = " + "[" * 5000, "nested too deeply"),
        ("x = " + "9" * 5000, "syntax: value not TOML"),
        ("x = '\ud800'", "not UTF-8"),
        (DOCUMENT + DOCUMENT.replace("[[", "\n[["), "pools[5].name"),
    ],
)
def test_unusable_documents_are_refused(document: str, message: str) -> None:
    """Guards against documents that stop the fold with an unexpected exception."""
    assert message in "\n".join(list_errors(document))


def test_two_callers_can_not_share_a_key() -> None:
    """Guards against a caller that gets the permissions of another one."""
    keys = re.findall(r'key_sha256 = "(\w+)"', DOCUMENT)
    [error] = list_errors(DOCUMENT.replace(keys[1], keys[0]))
    assert error.startswith("a.toml: callers[1].key_sha256: value")


def test_every_name_is_found() -> None:
    """Guards against lookups that differ from the document."""
    catalogue = parse_catalogue(DOCUMENT)
    assert all(catalogue.find_entry(e.name) is e for e in catalogue.entries)
    assert all(catalogue.find_pool(p.name) is p for p in catalogue.pools)
    assert all(catalogue.find_owner(o.name) is o for o in catalogue.owners)
    for caller in catalogue.callers:
        assert catalogue.find_caller_by_key(caller.key_sha256) is caller
    listed = [e for p in catalogue.pools for e in catalogue.list_pool_entries(p.name)]
    assert sorted(listed, key=_name) == sorted(catalogue.entries, key=_name)
    assert catalogue.find_entry("nothing") is None
    assert catalogue.spare_pool is catalogue.find_pool("miscellaneous")


def _name(entry: Entry) -> str:
    return entry.name


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    start=st.integers(0, len(DOCUMENT)),
    length=st.integers(0, 40),
    text=st.text(max_size=20),
)
def test_damaged_documents_give_a_catalogue_or_an_error(
    start: int, length: int, text: str
) -> None:
    """Guards against a published document that raises in every entry host's fold."""
    document = DOCUMENT[:start] + text + DOCUMENT[start + length :]
    try:
        parse_catalogue(document)
    except CatalogueError as error:
        assert error.problems


def test_errors_do_not_depend_on_the_process() -> None:
    """Guards against entry hosts that reject a document for different reasons."""
    document = DOCUMENT.replace('pool = "previews"', 'pool = "gone"')
    entries = 'entries = ["zeta", "alpha", "mid"]'
    document = re.sub(r"entries = \[.*\]", entries, document)
    script = (
        "import sys; from bergamotgap.domain.catalogue import parse_catalogue\n"
        "try: parse_catalogue(sys.stdin.read())\n"
        "except ValueError as error: print(error)"
    )
    outputs = set()
    for seed in ("1", "2"):
        result = subprocess.run(
            [sys.executable, "-c", script],
            input=document,
            capture_output=True,
            text=True,
            check=True,
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT / "src")},
        )
        outputs.add(result.stdout)
    [output] = outputs
    assert output.count("'zeta': not in entries") == 3
