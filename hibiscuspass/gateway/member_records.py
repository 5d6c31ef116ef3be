"""Peer addresses in the routers' ledger records."""

from collections.abc import Mapping

import msgspec
import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import store_record

_log = structlog.get_logger(__name__)


def decode(
    records: Mapping[str, bytes],
) -> dict[incarnation.Incarnation, str]:
    """Returns the peer address of each router's record.

    Args:
      records: Values of the store by key.
    """
    members: dict[incarnation.Incarnation, str] = {}
    for key, value in records.items():
        try:
            record = store_record.decode_router(value)
            members[store_record.process_of(key)] = record.address
        except (msgspec.MsgspecError, ValueError) as exc:
            _log.warning("unreadable router record", key=key, error=str(exc))
    return members
