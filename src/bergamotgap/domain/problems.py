"""Validation errors of documents and settings, with path, value and allowed range."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any

from pydantic import BaseModel, ValidationError

MAX_VALUE_LENGTH = 80
NOT_GIVEN = "missing"

Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """One invalid value: its path, the value and what is allowed instead."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as a single line."""
        return f"{self.path}: value {self.value}: {self.allowed}"


def list_field_problems(
    model: type[BaseModel], error: ValidationError
) -> list[Problem]:
    """Return all field errors of a model; the allowed ranges come from its schema."""
    schema = _build_schema(model)
    return [_build_problem(schema, dict(item)) for item in error.errors()]


def format_path(location: Location) -> str:
    """Format a location as a path such as `entries[3].deadline_ms`."""
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "document"


def format_value(value: object) -> str:
    """Return the repr of a value, truncated to MAX_VALUE_LENGTH characters."""
    text = repr(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return f"{text[:MAX_VALUE_LENGTH]}..."


@cache
def _build_schema(model: type[BaseModel]) -> dict[str, Any]:
    return model.model_json_schema()


def _build_problem(schema: Mapping[str, Any], item: Mapping[str, Any]) -> Problem:
    location: Location = item["loc"]
    path = format_path(location)
    kind = item["type"]
    if kind == "missing":
        allowed = _describe(_find_node(schema, location))
        return Problem(path, NOT_GIVEN, f"required, {allowed}")
    value = format_value(item.get("input"))
    if kind == "extra_forbidden":
        known = _find_node(schema, location[:-1]).get("properties", {})
        return Problem(path, value, f"unknown key, allowed: {', '.join(known)}")
    if kind == "value_error":
        return Problem(path, value, str(item["msg"]).removeprefix("Value error, "))
    allowed = _describe(_find_node(schema, location))
    return Problem(path, value, f"allowed: {allowed}")


def _find_node(schema: Mapping[str, Any], location: Location) -> Mapping[str, Any]:
    node = _resolve(schema, schema)
    for part in location:
        if isinstance(part, int):
            node = node.get("items", {})
        else:
            node = node.get("properties", {}).get(part, {})
        node = _resolve(schema, node)
    return node


def _resolve(schema: Mapping[str, Any], node: Mapping[str, Any]) -> Mapping[str, Any]:
    reference = node.get("$ref")
    if reference is None:
        return node
    resolved: Mapping[str, Any] = schema["$defs"][reference.rpartition("/")[2]]
    return resolved


def _describe(node: Mapping[str, Any]) -> str:
    if "enum" in node:
        return f"one of {', '.join(str(value) for value in node['enum'])}"
    kind = node.get("type")
    if kind in ("integer", "number"):
        return _describe_number(node, "whole number" if kind == "integer" else "number")
    if kind == "array":
        return _describe_list(node)
    if kind == "boolean":
        return "true or false"
    if kind == "object":
        return f"a table with {', '.join(node.get('properties', {}))}"
    if "pattern" in node:
        return f"text that matches {node['pattern']}"
    return str(node.get("format", "text"))


def _describe_number(node: Mapping[str, Any], noun: str) -> str:
    low = f"from {node['minimum']:g}" if "minimum" in node else ""
    if "exclusiveMinimum" in node:
        low = f"above {node['exclusiveMinimum']:g}"
    high = f"to {node['maximum']}" if "maximum" in node else ""
    return " ".join(part for part in (f"a {noun}", low, high) if part)


def _describe_list(node: Mapping[str, Any]) -> str:
    low, high = node.get("minItems", 0), node.get("maxItems")
    if high is None:
        return "a list"
    return f"a list of {low} to {high} items"
