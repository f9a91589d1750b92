"""Clients that don't behave: what each of them sends, and a crowd that sends it."""

import itertools
import random
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

HEAD_LIMIT = 16_384
BODY_LIMIT = 262_144
# What one client sends at most, and how much it hands to its socket at once.
MAX_SENT_BYTES = 256 << 20
SEND_BYTES = 1 << 18
# The body of a job, as it is decoded.
LEGAL_JOB_BYTES = 60_000
# The most tasks of a job on the users' platform.
MAX_TASKS = 100_000
POLL_S = 0.05
DROP_PAUSE_S = 0.001
# Placeholder of a job's id, 16 hexadecimal digits, in the head of a target.
ID = "{id}"


@dataclass(frozen=True)
class Target:
    """The address that a crowd connects to, and the head of a legal request to it."""

    address: str
    request_line: str
    host: str
    fields: tuple[str, ...] = ()

    def build_head(self, *fields: str, number: int = 0, ends: bool = True) -> bytes:
        """Return a request's head, or the beginning of one."""
        line = self.request_line.replace(ID, f"{0xABC0000 + number:016x}")
        lines = [line, f"Host: {self.host}", *self.fields, *fields]
        return ("\r\n".join(lines) + ("\r\n\r\n" if ends else "\r\n")).encode()


Pieces = Iterator[bytes]
# Returns the pieces that the client of a number sends.
Behaviour = Callable[[Target, int], Pieces]


def _repeat(piece: bytes, at_once: int = 1) -> Pieces:
    joined = piece * at_once
    while True:
        yield joined


def send_long_field(target: Target, number: int) -> Pieces:
    """Send one field far over the limit."""
    yield target.build_head(ends=False) + b"X-Long: "
    yield from _repeat(b"x" * 65_536)


