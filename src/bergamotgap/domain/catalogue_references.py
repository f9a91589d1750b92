"""Checks of a catalogue across its tables: unique names and existing references.

They work on the document before its fields are checked, so that an operator sees all
errors at once. Values of a wrong type are passed over here, because the check of the
fields reports them.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from bergamotgap.domain.problems import Problem, format_path, format_value

TABLE_NAMES = ("pools", "owners", "callers", "entries")

Table = Mapping[str, Any]


def list_reference_problems(document: Table) -> list[Problem]:
    """Return repeated names, references to nothing and contradictory limits."""
    names = {kind: _list_names(document, kind, "name") for kind in TABLE_NAMES}
    problems = [
        problem
        for kind in TABLE_NAMES
        for problem in _list_repeats(document, kind, "name")
    ]
    problems += _list_repeats(document, "callers", "key_sha256")
    problems += _list_dangling(document, names)
    problems += _list_pool_problems(document)
    return problems


def _tables(document: Table, kind: str) -> Iterator[tuple[int, Table]]:
    items = document.get(kind)
    if not isinstance(items, list | tuple):
        return
    for index, item in enumerate(items):
        if isinstance(item, Mapping):
            yield index, item


def _list_names(document: Table, kind: str, key: str) -> Counter[str]:
    values = (table.get(key) for _, table in _tables(document, kind))
    return Counter(value for value in values if isinstance(value, str))


def _list_repeats(document: Table, kind: str, key: str) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, table in _tables(document, kind):
        value = table.get(key)
        if isinstance(value, str) and value in seen:
            path = format_path((kind, index, key))
            yield Problem(path, format_value(value), "used more than once")
        if isinstance(value, str):
            seen.add(value)


def _list_dangling(
    document: Table, names: Mapping[str, Counter[str]]
) -> Iterator[Problem]:
    for index, entry in _tables(document, "entries"):
        for key, kind in (("owner", "owners"), ("pool", "pools")):
            value = entry.get(key)
            if isinstance(value, str) and value not in names[kind]:
                path = format_path(("entries", index, key))
                yield Problem(path, format_value(value), f"not in {kind}")
    for index, caller in _tables(document, "callers"):
        listed = caller.get("entries")
        if not isinstance(listed, list | tuple | frozenset):
            continue
        for value in sorted(v for v in listed if isinstance(v, str)):
            if value not in names["entries"]:
                path = format_path(("callers", index, "entries"))
                yield Problem(path, format_value(value), "not in entries")


def _list_pool_problems(document: Table) -> Iterator[Problem]:
    spares = []
    for index, pool in _tables(document, "pools"):
        low, high = pool.get("min_hosts"), pool.get("max_hosts")
        if isinstance(low, int) and isinstance(high, int) and low > high:
            path = format_path(("pools", index, "min_hosts"))
            yield Problem(
                path, str(low), f"allowed: at most max_hosts, which is {high}"
            )
        if pool.get("spare") is True:
            spares.append(index)
    for index in spares[1:]:
        path = format_path(("pools", index, "spare"))
        yield Problem(path, "True", "allowed: one spare pool at most")
