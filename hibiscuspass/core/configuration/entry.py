"""Configuration of one workspace at one revision."""

import attrs


@attrs.frozen
class ConfigEntry:
    """Configuration of one workspace as the store or a peer reports it.

    Attributes:
      name: Name of the workspace.
      raw: Stored form of its record; None if there is no such workspace.
      revision: Revision of the last change. For a workspace that a read did
        not find, the store revision at which it was absent.
    """

    name: str
    raw: bytes | None
    revision: int
