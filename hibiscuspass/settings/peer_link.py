"""Links between the system's own processes."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class PeerLinkSettings:
    """The process's own peer link.

    Attributes:
      address: `host:port` that other processes connect to.
      fleet_key_file: File with the fleet key; see `secrets.read_fleet_key`.
    """

    address: str = attrs.field(validator=checks.is_address())
    fleet_key_file: str = attrs.field(validator=checks.is_text())
