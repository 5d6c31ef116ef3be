"""Interface for the selection of a backend server."""

import abc
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import server_capacity


@attrs.frozen
class Choice:
    """Selected backend server.

    Attributes:
      backend: Selected server.
      new_tokens: Prompt tokens that the server is expected to process because
        its prefix cache doesn't contain them.
      expected_s: Expected time to the first event in seconds; 0 if unknown.
    """

    backend: backend_lib.Backend
    new_tokens: int = 0
    expected_s: float = 0.0


class BackendSelector(abc.ABC):
    """Selects among the servers of one service, without I/O.

    All times are seconds of a monotonic clock.
    """

    @abc.abstractmethod
    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        now_s: float,
        quotes: Mapping[str, engine_loads.Quote] | None = None,
    ) -> Choice:
        """Returns the server to send to.

        Args:
          req: Request to send.
          candidates: At least one server.
          now_s: Current time.
          quotes: Quotes of the monitors of engines, by instance. Servers
            without one are estimated from what this router knows.
        """

    @abc.abstractmethod
    def on_sent(
        self, req: request_lib.ForwardRequest, choice: Choice, now_s: float
    ) -> None:
        """Records that a request was sent."""

    @abc.abstractmethod
    def on_ended(
        self, choice: Choice, served: server_capacity.Served, now_s: float
    ) -> None:
        """Records that a request is completed or failed.

        Args:
          choice: Where it was sent.
          served: What was observed of it.
          now_s: Current time.
        """

    @abc.abstractmethod
    def on_peer_sent(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """Records that a peer sent a request.

        Args:
          instance: Instance of the server, see `backend.Backend.instance`.
          parts: Parts of the prompt.
          new_tokens: Prompt tokens that the server is expected to process.
          now_s: Current time.
        """

    @abc.abstractmethod
    def retain(self, instances: Collection[str]) -> None:
        """Drops the state of all servers except the given instances."""
