"""Interface of the routing policies."""

import abc
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal


@attrs.frozen
class RouteQuery:
    """A request to route.

    Attributes:
      request_id: Id of the request.
      workspace: Workspace of the request.
      model: Model name.
      adapter: Adapter name, or an empty string.
      prompt_blocks: Hashes of the prompt's prefix blocks, first block first.
      prompt_tokens: Upper estimate of the prompt length in tokens.
      output_limit: Maximum number of generated tokens.
      priority: Larger values are served first.
      first_token_deadline_s: Time the caller waits for the first token, in
        seconds from now.
      excluded: Backend servers that must not be chosen.
    """

    request_id: str
    workspace: str
    model: str
    adapter: str
    prompt_blocks: tuple[int, ...]
    prompt_tokens: int
    output_limit: int
    priority: int
    first_token_deadline_s: float
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Route:
    """A chosen backend server.

    Attributes:
      backend: Name of the backend server.
      expected_first_token_s: Expected time to the first token in seconds.
      cached_tokens: Prompt tokens expected in the engine's prefix cache.
    """

    backend: str
    expected_first_token_s: float
    cached_tokens: int


@attrs.frozen
class BackendView:
    """Information from membership about a backend server.

    Attributes:
      name: Name of the backend server.
      failure_domain: Its failure domain.
      accepts_work: Whether it is neither leaving, draining nor ejected.
    """

    name: str
    failure_domain: str
    accepts_work: bool


class RoutingPolicy(abc.ABC):
    """Chooses engines for requests without doing any I/O.

    All times are seconds of a monotonic clock.
    """

    @abc.abstractmethod
    def choose(
        self, query: RouteQuery, now_s: float
    ) -> Route | refusal.Refusal:
        """Returns the chosen backend server or a refusal with the reason."""

    @abc.abstractmethod
    def on_dispatch(
        self, query: RouteQuery, route: Route, now_s: float
    ) -> None:
        """Records that a request was sent."""

    @abc.abstractmethod
    def on_first_token(self, request_id: str, now_s: float) -> None:
        """Records the first token of a request."""

    @abc.abstractmethod
    def on_finish(self, request_id: str, succeeded: bool, now_s: float) -> None:
        """Records the end of a request."""

    @abc.abstractmethod
    def on_load_report(self, report: engine.LoadReport, now_s: float) -> None:
        """Records a load report, which may be old."""

    @abc.abstractmethod
    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """Records a cache event, which may be late or follow a gap."""

    @abc.abstractmethod
    def set_backends(
        self, backends: Sequence[BackendView], now_s: float
    ) -> None:
        """Replaces the set of known backend servers."""
