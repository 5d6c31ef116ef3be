"""Where the events of a completion go."""

import abc

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal


class Sink(abc.ABC):
    """Receives the events of one completion in order.

    `is_streaming` tells whether events reach the caller as they arrive, so that
    another engine can't start over.
    """

    is_streaming: bool

    @abc.abstractmethod
    async def deliver(self, event: engine.TokenEvent) -> bool:
        """Takes an event; False if the caller is gone."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Discards all events so far; never called if `is_streaming`."""

    @abc.abstractmethod
    async def finish(self, usage: engine.Usage, *, limited: bool) -> None:
        """Ends a complete answer.

        Args:
          usage: Reported or counted usage.
          limited: Whether the router ended it at the output limit.
        """

    @abc.abstractmethod
    async def fail(self, refused: refusal.Refusal) -> bool:
        """Ends with an error; False if nothing was sent to the caller yet."""


class NullSink(Sink):
    """Discards the events of a completion whose caller is gone."""

    # Another engine would only repeat work that nobody reads.
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
