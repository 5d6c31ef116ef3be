"""Replies of the store that have not arrived completely."""

import asyncio
from typing import Generic
from typing import TypeVar

import attrs

_T = TypeVar("_T")


@attrs.define
class PendingReply(Generic[_T]):
    """Request whose reply is not complete.

    Attributes:
      started_s: Time of the request on the monotonic clock.
      task: Ends with the reply.
      begun: Set when the reply begins to arrive.
      begun_s: Time at which it began on the monotonic clock.
      size: Size of the reply in bytes; 0 if it is not known.
      is_held: Whether the reply waits for a copy, or has waited for one.
    """

    started_s: float
    task: asyncio.Task[_T] = attrs.field(init=False)
    begun: asyncio.Event = attrs.field(factory=asyncio.Event)
    begun_s: float = float("inf")
    size: int = 0
    is_held: bool = False

    @property
    def is_arriving(self) -> bool:
        """Whether a part of the reply has arrived."""
        return self.begun.is_set() and not self.task.done()
