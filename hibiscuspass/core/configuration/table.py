"""Table of the workspace configurations that a router has loaded.

The floor of a workspace is its lowest revision that may still be served.
"""

import collections
import enum

import attrs

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import record as record_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import structure

# A floor is a name and a number, far smaller than a loaded workspace.
_FLOORS_PER_WORKSPACE = 8
# Absent names come from callers with wrong keys; they must not displace
# workspaces in use.
_MAX_ABSENT_SHARE = 1 / 8


class Applied(enum.Enum):
    """Effect of an entry on the table."""

    # The entry is now the current one.
    CHANGED = "changed"
    # The workspace is not loaded; only its floor was raised.
    FLOOR_RAISED = "floor_raised"
    # The same or a later revision was already applied.
    NOT_NEWER = "known"
    # The value can't be parsed; the current entry is kept.
    MALFORMED = "malformed"


@attrs.frozen
class LoadedWorkspace:
    """A workspace in the table.

    Attributes:
      entry: The current entry.
      workspace: Its parsed configuration; None if there is no such workspace.
    """

    entry: entry_lib.ConfigEntry
    workspace: workspace_lib.Workspace | None


class ConfigTable:
    """Keeps the newest known revision of the workspaces in use.

    Memory is bounded: the least recently used workspace is dropped first. Its
    revision is kept as the floor of the workspace; nothing older than the floor
    is applied again. If there are too many floors, the oldest ones are merged
    into one common floor. It is their maximum and therefore still safe.
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
        # Names in `_loaded` for which no workspace exists, oldest first.
        self._absent_names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def get(self, name: str) -> LoadedWorkspace | None:
        """Returns a loaded workspace and marks it as recently used."""
        loaded = self._loaded.get(name)
        if loaded is not None:
            self._loaded.move_to_end(name)
        return loaded

    def revision(self, name: str) -> int:
        """Returns the current revision, 0 if the workspace is not loaded."""
        loaded = self._loaded.get(name)
        return 0 if loaded is None else loaded.entry.revision

    def floor(self, name: str) -> int:
        """Returns the lowest revision of a workspace that may be served."""
        loaded = self._loaded.get(name)
        if loaded is not None:
            return loaded.entry.revision
        return self._floors.get(name, self._common_floor)

    def names(self) -> tuple[str, ...]:
        """Returns the loaded workspaces, least recently used first."""
        return tuple(self._loaded)

    def snapshot(
        self, names: tuple[str, ...]
    ) -> tuple[entry_lib.ConfigEntry, ...]:
        """Returns the entries of those named workspaces that are loaded."""
        return tuple(self._loaded[n].entry for n in names if n in self._loaded)

    def apply_announced(self, entry: entry_lib.ConfigEntry) -> Applied:
        """Applies an announced change.

        If the workspace is not loaded, only its floor is raised, because most
        workspaces are never used on a given router.
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
        """Applies the result of reading a workspace that is in use.

        Args:
          entry: The entry that was read.
          as_of: Store revision at which the entry is the newest; 0 if unknown.
        """
        if entry.name in self._loaded:
            return self._replace(entry)
        if max(entry.revision, as_of) < self.floor(entry.name):
            return Applied.NOT_NEWER
        return self._replace(entry)

    def drop_all(self) -> None:
        """Drops all workspaces; each is read again at its next use."""
        for name in tuple(self._loaded):
            self._drop(name)

    def _is_newer(self, entry: entry_lib.ConfigEntry) -> bool:
        return entry.revision > self.revision(entry.name)

    def _replace(self, entry: entry_lib.ConfigEntry) -> Applied:
        was_loaded = entry.name in self._loaded
        if was_loaded and not self._is_newer(entry):
            return Applied.NOT_NEWER
        parsed = None if entry.raw is None else record_lib.decode(entry.raw)
        if isinstance(parsed, tuple):
            return Applied.MALFORMED
        was_absent = was_loaded and self._loaded[entry.name].entry.raw is None
        self._loaded[entry.name] = LoadedWorkspace(
            entry, None if parsed is None else parsed.workspace
        )
        self._loaded.move_to_end(entry.name)
        self._floors.pop(entry.name, None)
        self._absent_names.pop(entry.name, None)
        if entry.raw is None:
            self._absent_names[entry.name] = None
        self._enforce_limits()
        # Repeated reads of an absent workspace have rising revisions, but they
        # are no change.
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
    """Returns the reasons why an entry is malformed, for the log."""
    parsed = () if entry.raw is None else record_lib.decode(entry.raw)
    return parsed if isinstance(parsed, tuple) else ()
