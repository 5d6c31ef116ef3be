"""News between routers over publisher sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import membership_news
from hibiscuspass.peers import pynng_pubsub
from tests import gateway_system

_KEY = b"k" * 32


@contextlib.asynccontextmanager
async def _running(
    name: str, key: bytes = _KEY
) -> AsyncIterator[tuple[pynng_pubsub.PynngPubSub, str, list[str]]]:
    """Starts a channel; yields it, its address and what it receives."""
    address = gateway_system.free_pair()
    news = pynng_pubsub.make_pubsub(
        incarnation.Incarnation(name, "1"), address, key
    )
    received: list[str] = []
    news.register(
        membership_news.Alive,
        lambda sender, msg: received.append(f"{sender.name} {msg.address}"),
    )
    news.start()
    try:
        yield news, address, received
    finally:
        await news.close()


async def _publish_until(
    news: pynng_pubsub.PynngPubSub, received: list[str]
) -> None:
    for _ in range(100):
        news.publish(membership_news.Alive("h:1"))
        await asyncio.sleep(0.02)
        if received:
            return


async def test_news_reaches_followers_only() -> None:
    """A router takes news from the peers that it knows, not from others."""
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (follower, _, received),
        _running("c") as (_, _, nothing),
    ):
        follower.set_peers({address})
        await _publish_until(sender, received)
        assert received[0] == "a h:1"
        assert nothing == []


async def test_replaced_connection_gets_news_again() -> None:
    """A connection that went silent for good is replaced by a new one."""
    async with (
        _running("a") as (sender, address, _),
        _running("b") as (follower, _, received),
    ):
        follower.set_peers({address})
        await _publish_until(sender, received)
        follower.disconnect(address)
        follower.set_peers({address})
        received.clear()
        await _publish_until(sender, received)
        assert received


async def test_news_with_another_key_is_dropped() -> None:
    """An outsider must not tell routers about totals or loads."""
    async with (
        _running("a", b"x" * 32) as (sender, address, _),
        _running("b") as (follower, _, received),
    ):
        follower.set_peers({address})
        for _ in range(20):
            sender.publish(membership_news.Alive("h:1"))
            await asyncio.sleep(0.02)
        assert received == []


@pytest.mark.parametrize(("peer", "news"), [("10.0.0.1:7000", "10.0.0.1:7001")])
def test_news_is_on_the_next_port(peer: str, news: str) -> None:
    """Peers find the news of a router by its peer link alone."""
    assert pynng_pubsub.publisher_address(peer) == news
