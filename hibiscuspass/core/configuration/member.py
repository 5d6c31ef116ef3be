"""Registration of a router in the key-value service."""

import json

import attrs

from hibiscuspass.settings import structure


@attrs.frozen
class Member:
    """Registration of one router, stored at `members/<incarnation>`.

    Attributes:
      address: `host:port` of the router's peer link.
      failure_domain: Failure domain of its VM.
      region: Region of its VM.
      listed: Whether the VM list has shown the VM since the registration.
        Only then does its absence from the list mean that the VM is gone.
    """

    address: str
    failure_domain: str
    region: str
    listed: bool = False


def encode(member: Member) -> bytes:
    """Returns the stored form."""
    return json.dumps(structure.unstructure(member), sort_keys=True).encode()


def decode(raw: bytes) -> Member | None:
    """Parses the stored form; None if it is malformed."""
    try:
        parsed = structure.structure(json.loads(raw), Member)
    except ValueError:
        return None
    return None if isinstance(parsed, tuple) else parsed
