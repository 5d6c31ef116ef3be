"""Choice of the routers that draw the tokens of a workspace.

In a large fleet each router sees only few requests of a workspace. If all
routers drew tokens, most requests would need a write to the store, and most
tokens would be held by routers that don't need them. Therefore only a few
routers per workspace, its holders, draw tokens, and the others borrow from
them.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

# In a fleet of up to this size, every router draws for all workspaces.
MAX_HOLDERS = 10


def holders(workspace: str, names: Iterable[str]) -> list[str]:
    """Returns the names of the routers that draw for a workspace.

    Rendezvous hashing (Thaler and Ravishankar, 1998) replaces at most one
    holder of a workspace when a router joins or leaves.

    Args:
      workspace: Workspace that pays.
      names: Names of the routers that are alive.
    """
    ranked = sorted(
        names, key=lambda n: xxhash.xxh64_intdigest(f"{workspace}/{n}".encode())
    )
    return ranked[:MAX_HOLDERS]


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

    @property
    def sharers(self) -> int:
        """Number of routers that draw for each workspace."""
        return max(1, min(len(self._names), MAX_HOLDERS))
