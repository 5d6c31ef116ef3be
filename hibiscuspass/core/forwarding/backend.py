"""A backend server as the fleet's list shows it."""

import enum

import attrs


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Backend:
    """One start of a backend server.

    Attributes:
      backend_id: Id of the backend server.
      service: Service that it belongs to.
      address: `host:port`; may be reused by another backend server later.
      failure_domain: Where it runs.
      slots: Requests that it runs at once.
      state: Whether it takes new work.
      started_ms: Unix milliseconds of its start; 0 if unknown.
    """

    backend_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: BackendState
    started_ms: int = 0

    @property
    def instance(self) -> str:
        """Names this start; a server may start again under the same id."""
        return f"{self.backend_id}@{self.started_ms}"
