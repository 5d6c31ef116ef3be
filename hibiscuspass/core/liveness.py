"""Message by which gateways announce that they are running."""

import attrs


@attrs.frozen
class Alive:
    """Announces that the sender is running.

    Attributes:
      address: `host:port` of the sender's peer link.
      revisions: Revision of the newest change that the sender has read, by
        prefix of the keys that it follows.
    """

    address: str
    revisions: dict[str, int] = attrs.field(factory=dict)
