"""Backend servers as listed in the store."""

import enum

import attrs


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Backend:
    """One instance of a backend server, from its start to its end.

    Attributes:
      backend_id: Id of the backend server; a restarted server may keep it.
      service: Service that it belongs to.
      address: `host:port`; another backend server may reuse it later.
      failure_domain: Failure domain in which it runs.
      slots: Number of requests that it runs concurrently.
      state: Whether it accepts new requests.
      started_ms: Start time in Unix milliseconds; 0 if unknown.
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
        """Id that differs between restarts of a server with the same id."""
        return f"{self.backend_id}@{self.started_ms}"


def id_of(instance: str) -> str:
    """Returns the id of the backend server of an instance."""
    return instance.rpartition("@")[0]
