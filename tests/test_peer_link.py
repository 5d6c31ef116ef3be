"""Guards peer links against lost, silent and slow connections."""

import asyncio

import pytest

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.peers import pynng_link
from tests import assertions
from tests import peer_links

pytestmark = pytest.mark.usefixtures("each_transport")


async def test_a_refused_connection_is_unavailable_at_once():
    """A peer that does not run must not delay its callers by their timeout."""
    client, server = peer_links.make("a"), peer_links.make("b")
    async with peer_links.running(client):
        async with peer_links.running(server):
            address = server.address
        # The timeout is so long that only an immediate refusal passes.
        assertions.assert_refused(
            await asyncio.wait_for(
                client.request(address, peer_links.Echo(1), timeout_s=600),
                peer_links.TIMEOUT_S,
            ),
            reason_lib.Reason.UNAVAILABLE,
        )


class _SilentProxy:
    """Forwards connections; a silenced connection stays open without data."""

    def __init__(self, target: str) -> None:
        self._target = target.rpartition(":")
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence_open_connections(self) -> None:
        self._generation += 1

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, up_writer), (up_reader, writer)):
            task = asyncio.create_task(
                self._copy(source, sink, self._generation)
            )
            self._tasks.add(task)

    async def _copy(self, source, sink, generation: int) -> None:
        while data := await source.read(65536):
            if generation == self._generation:
                sink.write(data)
        sink.close()


async def test_a_silent_connection_is_replaced_after_a_timeout():
    """Guards against a connection that stays open but loses all data.

    Without a new connection after the timeout, every later request to the peer
    would time out too.
    """
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client, server):
        proxy = _SilentProxy(server.address)
        await proxy.start()
        assert await client.request(
            proxy.address, peer_links.Echo(1), timeout_s=peer_links.TIMEOUT_S
        ) == peer_links.Echoed(1)
        proxy.silence_open_connections()
        assertions.assert_refused(
            await client.request(
                proxy.address,
                peer_links.Echo(2),
                timeout_s=peer_links.SILENCE_S,
            ),
            reason_lib.Reason.TIMEOUT,
        )
        assert await client.request(
            proxy.address, peer_links.Echo(3), timeout_s=peer_links.TIMEOUT_S
        ) == peer_links.Echoed(3)
        await proxy.close()
    assert peer_links.counter_value(client.metrics.dials) == 2


async def test_requests_are_not_resent_by_the_library():
    """Guards against the resending of nng, which would run a request twice."""
    client, server = peer_links.make("a"), peer_links.make("b")
    runs = []

    async def handle(sender, msg):
        runs.append(msg.number)
        if msg.number == 1:
            await never.wait()
        return await peer_links.echo(sender, msg)

    server.register(peer_links.Echo, handle)
    never = asyncio.Event()
    async with peer_links.running(client, server):
        # Request 0 opens the connection, so that the timeout of request 1
        # covers only its delivery.
        for number in (0, 1):
            outcome = await client.request(
                server.address,
                peer_links.Echo(number),
                timeout_s=peer_links.TIMEOUT_S if number == 0 else 2.0,
            )
        assertions.assert_refused(outcome, reason_lib.Reason.TIMEOUT)
        for number in (2, 3):
            await client.request(
                server.address,
                peer_links.Echo(number),
                timeout_s=peer_links.TIMEOUT_S,
            )
    assert runs == [0, 1, 2, 3]


async def test_a_peer_that_dies_with_the_request_is_a_timeout():
    """A caller that reads `UNAVAILABLE` may repeat a request that has run."""
    client, server = peer_links.make("a"), peer_links.make("b")
    entered = asyncio.Event()

    async def handle(sender, msg):
        entered.set()
        await asyncio.Event().wait()

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client):
        await server.start()
        pending = asyncio.create_task(
            client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            )
        )
        await entered.wait()
        await server.close()
        # The peer may have handled the request, so the reason must not be
        # UNAVAILABLE.
        assertions.assert_refused(await pending, reason_lib.Reason.TIMEOUT)


async def test_an_idle_link_is_closed_and_reopened_on_use():
    """Unused connections must not accumulate in a large fleet."""
    now_s = 0.0
    client = peer_links.make("a", idle_close_s=30.0, monotonic_s=lambda: now_s)
    server = peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client, server):
        for number in range(2):
            assert await client.request(
                server.address,
                peer_links.Echo(number),
                timeout_s=peer_links.TIMEOUT_S,
            ) == peer_links.Echoed(number)
            now_s += 29.0
            client.close_idle()
            assert client.metrics.links._value.get() == 1
            now_s += 1.0
            client.close_idle()
            assert client.metrics.links._value.get() == 0
    assert peer_links.counter_value(client.metrics.dials) == 2


