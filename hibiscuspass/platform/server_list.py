"""Decodes the entries that backend servers write to the store.

Source: the platform's protocol page, "Service discovery".
"""

import ipaddress
from typing import Annotated

import msgspec

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend as backend_lib

PREFIX = "servers/"

_STATES = {
    "ready": backend_lib.BackendState.READY,
    "draining": backend_lib.BackendState.DRAINING,
}

# Larger numbers are no slots and no times.
_MAX_SLOTS = 1_000_000
_MAX_MS = (1 << 63) - 1
# No server stays cold for longer than a day.
_MAX_COLD_MS = 86_400_000


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)] = 1
    # Start of the server in Unix milliseconds. Only this field tells a restart
    # under the same id from the earlier server.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_MS)] = 0


class _ColdEntry(msgspec.Struct):
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)] = 0.0


_DECODER = msgspec.json.Decoder(_Entry)
# Separate, so that an unreadable time doesn't make the server unusable.
_COLD_DECODER = msgspec.json.Decoder(_ColdEntry)


def decode(key: str, data: bytes) -> backend_lib.Backend | None:
    """Decodes an entry; returns None if it describes no usable backend server.

    Args:
      key: Key in the store; the part after the prefix is the server's id.
      data: Value in the store.
    """
    try:
        entry = _DECODER.decode(data)
        state = _STATES[entry.state]
        _check_address(entry.address)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError):
        # Deeply nested data exceeds the recursion limit of the decoder.
        return None
    return backend_lib.Backend(
        backend_id=key.removeprefix(PREFIX),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        state=state,
        started_ms=entry.born,
    )


def decode_cold_left_s(data: bytes) -> float | refusal.Refusal:
    """Decodes for how long a server stays cold, in seconds.

    Args:
      data: Value of an entry that describes a usable server.

    Returns:
      The time, 0 if the entry names none, or a refusal with `INVALID_REQUEST`
      that names the field.
    """
    try:
        return _COLD_DECODER.decode(data).cold_left_ms / 1000
    except (msgspec.MsgspecError, RecursionError) as exc:
        return refusal.Refusal(
            reason_lib.Reason.INVALID_REQUEST, f"cold_left_ms: {exc}"
        )


def _check_address(address: str) -> None:
    """Checks an IPv4 address with a port.

    Raises:
      ValueError: The address is invalid.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) < 1 << 16:
        raise ValueError(f"port {port[:20]!r}")
