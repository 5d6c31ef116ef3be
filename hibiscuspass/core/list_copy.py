"""Messages by which routers copy a list of entries from each other."""

import attrs


@attrs.frozen
class AskEntries:
    """Asks for the entries below a prefix.

    Attributes:
      prefix: Prefix of the keys.
      revision: Change that the sender of the reply must have read.
      known: Newest change that the sender of the request has read; 0 to ask for
        the whole list.
    """

    prefix: str
    revision: int
    known: int


@attrs.frozen
class EntriesCopy:
    """Answers an `AskEntries` message.

    Attributes:
      revision: Newest change below the prefix that the sender has read; 0 if it
        has not read the one that was asked for.
      era: Era of the store; None if it names none.
      data: Changed entries, each with key, value and revision, as msgpack that
        is compressed with zlib.
      removed: Keys of entries that were removed.
      digest: Digest of the keys and revisions of the whole list.
      is_whole: Whether `data` has the whole list.
    """

    revision: int
    era: int | None = None
    data: bytes = b""
    removed: list[str] = attrs.Factory(list)
    digest: bytes = b""
    is_whole: bool = False
