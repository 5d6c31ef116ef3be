"""The platform's key-value service."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class KeyValueSettings:
    """How the key-value service is reached.

    Attributes:
      adapter: Protocol adapter.
      address: Base address, for example `http://10.0.0.5:2379`.
      timeout_s: Time limit of one call in seconds.
      calls_per_s: Calls per second that this process sends at most.
      burst: Calls that may be sent at once after a quiet time.
    """

    address: str = attrs.field(validator=checks.is_url())
    adapter: str = attrs.field(default="etcd", validator=checks.one_of("etcd"))
    timeout_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 60)
    )
    # The service handles about 2,000 reads per second for the whole fleet;
    # 390 nodes must share them.
    calls_per_s: float = attrs.field(
        default=20.0, validator=checks.in_range(0.1, 10_000)
    )
    burst: int = attrs.field(default=40, validator=checks.in_range(1, 10_000))
