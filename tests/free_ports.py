"""Ports for programs that tests start on loopback.

A port that the kernel selects may be given to another test process between its
selection and its use. Therefore each test process claims a range of its own,
below those of the kernel, by listening on the first port of the range.
"""

from collections.abc import Iterator
import contextlib
import functools
import itertools
import socket

_FIRST_PORT = 20_000
_PORTS_PER_RANGE = 500
_RANGES = 24


def free_port(*, adjacent: int = 1) -> int:
    """Returns the first of several adjacent ports that are free.

    Args:
      adjacent: Number of ports.

    Raises:
      OSError: Other processes have claimed all ranges.
    """
    ports = _claimed_ports()
    while True:
        port = next(ports)
        if all(_is_free(port + n) for n in range(adjacent)):
            # The other ports are not returned by the next call.
            for _ in range(adjacent - 1):
                next(ports)
            return port


@functools.cache
def _claim_range() -> tuple[socket.socket, int]:
    """Returns a socket that holds a range, and the first port of the range."""
    for number in range(_RANGES):
        first = _FIRST_PORT + number * _PORTS_PER_RANGE
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, first
    raise OSError("no range of ports is free")


@functools.cache
def _claimed_ports() -> Iterator[int]:
    _, first = _claim_range()
    return itertools.cycle(range(first + 1, first + _PORTS_PER_RANGE))


def _is_free(port: int) -> bool:
    with contextlib.suppress(OSError), socket.socket() as sock:
        sock.bind(("127.0.0.1", port))
        return True
    return False
