"""Record of the sends of one request."""

import attrs


@attrs.define
class Attempts:
    """Sends of one request so far.

    Attributes:
      max_attempts: Number of backend servers that may receive the request.
      sends: Number of sends, including those that a server refused.
      unreachable: Number of sends of which no byte left this process.
      tried: Ids of the backend servers that the request was sent to.
      may_have_run: Whether a backend server may have run the request.
      last_backend: Id of the backend server of the last send.
      last_failure: Reason why the last send failed.
    """

    max_attempts: int
    sends: int = 0
    unreachable: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    last_backend: str | None = None
    last_failure: str = ""

    @property
    def arrivals(self) -> int:
        """Number of sends that reached or may have reached a backend server."""
        return self.sends - self.unreachable

    def on_send(self, backend_id: str) -> None:
        """Records a send."""
        self.sends += 1
        self.tried.add(backend_id)
        self.last_backend = backend_id
