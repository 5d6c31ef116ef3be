"""Settings of the links between processes of the fleet."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class PeerLinkSettings:
    """Peer link of one process.

    Attributes:
      address: `host:port` to which other processes connect.
      fleet_key_file: File with the fleet key; see `secrets.read_fleet_key`.
    """

    address: str = attrs.field(validator=checks.is_address())
    fleet_key_file: str = attrs.field(validator=checks.is_text())
