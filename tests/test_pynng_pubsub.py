"""Guards publish/subscribe against silent connections and unknown senders."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import liveness
from hibiscuspass.peers import pynng_pubsub
from tests import gateway_system

_KEY = b"k" * 32


@contextlib.asynccontextmanager
async def _running(
    name: str, key: bytes = _KEY
) -> AsyncIterator[tuple[pynng_pubsub.PynngPubSub, str, list[str]]]:
    """Starts a channel; yields it, its address and the received messages."""
    address = gateway_system.free_address_pair()
    pubsub = pynng_pubsub.make_pubsub(
        incarnation.Incarnation(name, "1"), address, key
    )
    received: list[str] = []
    pubsub.register(
        liveness.Alive,
        lambda sender, msg: received.append(f"{sender.name} {msg.address}"),
    )
    pubsub.start()
    try:
        yield pubsub, address, received
    finally:
        await pubsub.close()


async def _publish_until_received(
    pubsub: pynng_pubsub.PynngPubSub, received: list[str]
) -> None:
    for _ in range(100):
        pubsub.publish(liveness.Alive("h:1"))
        await asyncio.sleep(0.02)
        if received:
            return


async def test_malformed_address_does_not_hide_other_peers() -> None:
    """It ended the process of each router that read it from the store."""
    malformed = {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:99999"}
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (subscriber, _, received),
    ):
        for _ in range(2):
            subscriber.set_peers({address} | malformed)
        await _publish_until_received(sender, received)
        subscriber.set_peers({address})
        assert received


async def test_message_reaches_connected_peers_only() -> None:
    """A router must receive messages only from the peers that it was given."""
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (subscriber, _, received),
        _running("c") as (_, _, received_unconnected),
    ):
        subscriber.set_peers({address})
        await _publish_until_received(sender, received)
        assert received[0] == "a h:1"
        assert received_unconnected == []


async def test_reconnected_peer_receives_messages_again() -> None:
    """Guards against a peer that stays silent after a reconnect.

    A connection that delivers no more data is replaced by closing it and
    connecting to the same peer again.
    """
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (subscriber, _, received),
    ):
        subscriber.set_peers({address})
        await _publish_until_received(sender, received)
        subscriber.disconnect(address)
        subscriber.set_peers({address})
        received.clear()
        await _publish_until_received(sender, received)
        assert received


async def test_channel_closes_while_a_message_arrives() -> None:
    """Guards against a stop that never ends.

    The library drops a cancellation that arrives together with a message.
    """
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (subscriber, _, received),
    ):
        subscriber.set_peers({address})
        await _publish_until_received(sender, received)
        sender.publish(liveness.Alive("h:2"))
        # The message arrives while the event loop is blocked.
        time.sleep(0.1)  # noqa: ASYNC251
        async with asyncio.timeout(2.0):
            await subscriber.close()


async def test_message_with_another_key_is_dropped() -> None:
    """A process without the fleet key must not report totals or loads."""
    async with (
        _running("a", b"x" * 32) as (sender, address, _),
        _running("b") as (subscriber, _, received),
    ):
        subscriber.set_peers({address})
        for _ in range(20):
            sender.publish(liveness.Alive("h:1"))
            await asyncio.sleep(0.02)
        assert received == []


@pytest.mark.parametrize(
    ("peer", "publisher"), [("10.0.0.1:7000", "10.0.0.1:7001")]
)
def test_publisher_uses_the_next_port(peer: str, publisher: str) -> None:
    """Peers derive the address of the publisher from that of the peer link."""
    assert pynng_pubsub.publisher_address(peer) == publisher
