"""TCP sockets that detect an unresponsive peer."""

import fcntl
import socket
import struct
import termios
from typing import Any

# The kernel closes a connection after about 3 s without an acknowledgement.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 3000


def make_socket(addr_info: tuple[Any, ...]) -> socket.socket:
    """Creates a non-blocking TCP socket with keepalive probes.

    Args:
      addr_info: Entry of the list that `socket.getaddrinfo` returns.
    """
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setblocking(False)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
    return sock


def has_error(sock: socket.socket) -> bool:
    """Returns whether the connection has failed, and clears the error.

    A reset that follows the end of the peer's side is not reported by a read.
    """
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the number of written bytes that the peer's host has not got."""
    size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", size)[0])
