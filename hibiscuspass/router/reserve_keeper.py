"""Selects the workspaces that need a standing reserve of budget."""

from collections.abc import Callable
from collections.abc import Iterable

import reactivex

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.router import config_source


class ReserveKeeper:
    """Reports the loaded, enabled workspaces that have a reserve.

    Args:
      config: Source of the workspace configurations.
      changes: Observable of the changes of loaded workspaces.
      keep_reserves: Called with the complete list of workspaces with a reserve
        after each change of that list.
    """

    def __init__(
        self,
        config: config_source.ConfigSource,
        changes: reactivex.Observable[entry_lib.ConfigEntry],
        keep_reserves: Callable[[Iterable[str]], None],
    ) -> None:
        self._config = config
        self._keep_reserves = keep_reserves
        self._workspaces_with_reserve: set[str] = set()
        self._subscription = changes.subscribe(self._on_change)

    def close(self) -> None:
        """Unsubscribes from configuration changes."""
        self._subscription.dispose()

    def _on_change(self, entry: entry_lib.ConfigEntry) -> None:
        workspace = self._config.workspace(entry.name)
        has_reserve = (
            workspace is not None
            and workspace.enabled
            and workspace.reserve_per_failure_domain > 0
        )
        if has_reserve == (entry.name in self._workspaces_with_reserve):
            return
        if has_reserve:
            self._workspaces_with_reserve.add(entry.name)
        else:
            self._workspaces_with_reserve.discard(entry.name)
        self._keep_reserves(sorted(self._workspaces_with_reserve))
