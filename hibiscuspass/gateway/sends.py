"""Sends of one request to backend servers, and their outcomes."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import time
from typing import Any

import aiohttp
import attrs

from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import backend_selector as selector_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import upstream

# Time in which a server that is full refuses a request. Until it is over, both
# servers may work on the request.
_REFUSAL_S = 0.2
# A process that notices the end of this time later than this, in seconds, was
# suspended, and needs a moment for what has arrived meanwhile.
_MAX_DELAY_S = 0.05
_DELAYED_REFUSAL_S = 0.05
_SUCCESS_STATUSES = range(200, 300)


@attrs.frozen
class Target:
    """Where a request is sent to.

    Attributes:
      service: Service of the backend server.
      choice: Backend server, and what is expected of it.
    """

    service: route_lib.Service
    choice: selector_lib.Choice


@attrs.frozen
class Answer:
    """An answer of a backend server whose body is not read yet.

    Attributes:
      resp: Response with its head read and its connection open.
      choice: Backend server that answered, and what was expected of it.
      service: Service of the backend server.
      sent_s: Time of the send on the monotonic clock.
    """

    resp: aiohttp.ClientResponse
    choice: selector_lib.Choice
    service: route_lib.Service
    sent_s: float


Outcome = Answer | upstream.Failure


def _is_success(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Answer) and outcome.resp.status in _SUCCESS_STATUSES
    )


@attrs.define(eq=False)
class Sends(attempts_lib.Attempts):
    """Sends of one request, of which a later one may take over.

    Load pattern: many streams of a slow engine are silent at once, the other
    engines are full, and the retry budget covers a few of the streams. An
    answer that is given up before another server has the request is lost.

    Attributes:
      is_handing_over: Whether it is open which of two servers goes on.
    """

    is_handing_over: bool = False
    _later_send: asyncio.Task[Outcome] | None = None

    async def hand_over(
        self,
        send: Callable[[Callable[[], None]], Coroutine[Any, Any, Outcome]],
        drop: Callable[[Outcome], None],
        is_silent: Callable[[], bool],
    ) -> bool:
        """Sends the request to another server beside the silent one.

        Args:
          send: Sends the request and waits for the head of the answer; calls
            its argument when the request is written to a connection.
          drop: Called with an outcome that can't replace the silent answer.
          is_silent: Returns whether the silent server still is.

        Returns:
          Whether the other server has got the request and has neither refused
          it nor failed, so that the silent one can be given up. `join` returns
          the other one's answer. The other send is cancelled if the silent
          server goes on.
        """
        written = asyncio.Event()
        task = self._later_send = asyncio.create_task(send(written.set))
        self.is_handing_over = True
        try:
            end_s = time.monotonic() + _REFUSAL_S
            await asyncio.wait({task}, timeout=_REFUSAL_S)
            if time.monotonic() > end_s + _MAX_DELAY_S:
                # The process was suspended. The outcome may have arrived.
                await asyncio.wait({task}, timeout=_DELAYED_REFUSAL_S)
        finally:
            self.is_handing_over = False
        if task.done() and not _is_success(task.result()):
            self._later_send = None
            drop(task.result())
        elif not written.is_set():
            self.on_unreachable(_REFUSAL_S)
            self.on_not_run()
            self.cancel(drop)
        elif not is_silent():
            self.cancel(drop)
        return self._later_send is not None

    async def join(self) -> Outcome | None:
        """Returns the outcome of the send that took over; None without one."""
        task = self._later_send
        if task is None:
            return None
        outcome = await task
        if task is self._later_send:
            self._later_send = None
        return outcome

    def cancel(self, drop: Callable[[Outcome], None]) -> None:
        """Cancels a send that nobody waits for.

        Args:
          drop: Called with its outcome if it has ended meanwhile.
        """

        def on_done(task: asyncio.Task[Outcome]) -> None:
            if not task.cancelled() and not task.exception():
                drop(task.result())

        task, self._later_send = self._later_send, None
        if task is not None:
            task.cancel()
            task.add_done_callback(on_done)
