"""Tests of the log file that never blocks."""

import contextlib
import os

from pomeloward import observability


def test_full_pipe_drops_lines_and_tells_how_many():
    reader, writer = os.pipe()
    now_s = [0.0]
    log = observability.NonblockingLogWriter(writer, lambda: now_s[0])
    line = b"x" * 1_000 + b"\n"
    for _ in range(5_000):
        log.write(line)
    os.set_blocking(reader, False)
    received = b""
    for _ in range(400):
        with contextlib.suppress(BlockingIOError):
            received += os.read(reader, 1 << 20)
        log.flush()
    assert received.startswith(line)
    assert 100 < received.count(b"\n") < 4_000
    now_s[0] = 1.0
    log.write(b"after\n")
    log.flush()
    rest = os.read(reader, 1 << 20)
    assert b"log:dropped" in rest
    assert rest.endswith(b"after\n")


def test_closed_pipe_is_no_error():
    reader, writer = os.pipe()
    log = observability.NonblockingLogWriter(writer)
    os.close(reader)
    log.write(b"line\n")
