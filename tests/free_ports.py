"""Ports for processes that tests start on loopback.

A port that the kernel selects may be given to another test process between its
selection and its use. Therefore each test process has a range of its own, below
those of the kernel.
"""

import contextlib
import itertools
import os
import socket

_FIRST_PORT = 20_000
_PORTS_PER_WORKER = 1500
_WORKERS = 8
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % _WORKERS
_START = _FIRST_PORT + _WORKER * _PORTS_PER_WORKER
_ports = itertools.cycle(range(_START, _START + _PORTS_PER_WORKER))


def free_port(*, adjacent: int = 1) -> int:
    """Returns the first of several adjacent ports that are free.

    Args:
      adjacent: Number of ports.
    """
    while True:
        port = next(_ports)
        if all(_is_free(port + n) for n in range(adjacent)):
            # The other ports are not returned by the next call.
            for _ in range(adjacent - 1):
                next(_ports)
            return port


def _is_free(port: int) -> bool:
    with contextlib.suppress(OSError), socket.socket() as sock:
        sock.bind(("127.0.0.1", port))
        return True
    return False
