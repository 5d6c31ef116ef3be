"""Transport between peers over pynng request and reply sockets."""

import functools

from hibiscuspass.peers import pynng_link
from hibiscuspass.peers import pynng_server
from hibiscuspass.peers import request_transport

# Returns the peer transport of one process.
make_transport = functools.partial(
    request_transport.make_transport,
    make_link=pynng_link.PynngLink,
    make_server=pynng_server.Server,
)
