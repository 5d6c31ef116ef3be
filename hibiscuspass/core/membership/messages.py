"""Messages between the membership subsystems of routers."""

import enum

import attrs

from hibiscuspass.core import incarnation


class MarkSource(enum.Enum):
    """Where a leaving mark comes from; each source clears only its own."""

    LIST = "list"
    OBSERVED = "observed"


@attrs.frozen
class BackendMark:
    """Whether a backend server is leaving, according to one source.

    Attributes:
      backend: Name of the backend server.
      source: Kind of evidence.
      version: Larger versions replace smaller ones.
      leaving: Whether it must get no new work.
    """

    backend: str
    source: MarkSource
    version: int
    leaving: bool


@attrs.frozen
class MemberRecord:
    """What is known about one router.

    Attributes:
      incarnation: Its name and start id.
      peer_address: `host:port` of its peer link.
      failure_domain: Its failure domain.
      region: Its region.
      started_ms: Unix time of its start in milliseconds, own clock. A hint for
        the order of two incarnations; a reply to an own heartbeat decides.
      counter: Number of heartbeat rounds since its start.
      leaving: Whether it is stopping; never reverts.
      suspected: Whether it was silent at this counter.
    """

    incarnation: incarnation.Incarnation
    peer_address: str
    failure_domain: str
    region: str
    started_ms: int = 0
    counter: int = 0
    leaving: bool = False
    suspected: bool = False


@attrs.frozen
class Heartbeat:
    """A heartbeat, and also the reply to one.

    Attributes:
      sender: The sender's own record.
      marks_digest: Digest of the sender's marks; different digests cause an
        exchange of all marks.
      marks: New marks, or all of them.
      members: Some of the routers that the sender knows.
      gone: Incarnations that were replaced by newer ones.
      first_contact: Whether the sender asks for everything that is known.
    """

    sender: MemberRecord
    marks_digest: int
    marks: tuple[BackendMark, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    gone: tuple[incarnation.Incarnation, ...] = ()
    first_contact: bool = False
