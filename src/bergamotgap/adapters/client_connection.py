"""One client's HTTP connection, which counts what its client makes the process hold.

It cuts what arrives into pieces before the parser of the HTTP library sees it, so that
neither the parser's state nor the time of the loop depends on what a client sends.
"""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import islice
from typing import Any, cast

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from bergamotgap.adapters.client_guard import ClientGuard
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.request_meter import RequestMeter
from bergamotgap.domain.client_limits import (
    CONNECTION_BYTES,
    CloseReason,
    ConnectionState,
    Phase,
)

# What is given to the parser at once.
PIECE_BYTES = 4 << 10
# Pieces with more lines are parsed in turn with those of other connections: each line
# may be a header field or a chunk, which take far more time than other bytes.
MAX_PROMPT_LINES = 64
# Unread bytes of a body after which the parser pauses. The library derives from it how
# many chunks may wait.
READ_BUFFER_BYTES = 16 << 10
# Unsent bytes of an answer after which the handler waits for the client.
WRITE_BUFFER_BYTES = 16 << 10
# How long the rest of a request is read after its answer. A connection that is closed
# before is reset, and the client may lose the answer.
LINGERING_S = 1.0
# Longer than any head: the limit is that of the guard, which may change.
PARSER_LIMIT_BYTES = 1 << 30
MAX_ERROR_CHARS = 200
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
IDENTITY = "identity"

log = get_logger(__name__)


