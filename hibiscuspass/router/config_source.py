"""Interface of the configuration subsystem for the request path."""

import abc

from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib


class ConfigSource(abc.ABC):
    """Provides the configurations of workspaces in this process."""

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
        """Returns the workspace of an access key, loading it if necessary.

        Returns:
          The workspace, None if the key doesn't exist, or a refusal if the
          workspace could not be read.
        """
        return self.workspace_by_key_id(key_id)

    @abc.abstractmethod
    def revision(self, name: str) -> int:
        """Returns the current revision of a workspace, 0 if there is none."""
