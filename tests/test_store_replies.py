"""Tests of replies of the store that are slow, stalled, long or endless."""

import asyncio
import contextlib
import time

import pytest

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.platform import store as store_lib
from tests import assertions

_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
_EMPTY = b'{"events": [], "current_rev": 9}'


@contextlib.asynccontextmanager
async def _store_that_sends(head, pieces, pause_s):
    """Yields a client of a server that sends each reply in pieces."""
    connections = []

    async def serve(reader, writer):
        connections.append((asyncio.current_task(), writer))
        await reader.readuntil(b"\r\n\r\n")
        writer.write((_HEAD + head + "\r\n").encode())
        with contextlib.suppress(OSError):
            for piece in pieces():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = store_lib.make_store(f"{host}:{port}")
    try:
        yield store
    finally:
        await store.close()
        server.close()
        for task, writer in connections:
            task.cancel()
            writer.close()
        await asyncio.gather(
            *(task for task, _ in connections), return_exceptions=True
        )


async def _poll(store, **options):
    return await store.poll("op/", 1, wait_s=0.0, timeout_s=0.3, **options)


async def test_slow_reply_is_read_to_its_end():
    """The time limit holds until the reply begins."""

    def pieces():
        return [_EMPTY[n : n + 4] for n in range(0, len(_EMPTY), 4)]

    head = f"Content-Length: {len(_EMPTY)}\r\n"
    begun = []

    async def on_reply(size: int) -> None:
        begun.append(size)

    async with _store_that_sends(head, pieces, pause_s=0.1) as store:
        reply = await _poll(store, on_reply=on_reply)
    assert reply.revision == 9
    assert begun == [len(_EMPTY)]


async def test_reply_can_be_held_for_longer_than_the_time_limits():
    """A reply that waits for a copy of a peer is still good afterwards."""
    head = f"Content-Length: {len(_EMPTY)}\r\n"

    async def on_reply(size: int) -> None:
        await asyncio.sleep(2.0)

    async with _store_that_sends(head, lambda: [_EMPTY], pause_s=0) as store:
        reply = await _poll(store, on_reply=on_reply)
    assert reply.revision == 9


async def test_reply_that_is_too_long_is_not_held():
    async def on_reply(size: int) -> None:
        pytest.fail("the reply is not wanted")

    head = f"Content-Length: {len(_EMPTY)}\r\n"
    async with _store_that_sends(head, lambda: [_EMPTY], pause_s=0) as store:
        reply = await _poll(store, on_reply=on_reply, max_bytes=1)
    assertions.assert_refused(reply, reason_lib.Reason.STALE)


async def test_stalled_reply_is_given_up():
    head = f"Content-Length: {len(_EMPTY)}\r\n"
    started_s = time.monotonic()
    async with _store_that_sends(
        head, lambda: [_EMPTY[:5]], pause_s=30.0
    ) as store:
        reply = await _poll(store)
    assertions.assert_refused(reply, reason_lib.Reason.TIMEOUT)
    assert time.monotonic() - started_s < 2.5


async def test_reply_with_a_byte_now_and_then_ends(monkeypatch):
    monkeypatch.setattr(store_lib, "_MAX_TRANSFER_S", 1.0)
    async with _store_that_sends(
        "Content-Length: 1000\r\n", lambda: [b" "] * 1000, pause_s=0.2
    ) as store:
        reply = await _poll(store)
    assertions.assert_refused(reply, reason_lib.Reason.TIMEOUT)


@pytest.mark.parametrize("head", ["Content-Length: 2000000\r\n", ""])
async def test_long_reply_is_refused_when_it_begins(head):
    """Without a length it is refused after as many bytes as are accepted."""
    async with _store_that_sends(
        head, lambda: iter([b" " * 1000] * 2000), pause_s=0.01
    ) as store:
        async with asyncio.timeout(2.0):
            reply = await _poll(store, max_bytes=50_000)
    assertions.assert_refused(reply, reason_lib.Reason.STALE)


async def test_reply_that_breaks_off_is_no_reply():
    async with _store_that_sends(
        "Content-Length: 1000\r\n", lambda: [_EMPTY], pause_s=0.0
    ) as store:
        reply = await _poll(store)
    assertions.assert_refused(reply, reason_lib.Reason.TIMEOUT)


_CALLS = {
    "get": lambda s: s.get("op/config", timeout_s=1.0),
    "get_prefix": lambda s: s.get_prefix("op/", timeout_s=1.0),
    "poll": _poll,
    "commit": lambda s: s.commit({"k": 1}, {"k": b"v"}, timeout_s=1.0),
    "create_lease": lambda s: s.create_lease(15.0, timeout_s=1.0),
}


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"5",
        b'"text"',
        b"[]",
        b"[1]",
        b"{}",
        b"[" * 100_000,
        b'{"items": null, "events": null, "revision": null}',
        b'{"items": [5], "events": [5], "current_rev": 9, "lease": "x"}',
        b'{"items": [{}], "events": [{}], "current_rev": 9, "lease": []}',
        b'{"value": 5, "revision": [], "events": 5, "current_rev": 9}',
        b'{"value": "a", "revision": "x", "events": {"a": 1}}',
        b'{"items": [], "revision": 1e999, "current_rev": 1e999}',
        b'{"events": [{"key": "k", "tombstone": true}], "current_rev": 9}',
    ],
    ids=lambda body: body[:30].decode(),
)
async def test_malformed_reply_raised_and_ended_the_process(call, body):
    """The outcome of a call with such a reply is unknown."""
    head = f"Content-Length: {len(body)}\r\n"
    async with _store_that_sends(head, lambda: [body], 0.0) as store:
        reply = await _CALLS[call](store)
    assertions.assert_refused(reply, reason_lib.Reason.TIMEOUT)
