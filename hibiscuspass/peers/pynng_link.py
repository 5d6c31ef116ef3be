"""A pynng connection to one peer that carries concurrent requests."""

import asyncio
import contextlib

import pynng

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.peers import link

# A negative resend time disables the automatic resending of nng, which would
# hide lost messages from the timeouts of the callers.
_NO_RESEND = -1
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000


def _refuse(reason: reason_lib.Reason, detail: str) -> refusal.Refusal:
    return refusal.Refusal(reason, detail)


class PynngLink(link.Link):
    """A request socket that is connected to one address."""

    def __init__(self, address: str, max_message_bytes: int) -> None:
        super().__init__(address)
        self._retired = False
        self._closed = False
        self._idle_contexts: list[pynng.Context] = []
        self._contexts: set[pynng.Context] = set()
        self._socket = pynng.Req0(
            resend_time=_NO_RESEND,
            recv_max_size=max_message_bytes,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
            async_backend="asyncio",
        )
        self._socket.tcp_nodelay = True

    async def connect(self, timeout_s: float) -> refusal.Refusal | None:
        """Connects to the peer.

        A plain TCP connection is tried first, because nng does not report a
        refused connection until a request times out.

        Returns:
          None, or a refusal with `UNAVAILABLE`.
        """
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
            self._socket.dial(f"tcp://{self.address}", block=False)
        except (OSError, ValueError, pynng.NNGException) as exc:
            return _refuse(
                reason_lib.Reason.UNAVAILABLE,
                f"peer {self.address}: {exc or 'connect timed out'}",
            )
        return None

    async def exchange(
        self, frame: bytes, timeout_s: float
    ) -> bytes | refusal.Refusal:
        """Sends a frame and returns the frame of the reply.

        Returns:
          The frame, or a refusal: `UNAVAILABLE` if the request was not sent,
          `TIMEOUT` if it was sent and the peer may have handled it.
        """
        task = asyncio.current_task()
        cancelling = task.cancelling() if task else 0
        try:
            context = self._acquire_context()
        except pynng.NNGException as exc:
            return _refuse(
                reason_lib.Reason.UNAVAILABLE, f"peer {self.address}: {exc}"
            )
        self.in_flight += 1
        reply: bytes | refusal.Refusal | None = None
        try:
            reply = await self._exchange(context, frame, timeout_s)
        finally:
            self.in_flight -= 1
            self._release_context(context, reusable=isinstance(reply, bytes))
            if self._retired and not self.in_flight:
                self.close()
        # pynng suppresses a cancellation that arrives together with the
        # completion of the operation.
        if task and task.cancelling() > cancelling:
            raise asyncio.CancelledError
        return reply

    async def _exchange(
        self, context: pynng.Context, frame: bytes, timeout_s: float
    ) -> bytes | refusal.Refusal:
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                await context.asend(frame)
                sent = True
                return await context.arecv()
        except (TimeoutError, pynng.NNGException) as exc:
            detail = f"peer {self.address}: {exc or 'no reply in time'}"
            if sent:
                return _refuse(reason_lib.Reason.TIMEOUT, detail)
            return _refuse(reason_lib.Reason.UNAVAILABLE, detail)

    def retire(self) -> None:
        """See base class."""
        self._retired = True
        if not self.in_flight:
            self.close()

    def close(self) -> None:
        """See base class."""
        if self._closed:
            return
        self._closed = True
        for context in self._contexts:
            with contextlib.suppress(pynng.NNGException):
                context.close()
        self._contexts.clear()
        self._idle_contexts.clear()
        self._socket.close()

    def _acquire_context(self) -> pynng.Context:
        if self._idle_contexts:
            return self._idle_contexts.pop()
        context = self._socket.new_context()
        self._contexts.add(context)
        return context

    def _release_context(
        self, context: pynng.Context, *, reusable: bool
    ) -> None:
        if self._closed:
            return
        if reusable:
            self._idle_contexts.append(context)
            return
        # The context of a failed request may still receive a late reply, so it
        # is not used again.
        self._contexts.discard(context)
        with contextlib.suppress(pynng.NNGException):
            context.close()
