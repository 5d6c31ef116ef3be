"""Settings of the client of the platform's weight store."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class WeightStoreSettings:
    """Address and protocol of the weight store.

    Attributes:
      address: Base address.
      adapter: Name of the protocol adapter.
      timeout_s: Time limit of one call in seconds.
    """

    address: str = attrs.field(validator=checks.is_url())
    adapter: str = attrs.field(default="http", validator=checks.one_of("http"))
    timeout_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.01, 60)
    )
