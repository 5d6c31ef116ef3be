"""Which routers hold the drawn tokens of a workspace.

Load pattern: many routers see few requests each of many workspaces. If each of
them drew for itself, most requests would need a write to the store and most
tokens would lie where no request comes. In a large fleet, a few routers per
workspace draw, and the others borrow from them.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

# A fleet of up to this size has no need for it.
MAX_HOLDERS = 10


def holders(workspace: str, names: Iterable[str]) -> list[str]:
    """Returns the names of the routers that draw for a workspace.

    Rendezvous hashing (Thaler and Ravishankar, 1998) keeps the others in place
    when a router comes or goes.

    Args:
      workspace: Workspace that pays.
      names: Names of the routers that are alive.
    """
    ranked = sorted(
        names, key=lambda n: xxhash.xxh64_intdigest(f"{workspace}/{n}".encode())
    )
    return ranked[:MAX_HOLDERS]


class Holders:
    """The holders of all workspaces, for one set of routers at a time."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._names: frozenset[str] = frozenset()
        self._by_workspace: dict[str, list[str]] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Sets the names of the peers that are alive."""
        known = frozenset(names) | {self._own_name}
        if known != self._names:
            self._names = known
            self._by_workspace = {}

    def of(self, workspace: str) -> Sequence[str]:
        """Returns the names of the holders of a workspace."""
        found = self._by_workspace.get(workspace)
        if found is None:
            found = holders(workspace, self._names | {self._own_name})
            self._by_workspace[workspace] = found
        return found

    def is_holder(self, workspace: str) -> bool:
        """Returns whether this router holds tokens of a workspace."""
        return self._own_name in self.of(workspace)

    @property
    def sharers(self) -> int:
        """Number of routers that share the tokens of a workspace."""
        return max(1, min(len(self._names), MAX_HOLDERS))
