"""Transport between peers over TCP streams of the event loop.

pynng exchanges each frame with the event loop through threads of its own. On
small VMs that takes longer than the exchange itself.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import time

import prometheus_client

from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import peer_metrics
from hibiscuspass.peers import request_transport
from hibiscuspass.peers import stream_link
from hibiscuspass.peers import stream_server
from hibiscuspass.telemetry import recorder as recorder_lib


def make_transport(
    process: incarnation.Incarnation,
    listen: str,
    fleet_key: bytes,
    recorder: recorder_lib.Recorder,
    *,
    message_types: Iterable[type] = (),
    registry: codec_lib.Registry | None = None,
    max_message_bytes: int = codec_lib.DEFAULT_MAX_MESSAGE_BYTES,
    max_handlers: int = request_transport.DEFAULT_MAX_HANDLERS,
    idle_close_s: float = request_transport.DEFAULT_IDLE_CLOSE_S,
    metrics_registry: prometheus_client.CollectorRegistry | None = None,
    monotonic_s: Callable[[], float] = time.monotonic,
) -> request_transport.RequestTransport:
    """Returns the peer transport of one process.

    Args:
      process: Identity of this process.
      listen: `host:port` to listen on; port 0 selects a free port.
      fleet_key: Key of at least 32 bytes that all processes share.
      recorder: Source of the timestamps in envelopes.
      message_types: Types without a handler in this process, which it sends
        or receives as replies.
      registry: Message registry, by default `codec.DEFAULT`.
      max_message_bytes: Maximum size of a message in both directions.
      max_handlers: Maximum number of requests handled concurrently; further
        requests wait in the buffers of the sockets.
      idle_close_s: Idle time in seconds after which a link is closed.
      metrics_registry: Registry of the metrics, by default a private one.
      monotonic_s: Monotonic clock for deadlines and idle links, in seconds.

    Raises:
      ValueError: The key is too short or a message name is used twice.
    """
    codec = codec_lib.Codec(
        process,
        fleet_key,
        registry=registry or codec_lib.DEFAULT,
        max_message_bytes=max_message_bytes,
    )
    for msg_type in message_types:
        codec.registry.add(msg_type)
    return request_transport.RequestTransport(
        codec,
        process,
        listen,
        recorder,
        peer_metrics.PeerMetrics(metrics_registry),
        functools.partial(
            stream_link.StreamLink, max_message_bytes=max_message_bytes
        ),
        stream_server.StreamServer(listen, max_message_bytes, max_handlers),
        idle_close_s=idle_close_s,
        monotonic_s=monotonic_s,
    )
