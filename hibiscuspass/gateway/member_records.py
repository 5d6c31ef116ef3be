"""Decodes the records that routers write to the store."""

from collections.abc import Iterable

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import store_record

_log = structlog.get_logger(__name__)


def decode(
    items: Iterable[kv_store.KeyValue],
) -> dict[incarnation.Incarnation, store_record.RouterRecord]:
    """Returns the newest record of each router name, by process.

    Unreadable records are logged and skipped.
    """
    newest: dict[
        str, tuple[incarnation.Incarnation, store_record.RouterRecord]
    ] = {}
    for item in sorted(items, key=lambda i: i.revision):
        try:
            record = store_record.decode_router(item.value)
            process = store_record.parse_router_key(item.key)
        except (msgspec.MsgspecError, ValueError) as exc:
            _log.warning(
                "unreadable router record", key=item.key, error=str(exc)
            )
            continue
        newest[process.name] = (process, record)
    return dict(newest.values())
