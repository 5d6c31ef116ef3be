"""Guards peer messages against forgery, overload and restarts."""

import asyncio

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from tests import assertions
from tests import peer_links

pytestmark = pytest.mark.usefixtures("each_transport")


async def test_many_requests_in_flight_get_their_own_replies():
    """Concurrent requests share one connection and must not mix up replies."""
    client, server = peer_links.make("a"), peer_links.make("b")
    waiting = 0
    all_waiting = asyncio.Event()

    async def handle(sender, msg):
        nonlocal waiting
        waiting += 1
        if waiting == 50:
            all_waiting.set()
        await all_waiting.wait()
        return await peer_links.echo(sender, msg)

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        replies = await asyncio.gather(
            *(
                client.request(
                    server.address,
                    peer_links.Echo(i),
                    timeout_s=peer_links.TIMEOUT_S,
                )
                for i in range(50)
            )
        )
    assert replies == [peer_links.Echoed(i) for i in range(50)]
    assert peer_links.counter_value(client.metrics.dials) == 1


async def test_concurrent_handlers_are_bounded():
    """Guards against a peer that overloads a process with its requests."""
    client, server = peer_links.make("a"), peer_links.make("b", max_handlers=3)
    running = peak = 0

    async def handle(sender, msg):
        nonlocal running, peak
        running += 1
        peak = max(peak, running)
        await asyncio.sleep(0.01)
        running -= 1
        return await peer_links.echo(sender, msg)

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        replies = await asyncio.gather(
            *(
                client.request(
                    server.address,
                    peer_links.Echo(i),
                    timeout_s=peer_links.TIMEOUT_S,
                )
                for i in range(12)
            )
        )
    assert replies == [peer_links.Echoed(i) for i in range(12)]
    assert peak == 3


async def test_a_request_with_another_fleet_key_gets_no_reply_and_is_counted():
    """A process without the fleet key must not run a handler or get a reply."""
    client = peer_links.make("a", fleet_key=b"x" * 32)
    server = peer_links.make("b")
    calls = []

    async def handle(sender, msg):
        calls.append(msg)

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        assertions.assert_refused(
            await client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.SILENCE_S,
            ),
            reason_lib.Reason.TIMEOUT,
        )
    assert not calls
    assert (
        peer_links.counter_value(server.metrics.rejected, "unauthenticated")
        == 1
    )


async def test_a_restarted_peer_gets_the_message_under_its_new_incarnation():
    """Guards against a client that keeps addressing the former incarnation.

    After a restart of the peer, requests still name its former incarnation
    until the new one has replied.
    """
    client, first = peer_links.make("a"), peer_links.make("b")
    first.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client):
        async with peer_links.running(first):
            address = first.address
            await client.request(
                address, peer_links.Echo(1), timeout_s=peer_links.TIMEOUT_S
            )
        second = peer_links.make("b", start_id="2", listen=address)
        second.register(peer_links.Echo, peer_links.echo)
        async with peer_links.running(second):
            replies = [
                await client.request(
                    address, peer_links.Echo(2), timeout_s=peer_links.TIMEOUT_S
                )
                for _ in range(2)
            ]
    assert replies[-1] == peer_links.Echoed(2)


async def test_a_refusal_of_the_handler_reaches_the_requester():
    """A refusal that a handler returns is a valid reply."""
    client, server = peer_links.make("a"), peer_links.make("b")
    refused = refusal.Refusal(reason_lib.Reason.STALE, "epoch 3: sealed")

    async def handle(sender, msg):
        return refused

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        assert (
            await client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            )
            == refused
        )


async def test_a_failing_handler_is_a_timeout_and_the_server_keeps_running():
    """An error in a handler must not stop the task that serves requests.

    The handler may have done part of its work, so the reason is `TIMEOUT`.
    """
    client, server = peer_links.make("a"), peer_links.make("b", max_handlers=1)

    async def handle(sender, msg):
        if msg.number == 0:
            raise RuntimeError("fault")
        if msg.number == 1:
            return "not a message"
        return await peer_links.echo(sender, msg)

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        for number in range(2):
            assertions.assert_refused(
                await client.request(
                    server.address,
                    peer_links.Echo(number),
                    timeout_s=peer_links.TIMEOUT_S,
                ),
                reason_lib.Reason.TIMEOUT,
            )
        assert await client.request(
            server.address, peer_links.Echo(2), timeout_s=peer_links.TIMEOUT_S
        ) == peer_links.Echoed(2)


