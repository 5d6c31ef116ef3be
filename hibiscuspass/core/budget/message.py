"""Base classes of the messages between routers."""

import attrs

from hibiscuspass.core import incarnation


@attrs.frozen
class Message:
    """Base of all messages.

    Attributes:
      ask_id: Number of the request, unique at its sender. The reply repeats it.
    """

    ask_id: int


@attrs.frozen
class Request(Message):
    """Base of messages that get a reply.

    Attributes:
      to: Incarnation that receives it. A newer incarnation of the same router
        drops it, because it doesn't have the state of the older one.
    """

    to: incarnation.Incarnation


@attrs.frozen
class Reply(Message):
    """Base of replies to requests."""
