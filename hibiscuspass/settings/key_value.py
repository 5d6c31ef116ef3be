"""Settings of the client of the platform's key-value service."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class KeyValueSettings:
    """Address, protocol and rate limit of the key-value service.

    Attributes:
      adapter: Name of the protocol adapter.
      address: Base address, for example `http://10.0.0.5:2379`.
      timeout_s: Time limit of one call in seconds.
      calls_per_s: Maximum average number of calls per second by this process.
      burst: Number of calls that may be sent at once after an idle period.
    """

    address: str = attrs.field(validator=checks.is_url())
    adapter: str = attrs.field(default="etcd", validator=checks.one_of("etcd"))
    timeout_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 60)
    )
    # The service handles about 2,000 reads per second in total, which 390
    # processes share.
    calls_per_s: float = attrs.field(
        default=20.0, validator=checks.in_range(0.1, 10_000)
    )
    burst: int = attrs.field(default=40, validator=checks.in_range(1, 10_000))
