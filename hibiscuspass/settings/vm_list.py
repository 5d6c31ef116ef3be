"""The platform's list of VMs."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class VmListSettings:
    """How the VM list is read.

    Attributes:
      address: Base address.
      adapter: Protocol adapter.
      poll_interval_s: Seconds between two reads.
      timeout_s: Time limit of one read in seconds.
    """

    address: str = attrs.field(validator=checks.is_url())
    adapter: str = attrs.field(default="http", validator=checks.one_of("http"))
    # A leaving backend server may receive new work for 3 s at most.
    poll_interval_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.05, 60)
    )
    timeout_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 60)
    )
