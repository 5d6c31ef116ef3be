"""Guards against a process that blocks on the reader of its log."""

import asyncio
import json
import os

from hibiscuspass.telemetry import log_writer


async def test_full_pipe_drops_lines_and_reports_their_number() -> None:
    """Guards against a blocked process if its log is not read.

    The pipe and the queue are full. Further lines are dropped, and their number
    is logged once the reader continues.
    """
    read_end, write_end = os.pipe()
    writer = log_writer.LogWriter(write_end, max_lines=10)
    line = "x" * 8191 + "\n"
    for _ in range(100):
        writer.write(line)
    assert writer.dropped > 0
    expected = writer.dropped
    os.set_blocking(read_end, False)
    received = b""
    for _ in range(200):
        await asyncio.sleep(0)
        try:
            received += os.read(read_end, 1 << 20)
        except BlockingIOError:
            await asyncio.sleep(0.001)
    lines = received.decode().splitlines()
    reports = [json.loads(text) for text in lines if text.startswith("{")]
    assert reports == [{"event": "log lines dropped", "count": expected}]
    os.close(read_end)
    os.close(write_end)


async def test_lines_arrive_whole_and_in_order() -> None:
    """Guards against lines that are truncated by a partial write."""
    read_end, write_end = os.pipe()
    writer = log_writer.LogWriter(write_end, max_lines=1000)
    for number in range(300):
        writer.write(f"{number} " + "y" * 1000 + "\n")
    os.set_blocking(read_end, False)
    received = b""
    while received.count(b"\n") < 300:
        await asyncio.sleep(0)
        try:
            received += os.read(read_end, 1 << 16)
        except BlockingIOError:
            await asyncio.sleep(0.001)
    numbers = [int(text.split()[0]) for text in received.splitlines()]
    assert numbers == list(range(300))
    os.close(read_end)
    os.close(write_end)


async def test_closed_pipe_is_no_error() -> None:
    """A process must continue if the reader of its log exits."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = log_writer.LogWriter(write_end)
    writer.write("lost\n")
    assert writer.dropped >= 0
    os.close(write_end)
