"""Measures the requests of one connection while they are parsed and answered."""

from collections import deque
from collections.abc import Iterable

from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from bergamotgap.domain.client_limits import measure_body, measure_head

HEAD_END = b"\r\n\r\n"


class RequestMeter:
    """Follow the parser through heads and bodies, and sum up what they hold.

    `held_bytes` covers the head that arrives, and each request from its head to its
    answer.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        # Bytes held by each request that was parsed and not answered, oldest first.
        self._requests: deque[int] = deque()
        # A head that is not whole yet. Empty lines may come before it.
        self.is_head_begun = False
        self.head_size = 0
        self._head_held = 0
        self._head_tail = b""
        # Body that is not whole yet; its request may have been answered already.
        self.body: StreamReader | None = None
        # Bytes of the body to come; None if its head doesn't tell.
        self._body_left: int | None = None
        self._is_body_answered = False
        self._body_size = 0
        self._body_lines = 0
        self._body_held = 0
        # Bytes since the last one that belonged to a body, and not to its framing.
        self.size_without_progress = 0

    @property
    def has_requests(self) -> bool:
        """Whether a request was parsed and not answered."""
        return bool(self._requests)

    @property
    def is_whole(self) -> bool:
        """Whether there are requests, and all of them are whole."""
        return bool(self._requests) and self.body is None

    def cut(self, piece: bytes) -> bytes:
        """Return the beginning of a piece, up to the end of a head or body."""
        if self.body is not None:
            return piece if self._body_left is None else piece[: self._body_left]
        # The end of the head may lie across two pieces.
        end = (self._head_tail + piece).find(HEAD_END)
        if end < 0:
            self._head_tail = (self._head_tail + piece)[1 - len(HEAD_END) :]
            return piece
        end += len(HEAD_END) - len(self._head_tail)
        self._head_tail = b""
        return piece[:end]

    def begin_head(self, part: bytes) -> bool:
        """Count the size of a part of a head; return whether it is the first part."""
        is_first = not self.is_head_begun and bool(part.strip(b"\r\n"))
        self.is_head_begun = self.is_head_begun or is_first
        self.head_size += len(part)
        return is_first

    def add_head(self, part: bytes, lines: int) -> None:
        """Add what the parser holds of a head that is not whole."""
        self._head_held += measure_head(len(part), lines)
        self.held_bytes += measure_head(len(part), lines)

    def add_requests(
        self, parsed: Iterable[tuple[RawRequestMessage, StreamReader]]
    ) -> None:
        """Replace the head by the requests that it was the beginning of."""
        self.held_bytes -= self._head_held
        size, self.head_size, self._head_held = self.head_size, 0, 0
        self.is_head_begun, self._head_tail = False, b""
        self.body, self._body_left = None, None
        for message, body in parsed:
            self._body_size, self._body_lines = body.total_bytes, 0
            self._body_held = measure_body(self._body_size, 0)
            held = measure_head(size, len(message.raw_headers)) + self._body_held
            self._requests.append(held)
            self.held_bytes += held
            size = 0
            self.body = None if body.is_eof() else body
            length = message.headers.get("Content-Length")
            self._body_left = int(length) - body.total_bytes if length else None
        self._is_body_answered = False
        self.size_without_progress = 0

    def add_error(self) -> None:
        """Add the answer to what is no request."""
        self.body = None
        self._requests.append(0)

    def add_body(self, part: bytes, lines: int, is_parser_paused: bool) -> None:
        """Add what a part added to the body."""
        assert self.body is not None
        size = self.body.total_bytes - self._body_size
        self._body_size += size
        self._body_lines += lines
        if self._body_left is not None:
            self._body_left -= size
        if not self._is_body_answered and self._requests:
            # A parser that pauses within a part has not come to all of its lines.
            counted_lines = 0 if is_parser_paused else self._body_lines
            held = measure_body(self._body_size, counted_lines)
            self._requests[-1] += held - self._body_held
            self.held_bytes += held - self._body_held
            self._body_held = held
        without_progress = self.size_without_progress + len(part)
        self.size_without_progress = 0 if size else without_progress
        if self.body.is_eof():
            self.body = None

    def add_rest(self, part: bytes, lines: int) -> None:
        """Add the beginning of a further head at the end of a part, if any."""
        if self._body_left != 0 and not part.endswith(HEAD_END):
            self.add_head(part, lines)

    def finish_request(self) -> None:
        """Give back the oldest request, as it was answered."""
        if self._requests:
            self.held_bytes -= self._requests.popleft()
        self._is_body_answered = not self._requests and self.body is not None
