"""Tests of the knowledge about peers in fleets of all sizes."""

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import gateway_peers
from hibiscuspass.core.membership import member_record

_TIMEOUT_S = gateway_peers.SILENCE_TIMEOUT_S


def _records(
    size: int, start_id: str = "1"
) -> dict[str, member_record.MemberRecord]:
    return {
        f"router-{n}": member_record.MemberRecord(f"10.0.0.{n}:7000", start_id)
        for n in range(size)
    }


def _peers(size: int) -> gateway_peers.GatewayPeers:
    peers = gateway_peers.GatewayPeers("router-0")
    peers.on_records(_records(size), 0.0)
    return peers


@pytest.mark.parametrize("size", [2, 9, 30, 195, 390])
def test_neighbours_are_bounded_at_any_size(size: int) -> None:
    """Connections of each router to all others grew with the fleet."""
    peers = _peers(size)
    assert len(peers) == size - 1
    assert min(size - 1, 3) <= len(peers.neighbours) <= 9


def test_each_router_is_heard_by_several_others() -> None:
    """Announcements must reach all routers although each hears only few."""
    records = _records(195)
    heard_by = dict.fromkeys((r.address for r in records.values()), 0)
    for name in records:
        peers = gateway_peers.GatewayPeers(name)
        peers.on_records(records, 0.0)
        for address in peers.neighbours:
            heard_by[address] += 1
    assert min(heard_by.values()) >= 3


def test_small_fleet_hears_all_routers() -> None:
    """Nine routers exchange all their announcements."""
    assert len(_peers(9).neighbours) == 8


def test_silent_neighbour_is_noticed_within_seconds_at_any_size() -> None:
    """The time to notice a lost neighbour must not grow with the fleet."""
    peers = _peers(195)
    (gone, *others) = sorted(peers.neighbours)
    now_s = _TIMEOUT_S
    for address in others:
        peers.add(address, peers.get(address).process, now_s)
    live = {p.address for p in peers.live(now_s)}
    assert gone not in live
    assert set(others) <= live
    assert peers.take_silent_neighbours(now_s) == [gone]
    assert peers.take_silent_neighbours(now_s) == []


def test_router_without_a_record_is_not_asked() -> None:
    """The record of a router that has ended is removed with its lease."""
    peers = _peers(30)
    records = _records(30)
    name = next(
        n
        for n, r in records.items()
        if n != "router-0" and r.address not in peers.neighbours
    )
    gone = records.pop(name)
    peers.on_records(records, 10.0)
    assert gone.address in {p.address for p in peers.live(10.0)}, (
        "leases may lapse with an outage of the store"
    )
    peers.on_records(records, 20.0)
    assert gone.address not in {p.address for p in peers.live(20.0)}
    assert len(peers) == 29, "it may run and only be cut off"
    peers.on_records(records, 70.0)
    peers.forget_silent(70.0)
    assert peers.get(gone.address) is None


def test_cut_off_router_keeps_its_peers() -> None:
    """A router that reaches nobody must not take the shares of all others."""
    peers = _peers(9)
    peers.forget_silent(1000.0)
    assert len(peers) == 8


def test_peer_that_does_not_answer_is_not_asked_for_a_while() -> None:
    """A request must not wait for a router that is gone or unreachable."""
    peers = _peers(30)
    address = _records(30)["router-7"].address
    assert peers.on_failure(address, 0.5)
    assert not peers.on_failure(address, 0.6)
    assert address not in {p.address for p in peers.live(1.0)}
    assert address in {p.address for p in peers.live(2.7)}


def test_old_record_does_not_replace_a_running_process() -> None:
    """Reads of the records may be seconds old."""
    peers = _peers(9)
    address = _records(9)["router-3"].address
    new = incarnation.Incarnation("router-3", "2")
    assert peers.add(address, new, 1.0)
    peers.on_records(_records(9), 1.5)
    assert peers.get(address).process == new


def test_restarted_peer_is_known_by_its_new_record() -> None:
    """A router that is no neighbour is known only from its record."""
    peers = _peers(9)
    added = peers.on_records(_records(9, start_id="2"), 10.0)
    assert len(added) == 8
    assert {p.process.start_id for p in peers.live(10.0)} == {"2"}
