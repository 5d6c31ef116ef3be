"""What the request path needs from the configuration subsystem."""

import abc

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

    @abc.abstractmethod
    def revision(self, name: str) -> int:
        """Returns the revision in force for a workspace, 0 if none."""
