"""Routes, services and workspaces of the operator configuration."""

import enum

import attrs


class RequestKind(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class ServiceShare:
    """Share of the traffic of a route that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rules for requests with a given host and path prefix.

    Attributes:
      name: Name of the route.
      host: Host name in lower case.
      path_prefix: Prefix of the path, with a slash at both ends.
      kind: Whether and how requests may be repeated.
      timeout_s: Time limit of a request in seconds.
      target_latency_s: Target latency of a response in seconds.
      priority: Priority of the requests; 0 is the most urgent.
      shares: Services of the route with their weights.
      max_attempts: Number of backend servers that may receive a request.
      auth_exempt: Whether requests need no API key.
      resumable: Whether another backend server may resume an interrupted
        stream.
      max_pause_s: Target for the longest pause between events of a stream, in
        seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    auth_exempt: bool = False
    resumable: bool = False
    max_pause_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@attrs.frozen
class Engine:
    """Properties of the model engines of a service.

    Attributes:
      slots: Number of requests that one engine runs concurrently.
      kv_capacity: Capacity of the KV cache of one engine in tokens.
      tokens_per_event: Largest number of tokens in one event of a stream.
    """

    slots: int
    kv_capacity: int
    tokens_per_event: int


@attrs.frozen
class Service:
    """A group of backend servers.

    Attributes:
      name: Name of the service.
      max_connections: Number of connections that one backend server accepts
        from all routers together.
      engine: Properties of the engines; None for plain services.
      cold_start_s: Time for which a server is cold after its start, in seconds.
      cold_per_s: Requests per second that a cold server tolerates from all
        routers together; 0 if its requests are not limited.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class Workspace:
    """Workspace in the operator configuration.

    Attributes:
      name: Name of the workspace.
      priority: Priority that overrides the priority of the route; None to use
        that of the route.
      prepaid: Tokens that the workspace may use in total; None without a limit.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


@attrs.frozen
class Limits:
    """Limits on requests and connections of callers.

    Attributes:
      max_header_bytes: Largest total size of the headers.
      max_body_bytes: Largest size of a body.
      header_timeout_s: Time limit for receiving the headers, in seconds.
      idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
