"""Decodes the entries that backend servers write to the store.

Source: the platform's protocol page, "Service discovery".
"""

import msgspec

from hibiscuspass.core.forwarding import backend as backend_lib

PREFIX = "servers/"

_STATES = {
    "ready": backend_lib.BackendState.READY,
    "draining": backend_lib.BackendState.DRAINING,
}


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    # Start of the server in Unix milliseconds. Only this field tells a restart
    # under the same id from the earlier server.
    born: int = 0


_DECODER = msgspec.json.Decoder(_Entry)


def decode(key: str, data: bytes) -> backend_lib.Backend | None:
    """Decodes an entry; returns None if it describes no usable backend server.

    Args:
      key: Key in the store; the part after the prefix is the server's id.
      data: Value in the store.
    """
    try:
        entry = _DECODER.decode(data)
        state = _STATES[entry.state]
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 1 << 16:
            return None
    except (msgspec.MsgspecError, KeyError, ValueError):
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
