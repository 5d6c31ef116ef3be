"""Guards peer requests against loss, silence, forgery and restarts."""

import asyncio
import contextlib

import attrs
import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import pynng_transport
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import assertions

_KEY = b"k" * 32
_TIMEOUT_S = 10.0
# Long enough for a connection on loopback, short because it is waited out.
_SILENCE_S = 0.3


@attrs.frozen
class Echo:
    """A request."""

    number: int
    payload: bytes = b""


@attrs.frozen
class Echoed:
    """Its reply."""

    number: int
    payload: bytes = b""


def _make(
    name: str, *, start_id: str = "1", listen: str = "127.0.0.1:0", **kwargs
) -> pynng_transport.PynngTransport:
    process = incarnation.Incarnation(name, start_id)
    kwargs.setdefault("fleet_key", _KEY)
    return pynng_transport.make_transport(
        process,
        listen,
        kwargs.pop("fleet_key"),
        recorder_lib.Recorder(process),
        message_types=(Echo, Echoed),
        registry=codec_lib.Registry(),
        **kwargs,
    )


async def _echo(sender: incarnation.Incarnation, msg: Echo) -> Echoed:
    del sender
    return Echoed(msg.number, msg.payload)


@contextlib.asynccontextmanager
async def _started(*transports):
    for t in transports:
        await t.start()
    try:
        yield
    finally:
        for t in transports:
            await t.close()


def _count(counter, *labels) -> float:
    return (counter.labels(*labels) if labels else counter)._value.get()


async def test_many_requests_in_flight_get_their_own_replies():
    client, server = _make("a"), _make("b")
    waiting = 0
    all_in = asyncio.Event()

    async def handle(sender, msg):
        nonlocal waiting
        waiting += 1
        if waiting == 50:
            all_in.set()
        await all_in.wait()
        return await _echo(sender, msg)

    server.register(Echo, handle)
    async with _started(client, server):
        replies = await asyncio.gather(
            *(
                client.request(server.address, Echo(i), timeout_s=_TIMEOUT_S)
                for i in range(50)
            )
        )
    assert replies == [Echoed(i) for i in range(50)]
    assert _count(client.metrics.dials) == 1


async def test_concurrent_handlers_are_bounded():
    client, server = _make("a"), _make("b", max_handlers=3)
    running = peak = 0

    async def handle(sender, msg):
        nonlocal running, peak
        running += 1
        peak = max(peak, running)
        await asyncio.sleep(0.01)
        running -= 1
        return await _echo(sender, msg)

    server.register(Echo, handle)
    async with _started(client, server):
        replies = await asyncio.gather(
            *(
                client.request(server.address, Echo(i), timeout_s=_TIMEOUT_S)
                for i in range(12)
            )
        )
    assert replies == [Echoed(i) for i in range(12)]
    assert peak == 3


async def test_a_refused_connection_is_unavailable_at_once():
    client, server = _make("a"), _make("b")
    async with _started(client):
        async with _started(server):
            address = server.address
        # The long timeout shows that the refusal does not wait for it.
        assertions.assert_refused(
            await asyncio.wait_for(
                client.request(address, Echo(1), timeout_s=600), _TIMEOUT_S
            ),
            reason_lib.Reason.UNAVAILABLE,
        )


class _SilentProxy:
    """Forwards connections; a silenced one stays open and carries nothing."""

    def __init__(self, target: str) -> None:
        self._target = target.rpartition(":")
        self._epoch = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence_open_connections(self) -> None:
        self._epoch += 1

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, up_writer), (up_reader, writer)):
            task = asyncio.create_task(self._copy(source, sink, self._epoch))
            self._tasks.add(task)

    async def _copy(self, source, sink, epoch: int) -> None:
        while data := await source.read(65536):
            if epoch == self._epoch:
                sink.write(data)
        sink.close()


async def test_a_silent_connection_is_replaced_after_a_timeout():
    client, server = _make("a"), _make("b")
    server.register(Echo, _echo)
    async with _started(client, server):
        proxy = _SilentProxy(server.address)
        await proxy.start()
        assert await client.request(
            proxy.address, Echo(1), timeout_s=_TIMEOUT_S
        ) == Echoed(1)
        proxy.silence_open_connections()
        assertions.assert_refused(
            await client.request(proxy.address, Echo(2), timeout_s=_SILENCE_S),
            reason_lib.Reason.TIMEOUT,
        )
        assert await client.request(
            proxy.address, Echo(3), timeout_s=_TIMEOUT_S
        ) == Echoed(3)
        await proxy.close()
    assert _count(client.metrics.dials) == 2


async def test_requests_are_not_resent_by_the_library():
    client, server = _make("a"), _make("b")
    runs = []

    async def handle(sender, msg):
        runs.append(msg.number)
        if msg.number == 1:
            await asyncio.sleep(_SILENCE_S * 3)
        return await _echo(sender, msg)

    server.register(Echo, handle)
    async with _started(client, server):
        assertions.assert_refused(
            await client.request(server.address, Echo(1), timeout_s=_SILENCE_S),
            reason_lib.Reason.TIMEOUT,
        )
        for number in (2, 3):
            await client.request(
                server.address, Echo(number), timeout_s=_TIMEOUT_S
            )
    assert runs == [1, 2, 3]


