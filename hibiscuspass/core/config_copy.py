"""Messages by which routers copy the operator configuration from each other."""

import attrs


@attrs.frozen
class AskOperatorConfig:
    """Asks for the configuration.

    Attributes:
      revision: Change that the sender of the reply must have read.
      base: Digest of the newest value that the sender of the request has read;
        empty if it has none, or wants the whole value.
    """

    revision: int
    base: bytes = b""


@attrs.frozen
class OperatorConfigCopy:
    """Answers an `AskOperatorConfig` message.

    Attributes:
      revision: Newest change below the prefix of the configuration that the
        sender has read; 0 if it has not read the one that was asked for.
      value_revision: Revision of the configuration.
      data: Value of the configuration, compressed with zlib; with `base`, the
        data of its difference from an earlier value.
      evacuated: Failure domains that are evacuated; None from an earlier
        version of the program, which doesn't follow evacuations.
      base: Digest of the earlier value; empty for a whole value.
      digest: Digest of the value; empty for a whole value.
    """

    revision: int
    value_revision: int
    data: bytes
    evacuated: list[str] | None = None
    base: bytes = b""
    digest: bytes = b""
