"""Chooses the routers to which a router sends heartbeats."""

from collections.abc import Sequence

import xxhash


def ring_neighbours(
    name: str, others: Sequence[str], max_neighbours: int
) -> tuple[str, ...]:
    """Returns the neighbours of a router, nearest first.

    Routers are placed on a ring by the hash of their names. The neighbours
    are at distances 1, 2, 4, and so on, so that information reaches all n
    routers in about log2(n) steps and each router is monitored by its
    predecessors.

    Args:
      name: Name of the router.
      others: Names of the other routers.
      max_neighbours: Largest number of neighbours. Up to this number of other
        routers, all of them are returned.
    """
    ring = sorted([*others, name], key=_ring_key)
    start = ring.index(name)
    if len(others) <= max_neighbours:
        return tuple(ring[start + 1 :] + ring[:start])
    distances: list[int] = []
    distance = 1
    while distance < len(ring) and len(distances) < max_neighbours:
        distances.append(distance)
        distance *= 2
    return tuple(ring[(start + d) % len(ring)] for d in distances)


def _ring_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
