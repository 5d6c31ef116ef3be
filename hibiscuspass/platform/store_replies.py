"""Decodes the replies of the platform's metadata store.

Source: the platform's protocol page, "The platform's metadata store". The
functions raise one of `DECODE_ERRORS` if a reply is not what its call returns.
"""

import base64
from collections.abc import Mapping
import http
import re
from typing import Any

import attrs
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_log = structlog.get_logger(__name__)

# Rises by one each time the store is restored from a copy.
ERA_HEADER = "Store-Era"
_ERA = re.compile(r"[0-9]{1,18}", re.ASCII)

DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@attrs.frozen
class Page:
    """A part of the entries below a prefix.

    Attributes:
      entries: Entries in the order of their keys.
      revision: Revision of the store.
      has_more: Whether other pages follow.
    """

    entries: list[kv_store.KeyValue]
    revision: int
    has_more: bool


def decode_era(headers: Mapping[str, str]) -> int | None:
    """Returns the era of an answer; None if it names none or no number."""
    text = headers.get(ERA_HEADER)
    if text is None:
        return None
    if not _ERA.fullmatch(text):
        _log.warning("unreadable era of the store", value=text[:40])
        return None
    return int(text)


def decode_found(
    status: int, body: Any
) -> kv_store.ReadResult | refusal.Refusal:
    """Decodes the reply to a read of one key."""
    if status == http.HTTPStatus.NOT_FOUND:
        return kv_store.ReadResult((), int(body.get("current_rev", 0)))
    if status != http.HTTPStatus.OK:
        return _unexpected("kv-key", status)
    return kv_store.ReadResult((_decode_item(body),), int(body["current_rev"]))


def decode_page(status: int, body: Any) -> Page | refusal.Refusal:
    """Decodes a page of the entries below a prefix."""
    if status != http.HTTPStatus.OK:
        return _unexpected("kv-range", status)
    return Page(
        [_decode_item(i) for i in body["items"]],
        int(body["current_rev"]),
        bool(body.get("more_pages")),
    )


def decode_changes(
    after: int, status: int, body: Any
) -> txn_store.PollResult | refusal.Refusal:
    """Decodes the reply to a poll after a revision."""
    if status == http.HTTPStatus.GONE:
        # The store has discarded this part of its history.
        return refusal.Refusal(
            reason_lib.Reason.STALE, f"history after {after} is gone"
        )
    if status != http.HTTPStatus.OK:
        return _unexpected("kv-watch", status)
    events = tuple(map(_decode_event, body.get("events", ())))
    return txn_store.PollResult(events, int(body["current_rev"]))


def decode_outcome(
    lease: txn_store.Lease | None, status: int, body: Any
) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
    """Decodes the outcome of a transaction."""
    if status == http.HTTPStatus.OK:
        return txn_store.Committed(int(body["revision"]))
    if status == http.HTTPStatus.PRECONDITION_FAILED:
        items = [
            _decode_item(i) for i in body.get("items", ()) if i.get("revision")
        ]
        return txn_store.Conflict({i.key: i for i in items})
    if status == http.HTTPStatus.NOT_FOUND and lease:
        return _lease_ended(lease)
    return _unexpected("kv-txn", status)


def decode_lease(status: int, body: Any) -> txn_store.Lease | refusal.Refusal:
    """Decodes a new lease."""
    if status != http.HTTPStatus.OK:
        return _unexpected("kv-lease", status)
    return txn_store.Lease(int(body["lease"]), float(body["ttl_ms"]) / 1000)


def decode_renewal(
    lease: txn_store.Lease, status: int, _: Any
) -> txn_store.Lease | refusal.Refusal:
    """Decodes the outcome of the renewal of a lease."""
    if status == http.HTTPStatus.NOT_FOUND:
        return _lease_ended(lease)
    if status != http.HTTPStatus.OK:
        return _unexpected("kv-keep", status)
    return lease


def _lease_ended(lease: txn_store.Lease) -> refusal.Refusal:
    return refusal.Refusal(
        reason_lib.Reason.STALE, f"lease {lease.lease_id} has ended"
    )


def _unexpected(call: str, status: int) -> refusal.Refusal:
    _log.warning("unexpected status from the store", call=call, status=status)
    return refusal.Refusal(
        reason_lib.Reason.TIMEOUT, f"{call}: status {status}"
    )


def _decode_item(data: Mapping[str, Any]) -> kv_store.KeyValue:
    value = data.get("value") or ""
    return kv_store.KeyValue(
        str(data["key"]), base64.b64decode(value), int(data["revision"])
    )


def _decode_event(data: Mapping[str, Any]) -> kv_store.WatchEvent:
    if data.get("tombstone"):
        return kv_store.WatchEvent(
            str(data["key"]), None, int(data["revision"])
        )
    item = _decode_item(data)
    return kv_store.WatchEvent(item.key, item.value, item.revision)
