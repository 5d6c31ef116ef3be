"""Settings of admission control."""

import attrs


@attrs.frozen
class AdmissionConfig:
    """Limits of one router.

    Attributes:
      max_running: Most admitted requests at once, over all workspaces.
      max_queued: Most queued requests at once, over all workspaces.
      max_queued_per_workspace: Most queued requests of one workspace.
    """

    max_running: int = 512
    max_queued: int = 1024
    max_queued_per_workspace: int = 256
