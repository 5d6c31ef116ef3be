"""Limit on the connections of callers.

Load pattern: clients that the operator doesn't control open very many
connections and send nothing, or only a part of a head.
"""

import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs

Conn = TypeVar("Conn")

# Connections that are looked at to find an idle one.
_MAX_LOOKS = 64
# Connections that the event loop accepts at once, as a share of descriptors. It
# sets them up in later iterations, so that several such groups exist.
_ACCEPT_SHARE = 1 / 16
_ACCEPT_GROUPS = 4
_MAX_ACCEPTS = 512
# Descriptors of the process itself, of the store, and of peers.
_OWN_SHARE = 1 / 8
# Memory that the objects and buffers of a connection may need.
_BYTES_PER_CONNECTION = 32 * 1024
# Idle connections need less memory; this many are kept on any VM.
_MIN_BY_MEMORY = 256


@attrs.frozen
class ConnectionConfig:
    """Numbers of connections.

    Attributes:
      total: Connections of callers.
      accepts: Connections that are accepted at once.
    """

    total: int
    accepts: int


def make_config(max_fds: int, uncounted_bytes: float) -> ConnectionConfig:
    """Returns the limits of a process.

    Half of the descriptors that are left are for connections to servers.

    Args:
      max_fds: Descriptors of the process.
      uncounted_bytes: Memory for what the budget of bytes doesn't count.
    """
    accepts = max(1, min(_MAX_ACCEPTS, int(max_fds * _ACCEPT_SHARE)))
    left = max_fds * (1 - _OWN_SHARE) - _ACCEPT_GROUPS * accepts
    by_memory = max(_MIN_BY_MEMORY, uncounted_bytes / _BYTES_PER_CONNECTION)
    return ConnectionConfig(
        total=max(8, int(min(left / 2, by_memory))), accepts=accepts
    )


class ConnectionLimit(Generic[Conn]):
    """Decides which connection is closed if there are too many."""

    def __init__(
        self, cfg: ConnectionConfig, is_idle: Callable[[Conn], bool]
    ) -> None:
        """Creates a limit without connections.

        Args:
          cfg: Numbers of connections.
          is_idle: Returns whether no request of a connection is in progress.
        """
        self._cfg = cfg
        self._is_idle = is_idle
        # In the order of their latest bytes.
        self._open: collections.OrderedDict[Conn, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._open)

    def on_opened(self, conn: Conn) -> Conn | None:
        """Records a new connection.

        Returns:
          The connection to close, and which counts no more: the longest idle
          one, or the new one if there is none; None within the limit.
        """
        victim = None
        if len(self._open) >= self._cfg.total:
            victim = self._find_idle()
            if victim is None:
                return conn
            del self._open[victim]
        self._open[conn] = None
        return victim

    def on_bytes(self, conn: Conn) -> None:
        """Records that bytes of a connection have arrived."""
        if conn in self._open:
            self._open.move_to_end(conn)

    def on_closed(self, conn: Conn) -> None:
        """Records the end of a connection."""
        self._open.pop(conn, None)

    def _find_idle(self) -> Conn | None:
        for _ in range(min(_MAX_LOOKS, len(self._open))):
            conn = next(iter(self._open))
            if self._is_idle(conn):
                return conn
            # The next look is spared the connections that are in use.
            self._open.move_to_end(conn)
        return None
