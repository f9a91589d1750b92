"""HTTP client for the platform's keyed log and its membership group.

A page of records is a header with the log's end and first offset, and the records. A
record is its length, one byte with the length of its key, the key and the value.
"""

import base64
import struct
from collections.abc import Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec

from bergamotgap.ports.fleet import (
    AppendConflictError,
    AppendRejectedError,
    Fence,
    FencedError,
    HistoryGoneError,
    KeyedLogPage,
    KeyedRecord,
    NewestValues,
    SequenceError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

# Longer than the slowest response of a degraded store that still serves (60 times
# 4 ms), and well below the time within which a configuration must be in force.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
MEMBER_GROUP = "nodes"
# The group assigns each member one partition of these topics, so it lists four times as
# many members as a topic has partitions.
GROUP_TOPICS = tuple(f"nodes.{number}" for number in range(4))
PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# A key's length is one byte.
MAX_KEY_BYTES = 255
T = TypeVar("T")


class _AppendPayload(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""
    expected: int = 0
    sequence: int = 0


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestPayload(msgspec.Struct):
    items: list[_NewestItem]
    more: bool
    end: int


class _GonePayload(msgspec.Struct):
    first: int = 0


class _JoinPayload(msgspec.Struct):
    generation: int


class _OwnerRow(msgspec.Struct, array_like=True):
    topic: str
    partition: int
    member: str | None


def encode_records(records: Sequence[KeyedRecord]) -> bytes:
    """Encode the body of an append; raises AppendRejectedError for a long key."""
    chunks = []
    for record in records:
        key = record.key.encode()
        if len(key) > MAX_KEY_BYTES:
            raise AppendRejectedError(f"key {record.key[:40]!r} is too long")
        value = record.value or b""
        chunks.append(RECORD_LENGTH.pack(1 + len(key) + len(value)))
        chunks.append(bytes((len(key),)) + key + value)
    return b"".join(chunks)


def decode_page(start_offset: int, body: bytes) -> KeyedLogPage:
    """Decode a read's response; raises StoreUnavailableError if it is cut short."""
    if len(body) < PAGE_HEADER.size:
        raise StoreUnavailableError("read response is shorter than its header")
    end, _first = PAGE_HEADER.unpack_from(body)
    records: list[KeyedRecord] = []
    position = PAGE_HEADER.size
    while position < len(body):
        content_start = position + RECORD_LENGTH.size
        if content_start > len(body):
            raise StoreUnavailableError("read response ends within a record's length")
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position = content_start + length
        if position > len(body):
            raise StoreUnavailableError("read response ends within a record")
        records.append(_decode_record(body[content_start:position]))
    return KeyedLogPage(start_offset, end, tuple(records))


def _decode_record(content: bytes) -> KeyedRecord:
    key_length = content[0] if content else 0
    if len(content) < 1 + key_length:
        raise StoreUnavailableError("a record is shorter than its key")
    key = content[1 : 1 + key_length].decode(errors="replace")
    value = content[1 + key_length :]
    return KeyedRecord(key, value or None)


class StoreClient:
    """Call the platform's keyed log over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, ttl_ms: int
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._ttl_ms = ttl_ms

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append all records or none; return the offset of the first.

        With `expected_end` set, the append fails unless the partition ends there.
        """
        query: dict[str, str | int] = {"topic": topic, "part": part}
        if expected_end is not None:
            query["at"] = expected_end
        if fence is not None:
            query |= {
                "producer": fence.producer,
                "epoch": fence.epoch,
                "sequence": fence.sequence,
            }
        status, body = await self._request(
            "POST", "/log-append", query, encode_records(records)
        )
        if status in (400, 413):
            raise AppendRejectedError(f"append answered {status}")
        if status not in (200, 409, 412):
            raise StoreUnavailableError(f"append answered {status}")
        try:
            answer = _decode(body, _AppendPayload)
        except StoreUnavailableError as error:
            # The records may be in the log whatever the answer was to say.
            raise StoreOutcomeUnknownError(f"append: {error}") from error
        if status == 412:
            raise AppendConflictError(answer.end)
        if status == 409:
            if answer.reason == "fenced":
                raise FencedError("a producer with a newer epoch has appended")
            raise SequenceError(answer.expected or answer.sequence)
        return answer.offset

    async def read(
        self, topic: str, part: int, start_offset: int, wait_ms: int
    ) -> KeyedLogPage:
        """Return records from an offset on, waiting up to `wait_ms` for the first."""
        query = {"topic": topic, "part": part, "from": start_offset}
        if wait_ms:
            query["waitMs"] = wait_ms
        status, body = await self._request("GET", "/log-read", query, wait_ms=wait_ms)
        if status == 410:
            raise HistoryGoneError(_decode(body, _GonePayload).first)
        if status != 200:
            raise StoreUnavailableError(f"read answered {status}")
        return decode_page(start_offset, body)

    async def read_newest_values(self, topic: str, part: int) -> NewestValues:
        """Return the newest value of each key."""
        values: dict[str, bytes] = {}
        end: int | None = None
        after = ""
        while True:
            query: dict[str, str | int] = {"topic": topic, "part": part}
            if after:
                query["after"] = after
            status, body = await self._request("GET", "/log-newest", query)
            if status != 200:
                raise StoreUnavailableError(f"newest values answered {status}")
            page = _decode(body, _NewestPayload)
            for item in page.items:
                values[item.key] = _decode_value(item)
            end = page.end if end is None else end
            if not page.more or not page.items:
                return NewestValues(values, end)
            after = page.items[-1].key

    async def join(self, member: str, generation: int) -> int:
        """Join the group or renew the membership; return the group's generation."""
        request = {
            "group": MEMBER_GROUP,
            "member": member,
            "topics": GROUP_TOPICS,
            "ttlMs": self._ttl_ms,
            "generation": generation,
        }
        status, body = await self._request(
            "POST", "/log-join", {}, msgspec.json.encode(request)
        )
        if status != 200:
            raise StoreUnavailableError(f"join answered {status}")
        return _decode(body, _JoinPayload).generation

    async def list_members(self) -> frozenset[str]:
        """Return the members whose membership has not expired."""
        status, body = await self._request(
            "GET", "/log-owners", {"group": MEMBER_GROUP}
        )
        if status != 200:
            raise StoreUnavailableError(f"list of members answered {status}")
        answer = _decode(body, dict[str, Any])
        # The only list has a row for each partition.
        rows = next((rows for rows in answer.values() if isinstance(rows, list)), [])
        try:
            owners = msgspec.convert(rows, list[_OwnerRow])
        except msgspec.ValidationError as error:
            raise StoreUnavailableError(
                f"malformed list of members: {error}"
            ) from error
        return frozenset(owner.member for owner in owners if owner.member)

    async def leave(self, member: str) -> None:
        """Leave the group."""
        body = msgspec.json.encode({"group": MEMBER_GROUP, "member": member})
        await self._request("POST", "/log-leave", {}, body)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes | None = None,
        wait_ms: int = 0,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {}
        if body is not None and path != "/log-append":
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error


def _decode_value(item: _NewestItem) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise StoreUnavailableError(f"value of {item.key!r}: {error}") from error


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise StoreUnavailableError(f"malformed response: {error}") from error
