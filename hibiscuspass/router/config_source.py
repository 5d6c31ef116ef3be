"""What the request path needs from the configuration subsystem."""

import abc

from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib


class ConfigSource(abc.ABC):
    """Configuration in force on this process."""

    @abc.abstractmethod
    def workspace(self, name: str) -> workspace_lib.Workspace | None:
        """Returns a workspace's configuration, None if there is none."""

    @abc.abstractmethod
    def workspace_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | None:
        """Returns the workspace that an access key belongs to."""

    async def load_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | refusal.Refusal | None:
        """Like `workspace_by_key_id`, reading what is not loaded yet.

        Returns a refusal if it can't be told whether the key exists.
        """
        return self.workspace_by_key_id(key_id)

    @abc.abstractmethod
    def revision(self, name: str) -> int:
        """Returns the revision in force for a workspace, 0 if none."""
