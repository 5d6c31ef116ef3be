"""Choice of the routers that draw the tokens of a workspace.

Load pattern: a large fleet, in which each router sees only few requests of a
workspace. If all routers drew tokens, most requests would need a write to the
store, and most tokens would be held by routers that don't need them. Therefore
only a few routers, the holders, draw tokens, and the others borrow from them.
Workspaces share their holders, because one write of a holder renews its limits
for all of them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import xxhash

# In a fleet of up to this size, every router draws for all workspaces.
MAX_EQUAL_ROUTERS = 10
# Routers that draw for a workspace in a larger fleet. Each further holder
# divides the tokens of small workspaces into parts that cover few requests.
HOLDERS_IN_LARGE_FLEET = 5
# Routers per group of holders. Each group draws for a part of the workspaces,
# so that the load of a holder doesn't grow with the fleet.
_ROUTERS_PER_GROUP = 50


def holders(workspace: str, names: Iterable[str]) -> list[str]:
    """Returns the names of the routers that draw for a workspace.

    Rendezvous hashing (Thaler and Ravishankar, 1998) replaces at most one
    holder of a workspace when a router joins or leaves.

    Args:
      workspace: Workspace that pays.
      names: Names of the routers that are alive.
    """
    candidates = list(names)
    groups = max(1, len(candidates) // _ROUTERS_PER_GROUP)
    group = _hash(workspace) % groups
    ranked = sorted(candidates, key=lambda n: _hash(f"{group}/{n}"))
    return ranked[: holder_count(len(candidates))]


def holder_count(routers: int) -> int:
    """Returns how many routers of a fleet draw for each workspace."""
    if has_borrowers(routers):
        return HOLDERS_IN_LARGE_FLEET
    return max(1, routers)


def has_borrowers(routers: int) -> bool:
    """Returns whether a fleet has routers that don't draw for a workspace."""
    return routers > MAX_EQUAL_ROUTERS


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


class Holders:
    """Holders of all workspaces among the routers that are alive."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._names: frozenset[str] = frozenset()
        self._by_workspace: dict[str, list[str]] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Sets the names of the peers that are alive."""
        all_names = frozenset(names) | {self._own_name}
        if all_names != self._names:
            self._names = all_names
            self._by_workspace = {}

    def of(self, workspace: str) -> Sequence[str]:
        """Returns the names of the holders of a workspace."""
        selected = self._by_workspace.get(workspace)
        if selected is None:
            selected = holders(workspace, self._names | {self._own_name})
            self._by_workspace[workspace] = selected
        return selected

    def is_holder(self, workspace: str) -> bool:
        """Returns whether this router draws for a workspace."""
        return self._own_name in self.of(workspace)

    def of_any(self, workspaces: Iterable[str]) -> set[str]:
        """Returns the names of the holders of any of the workspaces.

        Args:
          workspaces: Workspaces to consider.
        """
        return set(itertools.chain.from_iterable(map(self.of, workspaces)))

    def other_holders(self, workspaces: Iterable[str]) -> set[str]:
        """Returns the other holders of the workspaces that this router holds.

        Args:
          workspaces: Workspaces to consider.
        """
        own = filter(self.is_holder, workspaces)
        return self.of_any(own) - {self._own_name}
