"""Reads a long-lived response body with an idle timeout."""

import asyncio
from collections.abc import Callable

import aiohttp

from hibiscuspass.backends import http_client


class ByteStream:
    """Reads a response body in chunks; aborts it after `idle_s` without data.

    One timer serves the whole stream and is re-armed only when it fires, so
    that reading a chunk costs no timer operation. Only the time during which a
    read is waiting counts; a slow consumer does not cause a timeout.
    """

    def __init__(self, exchange: http_client.Exchange, idle_s: float) -> None:
        self._exchange = exchange
        self._read_any = exchange.response.content.readany
        self._idle_s = idle_s
        self._timed_out = False
        self._waiting_since_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._now_s: Callable[[], float] = self._loop.time
        self._timer = self._loop.call_later(idle_s, self._on_timer)

    async def read(self) -> bytes | http_client.Failure:
        """Returns the next chunk, empty at the end of the body."""
        self._waiting_since_s = self._now_s()
        try:
            return await self._read_any()
        except (aiohttp.ClientError, OSError) as exc:
            if self._timed_out:
                detail = f"no data for {self._idle_s} s"
                return http_client.Failure(True, True, detail)
            detail = str(exc) or type(exc).__name__
            return http_client.Failure(True, False, detail)
        finally:
            self._waiting_since_s = None

    async def close(self) -> None:
        """Ends the stream; closes the connection if the body is incomplete."""
        self._timer.cancel()
        await self._exchange.release()

    def _on_timer(self) -> None:
        waiting_since_s = self._waiting_since_s
        remaining_s = self._idle_s
        if waiting_since_s is not None:
            remaining_s -= self._now_s() - waiting_since_s
        if remaining_s <= 0:
            self._timed_out = True
            self._exchange.abort()
            return
        self._timer = self._loop.call_later(remaining_s, self._on_timer)