class ClientConnection(RequestHandler):
    """Serve one connection within the limits of a guard."""

    def __init__(
        self, manager: web.Server, loop: asyncio.AbstractEventLoop, guard: ClientGuard
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            max_line_size=PARSER_LIMIT_BYTES,
            max_field_size=PARSER_LIMIT_BYTES,
            max_headers=PARSER_LIMIT_BYTES,
        )
        self._guard = guard
        # The base class forgets its transport when it begins to close it.
        self._own_transport: asyncio.Transport | None = None
        self._is_ended = False
        # Whether what arrives is dropped, as the client was refused.
        self._is_refused = False
        # What arrived and was not parsed yet, from an offset on.
        self._unparsed = b""
        self._offset = 0
        self._is_scheduled = False
        self._meter = RequestMeter()
        # What the meter held when it was last counted.
        self._metered_bytes = 0
        self._unsent_bytes = 0
        self._held_bytes = 0
        self._received_ms = self._since_ms = guard.now_ms

    def get_state(self) -> ConnectionState:
        """Return what the connection waits for and what it holds."""
        return ConnectionState(
            self._get_phase(), self._since_ms, self._received_ms, self._held_bytes
        )

    def _get_phase(self) -> Phase:
        if self.transport is None or self._close:
            return Phase.CLOSING
        if self._unsent_bytes:
            return Phase.WRITING
        if self._meter.body is not None:
            return Phase.BODY
        if self._meter.has_requests:
            return Phase.WORKING
        return Phase.HEAD if self._meter.is_head_begun else Phase.IDLE

    def _enter_phase(self) -> None:
        self._since_ms = self._guard.now_ms

    def _hold(self, byte_count: int) -> None:
        self._held_bytes += byte_count
        self._guard.charge(byte_count)

    def _hold_metered(self) -> None:
        """Count what the meter's requests hold now."""
        change = self._meter.held_bytes - self._metered_bytes
        self._metered_bytes += change
        self._hold(change)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection if the guard has room for it."""
        self._own_transport = cast(asyncio.Transport, transport)
        self._own_transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        if self._guard.admit(self):
            self._hold(CONNECTION_BYTES)
        else:
            self.end()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection held."""
        super().connection_lost(exc)
        self._guard.remove(self)
        self._release()

    def _release(self) -> None:
        self._is_ended = True
        self._unparsed, self._offset = b"", 0
        self._unsent_bytes = 0
        self._hold(-self._held_bytes)

    def end(self) -> None:
        """Close the connection at once and give back what it holds."""
        if self._is_ended:
            return
        self.force_close()
        self._guard.remove(self)
        self._release()
        if self._own_transport is not None:
            self._own_transport.abort()

    def shed(self) -> None:
        """Drop what came after the request at work, and close after its answer."""
        if self._unparsed and self._meter.is_whole:
            self._stop_reading()
            self._close = True

    def data_received(self, data: bytes) -> None:
        """Parse what arrived now, or in turn with other connections."""
        if not data:
            # The library goes on with what its parser kept.
            self._parse_part(data)
            return
        if self._is_ended or self._is_refused or self._close:
            return
        self._received_ms = self._guard.now_ms
        is_prompt = (
            not self._unparsed
            and not self._is_held_up
            and len(data) <= PIECE_BYTES
            and data.count(b"\n") <= MAX_PROMPT_LINES
        )
        rest = self._parse(data) if is_prompt else data
        if rest and not self._is_ended and not self._is_refused:
            self._keep(rest)

    def _keep(self, data: bytes) -> None:
        """Keep what is parsed later, and read no more until then."""
        self._pause_transport_reading()
        self._unparsed = self._unparsed[self._offset :] + data
        self._offset = 0
        self._hold(len(data))
        self._schedule_parse()

    def _schedule_parse(self) -> None:
        if not self._is_scheduled and not self._is_held_up:
            self._is_scheduled = True
            self._guard.schedule_parse(self)

    def parse_piece(self) -> bool:
        """Parse a piece of what has arrived; return whether to go on in turn."""
        if self._is_ended or not self._unparsed or self._is_held_up:
            self._is_scheduled = False
            return False
        piece = self._unparsed[self._offset : self._offset + PIECE_BYTES]
        self._offset += len(piece)
        self._hold(-len(piece))
        rest = self._parse(piece)
        if self._unparsed:
            self._offset -= len(rest)
            self._hold(len(rest))
            if self._offset == len(self._unparsed):
                self._unparsed, self._offset = b"", 0
        self._is_scheduled = bool(self._unparsed) and not self._is_held_up
        if not self._unparsed:
            self._resume_transport_reading()
        return self._is_scheduled

    @property
    def _is_held_up(self) -> bool:
        """Whether nothing is parsed before the handler goes on."""
        return self._meter.is_whole or self._reading_paused or self._buffer_paused

    def _resume_transport_reading(self) -> None:
        if self._unparsed:
            self._schedule_parse()
        elif not (self._is_ended or self._reading_paused or self._buffer_paused):
            super()._resume_transport_reading()

    def _parse(self, piece: bytes) -> bytes:
        """Parse a piece up to the end of a request; return the rest."""
        while piece and not self._is_ended and not self._is_refused:
            part = self._meter.cut(piece)
            piece = piece[len(part) :]
            self._parse_part(part)
            if self._is_held_up:
                break
        return piece

    def _parse_part(self, part: bytes) -> None:
        meter, body, count = self._meter, self._meter.body, self._request_count
        if body is None and not self._begin_head(part):
            return
        super().data_received(part)
        lines = part.count(b"\n")
        if body is not None:
            self._count_body(body, part, lines)
        added = self._request_count - count
        if added:
            self._count_requests(added)
        elif body is None and part:
            meter.add_head(part, lines)
        if (body is not None or added) and meter.is_whole:
            meter.add_rest(part, lines)
        self._hold_metered()
        if self._upgraded:
            self._refuse(CloseReason.UNSUPPORTED_UPGRADE)

    def _begin_head(self, part: bytes) -> bool:
        """Count a part of a head; return False if the client is refused."""
        if self._meter.begin_head(part):
            self._enter_phase()
        if self._meter.head_size <= self._guard.limits.max_head_bytes:
            return True
        if self._own_transport is not None:
            self._own_transport.write(HEAD_TOO_LARGE)
        self._refuse(CloseReason.HEAD_TOO_LARGE)
        self.force_close()
        return False

    def _count_requests(self, count: int) -> None:
        """Count the last requests, whose heads are parsed now."""
        parsed = list(islice(self._messages, len(self._messages) - count, None))
        unfinished = self._meter.body
        requests = [
            (message, body)
            for message, body in parsed
            if isinstance(message, RawRequestMessage)
        ]
        self._meter.add_requests(requests)
        self._enter_phase()
        if len(requests) < count:
            if unfinished is not None:
                # The library would let its handler wait for the rest.
                unfinished.set_exception(RequestPayloadError("malformed body"))
            self._meter.add_error()
            self._refuse(CloseReason.MALFORMED)

    def _count_body(self, body: StreamReader, part: bytes, lines: int) -> None:
        """Count what a part added to a body."""
        self._meter.add_body(part, lines, self._reading_paused)
        if self._meter.body is None:
            self._enter_phase()
        elif body.exception() is not None:
            self._refuse(CloseReason.MALFORMED)
        elif self._meter.size_without_progress > self._guard.limits.max_head_bytes:
            self._refuse(CloseReason.NO_BODY_PROGRESS)
            self.end()

    def _refuse(self, reason: CloseReason) -> None:
        """Read no further requests; the connection closes after its answers."""
        if self._is_refused or self._is_ended:
            return
        self._is_refused = True
        self._guard.record_close(reason)
        self._stop_reading()

    def _stop_reading(self) -> None:
        self._hold(self._offset - len(self._unparsed))
        self._unparsed, self._offset = b"", 0
        self._message_tail = b""
        # What still comes is dropped, and the end of the connection is seen.
        self._resume_transport_reading()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        encoding = request.headers.get("Content-Encoding", IDENTITY)
        if encoding.lower() != IDENTITY:
            request_handler = _refuse_encoding
        try:
            answer = await super()._handle_request(request, start_time, request_handler)
            if isinstance(answer[0], web.HTTPException):
                # The library's frame refers to it, and its traceback to the frame.
                answer[0].__traceback__ = None
            return answer
        finally:
            _clear_traceback(request)
            self._finish_request()

    def _finish_request(self) -> None:
        if self._is_ended:
            return
        self._meter.finish_request()
        self._hold_metered()
        if not self._meter.has_requests and self._meter.body is None:
            self._enter_phase()
        if self._is_refused:
            self._close = True
        elif self._unparsed:
            self._schedule_parse()

    def pause_writing(self) -> None:
        """Count what the client doesn't read."""
        super().pause_writing()
        if self._own_transport is not None and not self._is_ended:
            self._unsent_bytes = self._own_transport.get_write_buffer_size()
            self._hold(self._unsent_bytes)
            self._enter_phase()

    def resume_writing(self) -> None:
        """Give back what the client has read."""
        super().resume_writing()
        if not self._is_ended:
            self._hold(-self._unsent_bytes)
            self._enter_phase()
            self._unsent_bytes = 0

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log a failure of the connection, as far as clients can't cause it at will."""
        log.debug("connection failed", error=repr(args)[:MAX_ERROR_CHARS])

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a failed request and log a bounded line."""
        if request.writer.output_size > 0:
            raise ConnectionError("the connection has an answer already")
        if self.transport is None or isinstance(exc, ConnectionError):
            # The client is gone. An error raised here would keep its body in a cycle.
            status = 400
        elif isinstance(exc, HttpProcessingError | RequestPayloadError):
            status = 400
        else:
            log.error(
                "unexpected error in a request",
                path=request.path[:MAX_ERROR_CHARS],
                error=repr(exc)[:MAX_ERROR_CHARS],
                exc_info=exc,
            )
        response = web.Response(status=status)
        response.force_close()
        return response


def _clear_traceback(request: web.BaseRequest) -> None:
    """Free a body that broke off.

    Its reader keeps the error, whose traceback would keep what was read until the next
    garbage collection.
    """
    error = request.content.exception()
    if error is not None:
        error.__traceback__ = None


async def _refuse_encoding(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=415, headers={"Accept-Encoding": IDENTITY})