def send_endless_head(field_bytes: int) -> Behaviour:
    """Send fields of a size without end."""

    def send(target: Target, number: int) -> Pieces:
        yield target.build_head(ends=False)
        field = b"a:" + b"b" * (field_bytes - 4) + b"\r\n"
        yield from _repeat(field, max(1, 65_536 // field_bytes))

    return send


def send_endless_line(target: Target, number: int) -> Pieces:
    """Send a request line without end."""
    yield b"GET /"
    yield from _repeat(b"p" * 65_536)


def send_empty_lines(target: Target, number: int) -> Pieces:
    """Send empty lines without end before a request."""
    yield from _repeat(b"\r\n", 32_768)


def send_most_of_body(piece_bytes: int) -> Behaviour:
    """Send a body of the largest legal size but for its last byte."""

    def send(target: Target, number: int) -> Pieces:
        yield target.build_head(f"Content-Length: {BODY_LIMIT}")
        left = BODY_LIMIT - 1
        while left:
            size = min(piece_bytes, left)
            left -= size
            yield b" " * size

    return send


def send_whole_bodies(target: Target, number: int) -> Pieces:
    """Send whole requests of the largest legal size, one after the other."""
    yield from _repeat(
        target.build_head(f"Content-Length: {BODY_LIMIT}") + b" " * BODY_LIMIT
    )


def send_chunks(chunk_bytes: int) -> Behaviour:
    """Send a chunked body of the largest legal size but for its last byte."""

    def send(target: Target, number: int) -> Pieces:
        yield target.build_head("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b" " * chunk_bytes)
        at_once = max(1, 65_536 // len(chunk))
        for _ in range((BODY_LIMIT - 1) // chunk_bytes // at_once):
            yield chunk * at_once
        yield b"%x\r\n" % chunk_bytes + b" " * (chunk_bytes - 1)

    return send


def send_one_large_chunk(target: Target, number: int) -> Pieces:
    """Send one chunk of the largest legal size but for its last byte."""
    yield target.build_head("Transfer-Encoding: chunked") + b"%x\r\n" % BODY_LIMIT
    yield b" " * (BODY_LIMIT - 1)


def send_endless_chunks(target: Target, number: int) -> Pieces:
    """Send chunks of one byte without end."""
    yield target.build_head("Transfer-Encoding: chunked")
    yield from _repeat(b"1\r\nx\r\n", 10_000)


def send_trailers(target: Target, number: int) -> Pieces:
    """Send a whole chunked body, then trailers without end."""
    yield target.build_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    yield from _repeat(b"a:b\r\n", 10_000)


def send_nothing(target: Target, number: int) -> Pieces:
    """Connect and send nothing."""
    yield from ()


def send_after_upgrade(target: Target, number: int) -> Pieces:
    """Ask for another protocol and go on sending."""
    yield target.build_head("Connection: upgrade", "Upgrade: websocket")
    yield from _repeat(b"\x00" * 65_536)


def send_without_reading(target: Target, number: int) -> Pieces:
    """Send whole requests one after the other and read no answer."""
    yield from _repeat(target.build_head("Content-Length: 0"), 500)


def send_drops(target: Target, number: int) -> Pieces:
    """Send half of a body at once, and the rest of it byte by byte."""
    yield target.build_head(f"Content-Length: {BODY_LIMIT}") + b" " * (BODY_LIMIT // 2)
    for _ in range(BODY_LIMIT // 2 - 1):
        time.sleep(DROP_PAUSE_S)
        yield b" "


def send_documents(build: Callable[[int], bytes]) -> Behaviour:
    """Send one whole request with a document of its own."""

    def send(target: Target, number: int) -> Pieces:
        body = build(number)
        yield target.build_head(f"Content-Length: {len(body)}", number=number) + body

    return send


def send_legal_jobs(target: Target, number: int) -> Pieces:
    """Submit jobs of `serve` with legal bodies, one after the other."""
    content = b"A" * (LEGAL_JOB_BYTES // 3 * 4)
    for job in itertools.count():
        body = (
            b'{"entry":"spend-preview","request_id":"j-%d-%d","body_base64":"%b"}'
            % (number, job, content)
        )
        yield target.build_head(f"Content-Length: {len(body)}") + body


def send_large_jobs(target: Target, number: int) -> Pieces:
    """Submit jobs of fewer and fewer tasks, over and over, that never end."""
    for job in itertools.count():
        tasks = max(120, MAX_TASKS >> (job % 12))
        body = b'{"specification":"s","steps":[{"count":%d,"cpu":100000}]}' % tasks
        yield target.build_head(
            f"Content-Length: {len(body)}", number=number + 1000 * job
        ) + body


def send_mix(target: Target, number: int) -> Pieces:
    """Send a part of what another kind sends, drawn by the client's number."""
    rng = random.Random(number)
    pieces = rng.choice(KINDS)(target, number)
    for _ in range(rng.choice((1, 3, 20, 200))):
        piece = next(pieces, b"")
        yield piece[: rng.randrange(1, len(piece) + 1)] if piece else b""


KINDS: tuple[Behaviour, ...] = (
    send_long_field,
    send_endless_head(4096),
    send_endless_head(5),
    send_endless_line,
    send_empty_lines,
    send_most_of_body(BODY_LIMIT),
    send_most_of_body(8192),
    send_whole_bodies,
    send_one_large_chunk,
    send_chunks(8192),
    send_endless_chunks,
    send_trailers,
    send_after_upgrade,
    send_without_reading,
)


class _Client:
    def __init__(self, address: str, pieces: Pieces, reads: bool) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((host, int(port)))
        self._pieces = pieces
        self._reads = reads
        self._unsent = b""
        self._sent = 0

    def act(self) -> bool:
        """Send or read what is possible; return whether there is more to send."""
        try:
            if self._reads:
                self._read()
            if not self._unsent:
                self._unsent = next(self._pieces, b"")
            if not self._unsent or self._sent >= MAX_SENT_BYTES:
                return False
            count = self.socket.send(self._unsent[:SEND_BYTES])
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._sent += count
        self._unsent = self._unsent[count:]
        return True

    def _read(self) -> None:
        try:
            self.socket.recv(65_536)
        except BlockingIOError:
            return


def run_crowd(
    target: Target,
    behaviour: Behaviour,
    count: int,
    is_over: Callable[[], bool],
    reads: bool = True,
) -> None:
    """Let clients send as much as the process takes, and stay until `is_over`."""
    clients = [
        _Client(target.address, behaviour(target, n), reads) for n in range(count)
    ]
    selector = selectors.DefaultSelector()
    for client in clients:
        selector.register(client.socket, selectors.EVENT_WRITE, client)
    try:
        while not is_over():
            if not selector.get_map():
                time.sleep(POLL_S)
                continue
            for key, _ in selector.select(POLL_S):
                if not key.data.act():
                    selector.unregister(key.fileobj)
    finally:
        selector.close()
        for client in clients:
            client.socket.close()
