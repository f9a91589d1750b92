"""Test the log output with a flood of lines and with a stalled reader."""

import os
import time

import pytest
import structlog

from bergamotgap.adapters.log_output import (
    MAX_BUFFER_BYTES,
    LineRateLimiter,
    NonBlockingOutput,
)
from bergamotgap.domain.clock import ManualClock


def test_a_stalled_reader_does_not_block_and_dropped_lines_are_counted() -> None:
    """Guards against requests that block on the reader of the log."""
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    line = "x" * 999 + "\n"
    count = 4 * MAX_BUFFER_BYTES // len(line)
    started = time.monotonic()
    for _ in range(count):
        output.write(line)
    assert time.monotonic() - started < 5
    assert output.dropped_lines > 0
    dropped_lines = output.dropped_lines
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            output.flush()
    output.write("last\n")
    text += os.read(reader, 1 << 20)
    lines = text.decode().splitlines()
    assert lines[-2:] == [f"event=lines_left_out count={dropped_lines}", "last"]
    assert all(len(whole) == 999 for whole in lines[:-2])
    os.close(reader)
    output.write("nobody reads\n")
    os.close(writer)


def test_a_flood_of_one_event_is_limited_and_warnings_are_kept() -> None:
    """Guards against an unlimited flood of one event, and against dropped warnings."""
    clock = ManualClock()
    limiter = LineRateLimiter(clock, max_lines=3)
    for _ in range(3):
        limiter(None, "info", {"event": "accepted"})
    for _ in range(5):
        with pytest.raises(structlog.DropEvent):
            limiter(None, "info", {"event": "accepted"})
    assert limiter(None, "warning", {"event": "accepted"})["left_out"] == 5
    assert "left_out" not in limiter(None, "info", {"event": "ended"})
    clock.advance_ms(1000)
    assert limiter(None, "info", {"event": "accepted"}) == {"event": "accepted"}