async def test_a_message_without_handler_is_refused_at_once():
    """Such a request must not wait for its timeout."""
    client, server = peer_links.make("a"), peer_links.make("b")
    async with peer_links.running(client, server):
        assertions.assert_refused(
            await client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            ),
            reason_lib.Reason.INVALID_REQUEST,
        )


async def test_oversize_requests_and_replies_are_refused():
    """A reply over the limit is replaced by a refusal, not dropped."""
    client = peer_links.make("a", max_message_bytes=1000)
    server = peer_links.make("b", max_message_bytes=1000)

    async def handle(sender, msg):
        return peer_links.Echoed(msg.number, bytes(2000))

    server.register(peer_links.Echo, handle)
    async with peer_links.running(client, server):
        for msg in (peer_links.Echo(1, bytes(2000)), peer_links.Echo(2)):
            assertions.assert_refused(
                await client.request(
                    server.address, msg, timeout_s=peer_links.TIMEOUT_S
                ),
                reason_lib.Reason.BODY_TOO_LARGE,
            )


async def test_bytes_are_counted_on_both_sides():
    """The byte counters of sender and receiver must agree."""
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client, server):
        await client.request(
            server.address,
            peer_links.Echo(1, bytes(500)),
            timeout_s=peer_links.TIMEOUT_S,
        )
    for one, other in ((client, server), (server, client)):
        sent = peer_links.counter_value(one.metrics.sent_bytes)
        assert 500 < sent < 700
        assert peer_links.counter_value(other.metrics.received_bytes) == sent


async def test_a_reply_to_another_request_is_refused_and_counted(monkeypatch):
    """Guards against replayed replies, which have a valid signature."""
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)
    async with peer_links.running(client, server):
        first = peer_links.link_class().exchange
        frames = []

        async def replay(link, frame, timeout_s):
            reply = await first(link, frame, timeout_s)
            frames.append(reply)
            return frames[0]

        monkeypatch.setattr(peer_links.link_class(), "exchange", replay)
        request = client.request(
            server.address, peer_links.Echo(1), timeout_s=peer_links.TIMEOUT_S
        )
        assert await request == peer_links.Echoed(1)
        # A signed reply of the same peer, but to the earlier request.
        assertions.assert_refused(
            await client.request(
                server.address,
                peer_links.Echo(2),
                timeout_s=peer_links.TIMEOUT_S,
            ),
            reason_lib.Reason.UNAUTHENTICATED,
        )
    assert (
        peer_links.counter_value(client.metrics.rejected, "unauthenticated")
        == 1
    )


async def test_a_message_for_an_earlier_incarnation_is_not_handled():
    """A message may rely on state that its recipient lost in a restart."""
    client = peer_links.make("a")
    first, second = peer_links.make("b"), peer_links.make("b", start_id="2")
    seen = []

    async def handle(sender, msg):
        seen.append(msg.number)
        return await peer_links.echo(sender, msg)

    first.register(peer_links.Echo, peer_links.echo)
    second.register(peer_links.Echo, handle)
    async with peer_links.running(client, first, second):
        await client.request(
            first.address, peer_links.Echo(1), timeout_s=peer_links.TIMEOUT_S
        )
        client._incarnations[second.address] = client._incarnations[
            first.address
        ]
        # The refused message is sent again to the new incarnation.
        assert await client.request(
            second.address, peer_links.Echo(2), timeout_s=peer_links.TIMEOUT_S
        ) == peer_links.Echoed(2)
    assert seen == [2]


async def test_a_reply_to_another_process_is_refused(monkeypatch):
    """Guards against a reply meant for an earlier incarnation of the client."""
    client, server = peer_links.make("a"), peer_links.make("b")
    server.register(peer_links.Echo, peer_links.echo)

    async def misdirect(link, frame, timeout_s):
        req = server._codec.decode(frame)
        return server._codec.encode(
            peer_links.Echoed(1),
            recipient=incarnation.Incarnation("a", "an earlier run"),
            at=req.at,
            exchange=req.exchange,
        )

    monkeypatch.setattr(peer_links.link_class(), "exchange", misdirect)
    async with peer_links.running(client, server):
        assertions.assert_refused(
            await client.request(
                server.address,
                peer_links.Echo(1),
                timeout_s=peer_links.TIMEOUT_S,
            ),
            reason_lib.Reason.UNAUTHENTICATED,
        )
