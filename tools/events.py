"""Generate `docs/events.md`, the list of log events, from the source code."""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

PACKAGE = Path(__file__).resolve().parent.parent / "src" / "bergamotgap"
LEVELS = frozenset({"debug", "info", "warning", "error"})
HEADER = """# Events

Written by `make events` from the code. Each line of a log has `time`, `level`, `event`,
`module` and `node` too, and `left_out` after lines that the budget left out. `job` is a
job's id; `task` begins with it.

| event | level | fields | module |
| --- | --- | --- | --- |
"""


class Event(NamedTuple):
    """A log call: event, level, keyword fields and module."""

    name: str
    level: str
    fields: tuple[str, ...]
    module: str


def list_events() -> list[Event]:
    """Return the events of all modules, sorted by name."""
    events: set[Event] = set()
    for path in PACKAGE.rglob("*.py"):
        module = ".".join(path.relative_to(PACKAGE).with_suffix("").parts)
        events |= set(_read_events(ast.parse(path.read_text()), module))
    return sorted(events)


def _read_events(tree: ast.AST, module: str) -> Iterator[Event]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        is_logger = isinstance(owner, ast.Name) and owner.id == "log"
        if not is_logger or node.func.attr not in LEVELS or not node.args:
            continue
        fields = tuple(sorted(word.arg or "(counts)" for word in node.keywords))
        for name in _read_names(node.args[0]):
            yield Event(name, node.func.attr, fields, module)


def _read_names(argument: ast.expr) -> list[str]:
    if isinstance(argument, ast.IfExp):
        return _read_names(argument.body) + _read_names(argument.orelse)
    return [str(argument.value)] if isinstance(argument, ast.Constant) else []


def render_page() -> str:
    """Render the page."""
    rows = (
        f"| `{event.name}` | {event.level} | {', '.join(event.fields)} | "
        f"`{event.module}` |\n"
        for event in list_events()
    )
    return HEADER + "".join(rows)


def main(
    write: Annotated[Path | None, typer.Option(help="page to write")] = None,
) -> None:
    """Write the page of log events, or print it without an option."""
    if write is None:
        sys.stdout.write(render_page())
    else:
        write.write_text(render_page())


if __name__ == "__main__":
    typer.run(main)
