"""The configuration that a router has loaded; free of I/O."""

import collections
import enum

import attrs

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import record as record_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import structure

# Floors are a name and a number, far smaller than a loaded workspace.
_FLOORS_PER_WORKSPACE = 8
# Names that don't exist come from callers with wrong keys; they must not
# displace workspaces in use.
_MAX_ABSENT_SHARE = 1 / 8


class Applied(enum.Enum):
    """Effect of an entry on the table."""

    # The entry is in force now.
    CHANGED = "changed"
    # The workspace is not loaded; only its floor has risen.
    FLOOR_RAISED = "floor_raised"
    # The same or a later revision is known.
    NOT_NEWER = "known"
    # The value can't be parsed; what was in force stays in force.
    MALFORMED = "malformed"


@attrs.frozen
class LoadedWorkspace:
    """A workspace in the table.

    Attributes:
      entry: The entry in force.
      workspace: Its parsed configuration; None if there is no such workspace.
    """

    entry: entry_lib.ConfigEntry
    workspace: workspace_lib.Workspace | None


class ConfigTable:
    """Keeps the newest known revision of the workspaces in use.

    Memory is bounded: the least recently used workspace is dropped first. The
    table remembers the dropped revision as the workspace's floor, below which
    nothing is applied again. If there are too many floors, the oldest ones
    merge into one common floor, which is higher and therefore still safe.
    """

    def __init__(self, max_workspaces: int) -> None:
        self._max_workspaces = max_workspaces
        self._max_absent = max(1, int(max_workspaces * _MAX_ABSENT_SHARE))
        self._max_floors = max_workspaces * _FLOORS_PER_WORKSPACE
        self._loaded: collections.OrderedDict[str, LoadedWorkspace] = (
            collections.OrderedDict()
        )
        self._floors: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._common_floor = 0
        # Names in `_loaded` without a workspace, oldest first.
        self._absent_names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def get(self, name: str) -> LoadedWorkspace | None:
        """Returns a loaded workspace and marks it as used."""
        found = self._loaded.get(name)
        if found is not None:
            self._loaded.move_to_end(name)
        return found

    def revision(self, name: str) -> int:
        """Returns the revision in force, 0 if the workspace isn't loaded."""
        found = self._loaded.get(name)
        return 0 if found is None else found.entry.revision

    def floor(self, name: str) -> int:
        """Returns the lowest revision that may be served from now on."""
        found = self._loaded.get(name)
        if found is not None:
            return found.entry.revision
        return self._floors.get(name, self._common_floor)

    def names(self) -> tuple[str, ...]:
        """Returns the loaded workspaces, least recently used first."""
        return tuple(self._loaded)

    def snapshot(
        self, names: tuple[str, ...]
    ) -> tuple[entry_lib.ConfigEntry, ...]:
        """Returns the loaded ones among the named workspaces, for peers."""
        return tuple(self._loaded[n].entry for n in names if n in self._loaded)

    def apply_announced(self, entry: entry_lib.ConfigEntry) -> Applied:
        """Takes in a change.

        A workspace that is not loaded stays so, since most workspaces are
        never used on a given router.
        """
        if entry.name in self._loaded:
            return self._replace(entry)
        if entry.revision <= self.floor(entry.name):
            return Applied.NOT_NEWER
        self._raise_floor(entry.name, entry.revision)
        return Applied.FLOOR_RAISED

    def apply_read(
        self, entry: entry_lib.ConfigEntry, as_of: int = 0
    ) -> Applied:
        """Takes in the answer to a read of a workspace in use.

        Args:
          entry: What was read.
          as_of: Store revision at which the entry is the newest; 0 if unknown.
        """
        if entry.name in self._loaded:
            return self._replace(entry)
        if max(entry.revision, as_of) < self.floor(entry.name):
            return Applied.NOT_NEWER
        return self._replace(entry)

    def drop_all(self) -> None:
        """Drops all workspaces; each is read again when it is used."""
        for name in tuple(self._loaded):
            self._drop(name)

    def _is_newer(self, entry: entry_lib.ConfigEntry) -> bool:
        return entry.revision > self.revision(entry.name)

    def _replace(self, entry: entry_lib.ConfigEntry) -> Applied:
        known = entry.name in self._loaded
        if known and not self._is_newer(entry):
            return Applied.NOT_NEWER
        parsed = None if entry.raw is None else record_lib.decode(entry.raw)
        if isinstance(parsed, tuple):
            return Applied.MALFORMED
        was_absent = known and self._loaded[entry.name].entry.raw is None
        self._loaded[entry.name] = LoadedWorkspace(
            entry, None if parsed is None else parsed.workspace
        )
        self._loaded.move_to_end(entry.name)
        self._floors.pop(entry.name, None)
        self._absent_names.pop(entry.name, None)
        if entry.raw is None:
            self._absent_names[entry.name] = None
        self._enforce_limits()
        # Each read that finds nothing has another revision, but tells nothing.
        still_absent = was_absent and entry.raw is None
        return Applied.NOT_NEWER if still_absent else Applied.CHANGED

    def _enforce_limits(self) -> None:
        while len(self._absent_names) > self._max_absent:
            self._drop(next(iter(self._absent_names)))
        while len(self._loaded) > self._max_workspaces:
            self._drop(next(iter(self._loaded)))

    def _drop(self, name: str) -> None:
        dropped = self._loaded.pop(name)
        self._absent_names.pop(name, None)
        self._raise_floor(name, dropped.entry.revision)

    def _raise_floor(self, name: str, revision: int) -> None:
        self._floors[name] = max(revision, self.floor(name))
        self._floors.move_to_end(name)
        while len(self._floors) > self._max_floors:
            _, oldest = self._floors.popitem(last=False)
            self._common_floor = max(self._common_floor, oldest)


def problems(entry: entry_lib.ConfigEntry) -> tuple[structure.Problem, ...]:
    """Returns why an entry is malformed, for the log."""
    parsed = () if entry.raw is None else record_lib.decode(entry.raw)
    return parsed if isinstance(parsed, tuple) else ()
