"""Routes, services and workspaces of one configuration version."""

import enum

import attrs


class RequestKind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class ServiceShare:
    """Part of a route's traffic that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
      name: Name of the route.
      host: Host name, lower case.
      path_prefix: Prefix of the path, with a slash at both ends.
      kind: What may be repeated.
      timeout_s: Longest time that a request may take, in seconds.
      target_latency_s: Time within which an answer is on time, in seconds.
      priority: Rank, 0 first.
      shares: Services of the route with their weights.
      max_attempts: Backend servers that one request may be sent to.
      auth_exempt: Whether requests need no key.
      resumable: Whether a stream may go on at another backend server.
      max_pause_s: Longest pause between events of a stream that is on time.
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
    """What is known of the model engines of a service.

    Attributes:
      slots: Requests that one engine runs at once.
      kv_capacity: Tokens that fit into the memory of one engine.
      tokens_per_event: Tokens in one event of a stream, at most.
    """

    slots: int
    kv_capacity: int
    tokens_per_event: int


@attrs.frozen
class Service:
    """A group of backend servers.

    Attributes:
      name: Name of the service.
      max_connections: Connections that one backend server accepts in total.
      engine: Engine data; None for plain services.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@attrs.frozen
class Workspace:
    """A workspace of the configuration.

    Attributes:
      name: Name of the workspace.
      priority: Rank that goes before the route's; None if there is none.
      prepaid: Tokens that it may use in total; None without a limit.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


@attrs.frozen
class Limits:
    """What callers may send.

    Attributes:
      max_header_bytes: Size of all headers together.
      max_body_bytes: Size of a body.
      header_timeout_s: Time for the headers to arrive, in seconds.
      idle_timeout_s: Time that a connection may stay idle, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
