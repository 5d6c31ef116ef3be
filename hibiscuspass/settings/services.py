"""Settings of plain services."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ServiceSettings:
    """Name, price and time limit of one plain service.

    Attributes:
      name: Name that callers use in the request path.
      call_cost: Budget units per call; calls that cost nothing need no permit.
      timeout_s: Time limit of one call in seconds.
    """

    name: str = attrs.field(validator=checks.is_name())
    call_cost: int = attrs.field(
        default=0, validator=checks.in_range(0, 1_000_000_000)
    )
    timeout_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.01, 3600)
    )