async def test_a_peer_that_dies_with_the_request_is_a_timeout():
    client, server = _make("a"), _make("b")
    entered = asyncio.Event()

    async def handle(sender, msg):
        entered.set()
        await asyncio.Event().wait()

    server.register(Echo, handle)
    async with _started(client):
        await server.start()
        pending = asyncio.create_task(
            client.request(server.address, Echo(1), timeout_s=_TIMEOUT_S)
        )
        await entered.wait()
        await server.close()
        # The peer may have handled it, so this must not be UNAVAILABLE.
        assertions.assert_refused(await pending, reason_lib.Reason.TIMEOUT)


async def test_a_foreign_fleet_key_gets_no_answer_and_is_counted():
    client = _make("a", fleet_key=b"x" * 32)
    server = _make("b")
    calls = []

    async def handle(sender, msg):
        calls.append(msg)

    server.register(Echo, handle)
    async with _started(client, server):
        assertions.assert_refused(
            await client.request(server.address, Echo(1), timeout_s=_SILENCE_S),
            reason_lib.Reason.TIMEOUT,
        )
    assert not calls
    assert _count(server.metrics.rejected, "unauthenticated") == 1


async def test_a_restarted_peer_gets_the_message_under_its_new_incarnation():
    client, first = _make("a"), _make("b")
    first.register(Echo, _echo)
    async with _started(client):
        async with _started(first):
            address = first.address
            await client.request(address, Echo(1), timeout_s=_TIMEOUT_S)
        second = _make("b", start_id="2", listen=address)
        second.register(Echo, _echo)
        async with _started(second):
            replies = [
                await client.request(address, Echo(2), timeout_s=_TIMEOUT_S)
                for _ in range(2)
            ]
    assert replies[-1] == Echoed(2)


async def test_a_refusal_of_the_handler_reaches_the_requester():
    client, server = _make("a"), _make("b")
    refused = refusal.Refusal(reason_lib.Reason.STALE, "epoch 3: sealed")

    async def handle(sender, msg):
        return refused

    server.register(Echo, handle)
    async with _started(client, server):
        assert (
            await client.request(server.address, Echo(1), timeout_s=_TIMEOUT_S)
            == refused
        )


async def test_a_failing_handler_is_a_timeout_and_serving_goes_on():
    client, server = _make("a"), _make("b", max_handlers=1)

    async def handle(sender, msg):
        if msg.number == 1:
            raise RuntimeError("fault")
        return await _echo(sender, msg)

    server.register(Echo, handle)
    async with _started(client, server):
        assertions.assert_refused(
            await client.request(server.address, Echo(1), timeout_s=_TIMEOUT_S),
            reason_lib.Reason.TIMEOUT,
        )
        assert await client.request(
            server.address, Echo(2), timeout_s=_TIMEOUT_S
        ) == Echoed(2)


async def test_a_message_without_handler_is_refused_at_once():
    client, server = _make("a"), _make("b")
    async with _started(client, server):
        assertions.assert_refused(
            await client.request(server.address, Echo(1), timeout_s=_TIMEOUT_S),
            reason_lib.Reason.INVALID_REQUEST,
        )


async def test_oversize_requests_and_replies_are_refused():
    client = _make("a", max_message_bytes=1000)
    server = _make("b", max_message_bytes=1000)

    async def handle(sender, msg):
        return Echoed(msg.number, bytes(2000))

    server.register(Echo, handle)
    async with _started(client, server):
        for msg in (Echo(1, bytes(2000)), Echo(2)):
            assertions.assert_refused(
                await client.request(server.address, msg, timeout_s=_TIMEOUT_S),
                reason_lib.Reason.BODY_TOO_LARGE,
            )


async def test_an_idle_link_is_closed_and_reopened_on_use():
    now_s = 0.0
    client = _make("a", idle_close_s=30.0, monotonic_s=lambda: now_s)
    server = _make("b")
    server.register(Echo, _echo)
    async with _started(client, server):
        for number in range(2):
            assert await client.request(
                server.address, Echo(number), timeout_s=_TIMEOUT_S
            ) == Echoed(number)
            now_s += 29.0
            client.close_idle()
            assert client.metrics.links._value.get() == 1
            now_s += 1.0
            client.close_idle()
            assert client.metrics.links._value.get() == 0
    assert _count(client.metrics.dials) == 2


async def test_a_cancelled_request_stays_cancelled():
    client, server = _make("a"), _make("b")
    entered = asyncio.Event()

    async def handle(sender, msg):
        if msg.number == 1:
            entered.set()
            await asyncio.Event().wait()
        return await _echo(sender, msg)

    server.register(Echo, handle)
    async with _started(client, server):
        pending = asyncio.create_task(
            client.request(server.address, Echo(1), timeout_s=_TIMEOUT_S)
        )
        await entered.wait()
        pending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await pending
        assert await client.request(
            server.address, Echo(2), timeout_s=_TIMEOUT_S
        ) == Echoed(2)
    assert _count(client.metrics.dials) == 1


async def test_bytes_are_counted_on_both_sides():
    client, server = _make("a"), _make("b")
    server.register(Echo, _echo)
    async with _started(client, server):
        await client.request(
            server.address, Echo(1, bytes(500)), timeout_s=_TIMEOUT_S
        )
    for one, other in ((client, server), (server, client)):
        sent = _count(one.metrics.sent_bytes)
        assert 500 < sent < 700
        assert _count(other.metrics.received_bytes) == sent
