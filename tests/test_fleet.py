"""Which peers a router asks, and how old it knows a revision to be."""

import attrs
import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import membership_news
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import age_witness
from hibiscuspass.gateway import fleet as fleet_lib
from tests import memory_store

_OWN = incarnation.Incarnation("router-1", "1")
_PEER = incarnation.Incarnation("router-2", "1")
_ADDRESS = "10.0.0.2:7000"


@attrs.define
class _FakePubSub:
    """Keeps what is published; the test calls the handlers."""

    published: list[object] = attrs.field(factory=list)
    forgotten: list[str] = attrs.field(factory=list)
    handlers: dict[type, object] = attrs.field(factory=dict)
    on_message: object = None
    last_published_s: float = float("-inf")
    followed: set[str] = attrs.field(factory=set)

    def register(self, msg_type: type, handler: object) -> None:
        self.handlers[msg_type] = handler

    def publish(self, msg: object) -> None:
        self.published.append(msg)

    def set_peers(self, addresses: set[str]) -> None:
        self.followed = addresses

    def disconnect(self, address: str) -> None:
        self.forgotten.append(address)


@attrs.define
class _Clock:
    now_s: float = 100.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    for module in (fleet_lib, age_witness):
        monkeypatch.setattr(module.time, "monotonic", lambda: clock.now_s)
    monkeypatch.setattr(age_witness, "_running_s", lambda: clock.now_s)
    return clock


def _fleet(pubsub: _FakePubSub) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet(_OWN, "10.0.0.1:7000", memory_store.MemoryStore())
    fleet.use_pubsub(pubsub)
    pubsub.handlers[membership_news.Alive](
        _PEER, membership_news.Alive(_ADDRESS)
    )
    return fleet


def test_silent_peers_are_not_asked(clock: _Clock) -> None:
    """A request must not wait for a router that is gone or cut off."""
    pubsub = _FakePubSub()
    fleet = _fleet(pubsub)
    assert fleet.peers() == [_ADDRESS]
    clock.now_s += 5.0
    assert fleet.peers() == []
    # It may only be cut off, so its share of repeats stays its own.
    assert (fleet.size, fleet.known_size) == (1, 2)


def test_any_news_is_a_sign_of_life(clock: _Clock) -> None:
    """Routers that send other news need no sign of life besides."""
    pubsub = _FakePubSub()
    fleet = _fleet(pubsub)
    clock.now_s += 3.0
    pubsub.on_message(_PEER)
    clock.now_s += 3.0
    assert fleet.names() == {"router-2": _ADDRESS}


def test_connections_of_silent_peers_are_replaced(clock: _Clock) -> None:
    """A connection may go silent for good while new ones work."""
    pubsub = _FakePubSub()
    fleet = _fleet(pubsub)
    clock.now_s += 5.0
    fleet._redial_silent(pubsub)
    assert pubsub.forgotten == [_ADDRESS]
    assert pubsub.followed == {_ADDRESS}
    fleet._redial_silent(pubsub)
    assert pubsub.forgotten == [_ADDRESS]


class _Transport:
    """Answers each question with the next reply."""

    def __init__(self, *replies: object) -> None:
        self.handlers: dict[type, object] = {}
        self._replies = list(replies)

    def register(self, msg_type: type, handler: object) -> None:
        self.handlers[msg_type] = handler

    async def request(self, *_: object, **__: object) -> object:
        return self._replies.pop(0) if self._replies else refusal.Refusal


def _witness(fleet: fleet_lib.Fleet, *replies: object):
    transport = _Transport(*replies)
    witness = age_witness.AgeWitness(transport, fleet)
    return witness, transport.handlers[messages.AskAge]


async def test_witness_answers_by_its_own_earlier_writes(
    clock: _Clock,
) -> None:
    """Only a write from before the revision bounds its age."""
    witness, ask = _witness(_fleet(_FakePubSub()))
    witness.on_written(10, clock.now_s)
    clock.now_s += 4.0
    witness.on_written(20, clock.now_s)
    clock.now_s += 1.0
    assert await ask(_PEER, messages.AskAge(9)) == messages.Age(None, False)
    assert await ask(_PEER, messages.AskAge(19)) == messages.Age(5.0, True)
    assert await ask(_PEER, messages.AskAge(20)) == messages.Age(1.0, True)


async def test_exact_ages_leave_out_the_time_since_the_start(
    clock: _Clock,
) -> None:
    """The earlier start had ended when this process started."""
    fleet = _fleet(_FakePubSub())
    witness, _ = _witness(fleet, messages.Age(6.0, True))
    clock.now_s += 2.0
    record = store_record.RouterRecord("h:1", seal_s=4.0, seen_revision=9)
    assert await witness.age_bound(record) == 4.0


async def test_pause_while_peers_are_asked_makes_no_record_younger(
    clock: _Clock,
) -> None:
    """A router that froze before it read the answers overspent by a takeover.

    Seed 2 of the soak used 30,554 of 25,000 prepaid tokens.
    """
    fleet = _fleet(_FakePubSub())
    witness, _ = _witness(fleet, messages.Age(6.0, True))
    ask = witness._transport.request

    async def request(*args: object, **options: object) -> object:
        reply = await ask(*args, **options)
        clock.now_s += 5.0
        return reply

    witness._transport.request = request
    clock.now_s += 2.0
    record = store_record.RouterRecord("h:1", seal_s=4.0, seen_revision=9)
    bound = await witness.age_bound(record)
    assert bound is not None
    assert bound >= 4.0
