"""Message by which gateways announce that they are running."""

import attrs


@attrs.frozen
class Alive:
    """Announces that the sender is running.

    Attributes:
      address: `host:port` of the sender's peer link.
    """

    address: str