async def test_a_cancelled_request_stays_cancelled():
    """A cancelled request must not break the link for later requests."""
    client, server = peer_links.make("a"), peer_links.make("b")
    entered = asyncio.Event()

    async def handle(sender, msg):
        if msg.number == 1:
            entered.set()
            await asyncio.Event().wait()
        return await peer_links.echo(sender, msg)

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        pending = asyncio.create_task(
            client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            )
        )
        await entered.wait()
        pending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await pending
        assert await client.request(
            server.address, peer_links.Echo(2), timeout_s=peer_links.TIMEOUT_S
        ) == peer_links.Echoed(2)
    assert peer_links.counter_value(client.metrics.dials) == 1


async def test_a_request_after_close_is_unavailable():
    """A closed transport must not open new connections."""
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client, server):
        await client.close()
        assertions.assert_refused(
            await client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            ),
            reason_lib.Reason.UNAVAILABLE,
        )


async def test_a_request_waiting_for_a_connection_ends_at_close(monkeypatch):
    """Shutdown must not wait for a connection attempt that hangs."""
    client = peer_links.make("a")
    dialling = asyncio.Event()

    async def hang(link, timeout_s):
        dialling.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(peer_links.link_class(), "connect", hang)
    async with peer_links.running(client):
        pending = asyncio.create_task(
            client.request(
                "127.0.0.1:1",
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            )
        )
        await dialling.wait()
        await client.close()
        assertions.assert_refused(await pending, reason_lib.Reason.UNAVAILABLE)


async def test_a_short_timeout_does_not_cancel_the_connect_for_others(
    monkeypatch,
):
    """Requests to one peer share a connection attempt.

    The request with the shortest timeout must not cancel it for the others.
    """
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    connect = peer_links.link_class().connect
    allow_connect = asyncio.Event()

    async def slow(link, timeout_s):
        await allow_connect.wait()
        return await connect(link, timeout_s)

    monkeypatch.setattr(peer_links.link_class(), "connect", slow)
    async with peer_links.running(client, server):
        pending = asyncio.create_task(
            client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            )
        )
        assertions.assert_refused(
            await client.request(
                server.address, peer_links.Echo(2), timeout_s=0.01
            ),
            reason_lib.Reason.UNAVAILABLE,
        )
        allow_connect.set()
        assert await pending == peer_links.Echoed(1)


async def test_a_request_lost_with_its_peer_is_not_run_after_a_restart():
    """Guards against a request that runs in the next incarnation of a peer.

    nng would resend the pending request to the process that listens on the
    same address after a restart.
    """
    client, first = peer_links.make("a"), peer_links.make("b")
    entered = asyncio.Event()
    seen = []

    async def hang(sender, msg):
        entered.set()
        await asyncio.Event().wait()

    async def handle(sender, msg):
        seen.append(msg.number)
        return await peer_links.echo(sender, msg)

    first.register(peer_links.Echo, hang)
    async with peer_links.running(client):
        await first.start()
        address = first.address
        pending = asyncio.create_task(
            client.request(
                address, peer_links.Echo(1), timeout_s=peer_links.TIMEOUT_S
            )
        )
        await entered.wait()
        await first.close()
        second = peer_links.make("b", start_id="2", listen=address)
        second.register(peer_links.Echo, handle)
        async with peer_links.running(second):
            assertions.assert_refused(await pending, reason_lib.Reason.TIMEOUT)
            await client.request(
                address, peer_links.Echo(2), timeout_s=peer_links.TIMEOUT_S
            )
    assert seen == [2]


async def test_a_cancellation_suppressed_by_the_library_is_raised_again(
    monkeypatch,
):
    """Guards against a cancelled task that continues.

    The library suppresses a cancellation that arrives together with a reply.
    """
    link = pynng_link.PynngLink("127.0.0.1:1", 1000)
    waiting = asyncio.Event()

    async def swallow(context, frame, timeout_s):
        waiting.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return b"reply"

    monkeypatch.setattr(link, "_exchange", swallow)
    pending = asyncio.create_task(link.exchange(b"", peer_links.TIMEOUT_S))
    await waiting.wait()
    pending.cancel()
    with pytest.raises(asyncio.CancelledError):
        await pending
    link.close()
