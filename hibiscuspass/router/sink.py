"""Receivers of the token events of a completion."""

import abc

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal


class Sink(abc.ABC):
    """Receives the events of one completion in order.

    Attributes:
      is_streaming: Whether events reach the caller as they arrive; another
        engine then can't restart the completion.
    """

    is_streaming: bool

    @abc.abstractmethod
    async def deliver(self, event: engine.TokenEvent) -> bool:
        """Handles an event; returns False if the caller is gone."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Discards all events so far; not called if `is_streaming`."""

    @abc.abstractmethod
    async def finish(self, usage: engine.Usage, *, limited: bool) -> None:
        """Ends a complete answer.

        Args:
          usage: Reported or counted usage.
          limited: Whether the router ended the answer at the output limit.
        """

    @abc.abstractmethod
    async def fail(self, refused: refusal.Refusal) -> bool:
        """Ends the answer with an error.

        Returns:
          Whether the sink handled the error; False if nothing was sent to the
          caller yet, so that the endpoint can send an error response.
        """


class NullSink(Sink):
    """Discards the events of a completion whose caller is gone."""

    # Prevents a restart on another engine, which would repeat work whose
    # output nobody reads.
    is_streaming = True

    async def deliver(self, event: engine.TokenEvent) -> bool:
        """Discards an event."""
        return True

    def restart(self) -> None:
        """Does nothing."""

    async def finish(self, usage: engine.Usage, *, limited: bool) -> None:
        """Does nothing."""

    async def fail(self, refused: refusal.Refusal) -> bool:
        """Does nothing."""
        return True
