"""Transport between peers over TCP streams of the event loop.

pynng exchanges each frame with the event loop through threads of its own. On
small VMs that takes longer than the exchange itself.
"""

import functools

from hibiscuspass.peers import request_transport
from hibiscuspass.peers import stream_link
from hibiscuspass.peers import stream_server

# Returns the peer transport of one process.
make_transport = functools.partial(
    request_transport.make_transport,
    make_link=stream_link.StreamLink,
    make_server=stream_server.StreamServer,
)
