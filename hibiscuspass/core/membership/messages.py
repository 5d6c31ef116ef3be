"""Membership messages exchanged between routers."""

import enum

import attrs

from hibiscuspass.core import incarnation


class MarkSource(enum.Enum):
    """Source of a leaving mark; a source clears only its own marks.

    `LIST` is the platform's VM list, `OBSERVED` are load reports and refusals
    seen on the request path.
    """

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
    """State of one router as routers share it.

    Attributes:
      incarnation: Its name and start id.
      peer_address: `host:port` of its peer link.
      failure_domain: Its failure domain.
      region: Its region.
      started_ms: Unix time of its start in milliseconds, by its own clock. Used
        to order two incarnations until one of them replies to a heartbeat.
      counter: Number of heartbeat rounds since its start.
      leaving: Whether it is stopping; never reset.
      suspected: Whether a router suspected it at this counter.
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
      sender: The sender's record of itself.
      marks_digest: Digest of the sender's marks; different digests cause an
        exchange of all marks.
      marks: Recently changed marks, or all of them.
      members: Records of some routers that the sender knows.
      gone: Incarnations that were replaced by newer ones.
      first_contact: Whether the sender asks for the records of all routers.
    """

    sender: MemberRecord
    marks_digest: int
    marks: tuple[BackendMark, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    gone: tuple[incarnation.Incarnation, ...] = ()
    first_contact: bool = False
