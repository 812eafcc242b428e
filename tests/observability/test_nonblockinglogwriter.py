"""Tests of the log output that never blocks its process."""

import contextlib
import os

from pomeloward import observability


def test_full_pipe_drops_lines_and_reports_their_number():
    """Guards against a slow log reader that blocks the process."""
    read_descriptor, write_descriptor = os.pipe()
    now_s = [0.0]
    log_writer = observability.NonblockingLogWriter(
        write_descriptor, lambda: now_s[0]
    )
    line = b"x" * 1_000 + b"\n"
    for _ in range(5_000):
        log_writer.write(line)
    os.set_blocking(read_descriptor, False)
    received = b""
    for _ in range(400):
        with contextlib.suppress(BlockingIOError):
            received += os.read(read_descriptor, 1 << 20)
        log_writer.flush()
    assert received.startswith(line)
    assert 100 < received.count(b"\n") < 4_000
    now_s[0] = 1.0
    log_writer.write(b"after\n")
    log_writer.flush()
    received_later = os.read(read_descriptor, 1 << 20)
    assert b"log:dropped" in received_later
    assert received_later.endswith(b"after\n")


def test_write_to_a_closed_pipe_raises_no_error():
    """Guards against a process that fails when its log reader ends."""
    read_descriptor, write_descriptor = os.pipe()
    log_writer = observability.NonblockingLogWriter(write_descriptor)
    os.close(read_descriptor)
    log_writer.write(b"line\n")
