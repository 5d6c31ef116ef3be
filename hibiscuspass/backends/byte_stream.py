"""Reads a long-lived response body under an idle limit."""

import asyncio
from collections.abc import Callable

import aiohttp

from hibiscuspass.backends import http_client


class ByteStream:
    """Chunks of a response body; silence for `idle_s` ends it.

    One timer serves the whole stream and is re-armed only when it fires, so a
    chunk costs no timer operation. Time during which nobody reads, because the
    consumer is slow, does not count.
    """

    def __init__(self, exchange: http_client.Exchange, idle_s: float) -> None:
        self._exchange = exchange
        self._read_any = exchange.response.content.readany
        self._idle_s = idle_s
        self._idle = False
        self._waiting_since_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._now_s: Callable[[], float] = self._loop.time
        self._timer = self._loop.call_later(idle_s, self._check)

    async def read(self) -> bytes | http_client.Failure:
        """Returns the next chunk, empty at the end of the body."""
        self._waiting_since_s = self._now_s()
        try:
            return await self._read_any()
        except (aiohttp.ClientError, OSError) as exc:
            if self._idle:
                detail = f"no data for {self._idle_s} s"
                return http_client.Failure(True, True, detail)
            detail = str(exc) or type(exc).__name__
            return http_client.Failure(True, False, detail)
        finally:
            self._waiting_since_s = None

    async def close(self) -> None:
        """Ends the stream; an unfinished body closes the connection."""
        self._timer.cancel()
        await self._exchange.release()

    def _check(self) -> None:
        since_s = self._waiting_since_s
        left_s = self._idle_s
        if since_s is not None:
            left_s -= self._now_s() - since_s
        if left_s <= 0:
            self._idle = True
            self._exchange.abort()
            return
        self._timer = self._loop.call_later(left_s, self._check)
