"""Configuration source for callers that can't wait for a load."""

import asyncio

from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import config_runtime
from hibiscuspass.router import config_source


class LoadingConfig(config_source.ConfigSource):
    """Loads a workspace in the background when it is first looked up.

    The budget node looks workspaces up synchronously when a peer asks for a
    permit, often before this router has served the workspace itself. The
    first such request is refused; later ones find the loaded workspace.
    """

    def __init__(self, config: config_runtime.ConfigRuntime) -> None:
        self._config = config
        self._loads: dict[str, asyncio.Task[object]] = {}

    def workspace(self, name: str) -> workspace_lib.Workspace | None:
        """Returns a loaded workspace's configuration.

        If the workspace is not loaded, returns None and starts to load it.
        """
        found = self._config.workspace(name)
        if found is None and name not in self._loads:
            task = asyncio.create_task(self._load(name))
            self._loads[name] = task
        return found

    def workspace_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | None:
        """Returns the loaded workspace that an access key belongs to."""
        return self._config.workspace_by_key_id(key_id)

    def revision(self, name: str) -> int:
        """Returns the current revision, 0 if the workspace isn't loaded."""
        return self._config.revision(name)

    async def close(self) -> None:
        """Cancels all loads."""
        tasks = list(self._loads.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _load(self, name: str) -> None:
        try:
            await self._config.load(name)
        finally:
            del self._loads[name]
