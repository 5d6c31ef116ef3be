"""Settings of a router's admission control."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class AdmissionSettings:
    """Admission limits of one router.

    Attributes:
      max_concurrency: Maximum number of requests in progress.
      max_queue: Maximum number of queued requests.
      max_queue_per_workspace: Maximum number of queued requests of one
        workspace.
      max_per_backend: Maximum number of requests in progress on one backend
        server.
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
