"""Settings of the client of the platform's list of VMs."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class VmListSettings:
    """Address, protocol and poll interval of the VM list.

    Attributes:
      address: Base address.
      adapter: Name of the protocol adapter.
      poll_interval_s: Interval between reads, in seconds.
      timeout_s: Time limit of one read in seconds.
    """

    address: str = attrs.field(validator=checks.is_url())
    adapter: str = attrs.field(default="http", validator=checks.one_of("http"))
    # A backend server that leaves must receive no new requests after 3 s.
    poll_interval_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.05, 60)
    )
    timeout_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 60)
    )
