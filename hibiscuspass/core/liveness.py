"""Message by which gateways announce that they are running."""

import attrs


@attrs.frozen
class Alive:
    """Announces that the sender is running.

    Attributes:
      address: `host:port` of the sender's peer link.
      revisions: Prefixes of keys for which the store has just answered the
        sender, with the revision of the newest change that it has read.
      era: Newest era of the store that the sender knows; None without eras.
    """

    address: str
    revisions: dict[str, int] = attrs.field(factory=dict)
    era: int | None = None
