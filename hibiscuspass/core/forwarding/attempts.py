"""The sends of one request."""

import attrs


@attrs.define
class Attempts:
    """What was tried so far.

    Attributes:
      max_attempts: Backend servers that the request may be sent to.
      sends: Sends so far, refused ones included.
      unreachable: Sends of which no byte left this process.
      tried: Ids of the backend servers that it was sent to.
      may_have_run: Whether a backend server may have run it.
      last_backend: Id of the last backend server.
      last_failure: Why the last send failed.
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
        """Sends that reached a backend server, or may have."""
        return self.sends - self.unreachable

    def on_send(self, backend_id: str) -> None:
        """Records a send."""
        self.sends += 1
        self.tried.add(backend_id)
        self.last_backend = backend_id
