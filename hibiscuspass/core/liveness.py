"""Messages by which routers know which of them are alive."""

import attrs


@attrs.frozen
class Alive:
    """Tells that the sender runs.

    Attributes:
      address: `host:port` of its peer link.
    """

    address: str
