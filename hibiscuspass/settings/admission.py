"""Admission control of a router."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class AdmissionSettings:
    """Limits of one router.

    Attributes:
      max_concurrency: Requests in progress.
      max_queue: Requests that wait.
      max_queue_per_workspace: Waiting requests of one workspace.
      max_per_backend: Requests in progress on one backend server.
    """

    max_concurrency: int = attrs.field(
        default=1024, validator=checks.in_range(1, 1_000_000)
    )
    max_queue: int = attrs.field(
        default=2048, validator=checks.in_range(0, 1_000_000)
    )
    max_queue_per_workspace: int = attrs.field(
        default=256, validator=checks.in_range(0, 1_000_000)
    )
    max_per_backend: int = attrs.field(
        default=64, validator=checks.in_range(1, 100_000)
    )
