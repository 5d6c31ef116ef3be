"""Interface of the routing policy."""

import abc
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal


@attrs.frozen
class RouteQuery:
    """A request to place.

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
    """A backend server as membership knows it.

    Attributes:
      name: Name of the backend server.
      failure_domain: Its failure domain.
      accepts_work: False if it is leaving, draining or ejected.
    """

    name: str
    failure_domain: str
    accepts_work: bool


class RoutingPolicy(abc.ABC):
    """Chooses engines; free of I/O. Times are seconds of a monotonic clock."""

    @abc.abstractmethod
    def choose(
        self, query: RouteQuery, now_s: float
    ) -> Route | refusal.Refusal:
        """Chooses a backend server, or refuses with the reason."""

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
        """Takes in a load report, possibly old."""

    @abc.abstractmethod
    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """Takes in a cache event, possibly late or after a gap."""

    @abc.abstractmethod
    def set_backends(
        self, backends: Sequence[BackendView], now_s: float
    ) -> None:
        """Replaces the set of known backend servers."""
