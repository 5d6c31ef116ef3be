"""Record of the sends of one request.

Load pattern: several servers crash within seconds and are listed for a while.
Each of them refuses connections at once, so a request can pass all of them and
still reach a free server. Servers that don't answer cost a timeout each.
"""

import attrs

# Servers that can't be reached after which a request is refused, if they took
# longer than this time together, and in any case.
_MIN_UNREACHABLE = 3
_MAX_CONNECT_S = 0.1
_MAX_UNREACHABLE = 10


@attrs.define
class Attempts:
    """Sends of one request so far.

    Attributes:
      max_attempts: Number of backend servers that may receive the request.
      sends: Number of sends, including those that a server refused.
      unreachable: Number of sends of which no byte left this process.
      connect_s: Time of these sends in seconds.
      tried: Ids of the backend servers that the request was sent to.
      open_runs: Number of sends of which it isn't known that the backend server
        has not run the request.
      last_backend: Id of the backend server of the last send.
      last_failure: Reason why the last send failed.
      busy: Number of sends that a server refused because it was full.
      began_s: Time of the first send on the monotonic clock; None before it.
    """

    max_attempts: int
    sends: int = 0
    unreachable: int = 0
    connect_s: float = 0.0
    tried: set[str] = attrs.field(factory=set)
    open_runs: int = 0
    last_backend: str | None = None
    last_failure: str = ""
    busy: int = 0
    began_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the request."""
        return self.open_runs > 0

    @property
    def arrivals(self) -> int:
        """Number of sends that reached or may have reached a backend server."""
        return self.sends - self.unreachable

    @property
    def is_hopeless(self) -> bool:
        """Whether no more servers are worth a connection attempt."""
        return self.unreachable >= _MAX_UNREACHABLE or (
            self.unreachable >= _MIN_UNREACHABLE
            and self.connect_s > _MAX_CONNECT_S
        )

    def on_unreachable(self, elapsed_s: float) -> None:
        """Records a send that opened no connection, after `elapsed_s`."""
        self.unreachable += 1
        self.connect_s += elapsed_s

    def on_not_run(self) -> None:
        """Records that the server of one send has not run the request."""
        self.open_runs -= 1

    def on_send(self, backend_id: str) -> None:
        """Records a send; the server may run the request."""
        self.sends += 1
        self.open_runs += 1
        self.tried.add(backend_id)
        self.last_backend = backend_id
