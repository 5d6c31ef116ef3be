"""Plain services."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ServiceSettings:
    """One plain service.

    Attributes:
      name: Name that callers use in the path.
      call_cost: Budget units per call; a free call needs no permit.
      timeout_s: Time limit of one call in seconds.
    """

    name: str = attrs.field(validator=checks.is_name())
    call_cost: int = attrs.field(
        default=0, validator=checks.in_range(0, 1_000_000_000)
    )
    timeout_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.01, 3600)
    )
