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

# Time in which a server can be connected to.
_CONNECT_S = 0.2
# Time in which a server that is full refuses a request. Until it is over, both
# servers may work on the request.
_REFUSAL_S = 0.2
# Iterations of the event loop in which a refusal is read that arrived while
# this process was suspended, and their longest time.
_LATE_ITERATIONS = 10
_LATE_S = 0.05
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


async def _wait_until_written(
    task: asyncio.Task[Outcome], written: asyncio.Event
) -> None:
    """Waits until a request is written or its send ends, for a limited time."""
    writing = asyncio.create_task(written.wait())
    try:
        await asyncio.wait(
            {task, writing},
            timeout=_CONNECT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        writing.cancel()


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
        has_progressed: Callable[[], bool],
    ) -> bool:
        """Sends the request to another server beside the silent one.

        Args:
          send: Sends the request and waits for the head of the answer; calls
            its argument when the request is written to a connection.
          drop: Called with an outcome that can't replace the silent answer.
          has_progressed: Returns whether the silent server has gone on.

        Returns:
          Whether the other server has got the request and has neither refused
          it nor failed, and the silent one has not gone on, so that this one
          can be given up. `join` returns the other one's answer.
        """
        written = asyncio.Event()
        task = self._later_send = asyncio.create_task(send(written.set))
        self.is_handing_over = True
        try:
            await _wait_until_written(task, written)
            if written.is_set():
                await asyncio.wait({task}, timeout=_REFUSAL_S)
            end_s = time.monotonic() + _LATE_S
            for _ in range(_LATE_ITERATIONS):
                if time.monotonic() > end_s:
                    break
                await asyncio.sleep(0)
        finally:
            self.is_handing_over = False
        if task.done() and not _is_success(task.result()):
            self._later_send = None
            drop(task.result())
        elif not written.is_set():
            self.on_unreachable(_CONNECT_S)
            self.on_not_run()
            self.cancel(drop)
        elif has_progressed():
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
