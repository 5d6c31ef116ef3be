"""Base classes of the messages between routers."""

import attrs

from hibiscuspass.core import incarnation


@attrs.frozen
class Message:
    """Base of all messages.

    Attributes:
      ask_id: Number of the request at its sender; repeated in the reply.
    """

    ask_id: int


@attrs.frozen
class Request(Message):
    """A message that gets a reply.

    Attributes:
      to: Incarnation that it is meant for. A newer incarnation of the same
        router drops it, because it doesn't have the state.
    """

    to: incarnation.Incarnation


@attrs.frozen
class Reply(Message):
    """Answers a request."""
