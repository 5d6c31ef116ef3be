"""Backend server of the soak; it knows what really ran."""

import asyncio
import collections
import random
import zlib

from aiohttp import web

STRIDE = 5
_MOST_EVENTS = 12
_BUSY_SHARE = 0.08
_FAILED_SHARE = 0.05
_LOST_SHARE = 0.04
_CUT_SHARE = 0.05


def events_of(attempt_id: str) -> int:
    """Returns the number of events of a request's whole stream."""
    return 1 + zlib.crc32(attempt_id.encode()) % _MOST_EVENTS


def event(attempt_id: str, number: int) -> str:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {attempt_id}-{number}\n\n"


class Truth:
    """What all backend servers did.

    Attributes:
      runs: Runs by attempt.
      read: Prompt tokens by workspace, once per attempt.
      sent: Tokens of all events by workspace, those that were lost on the way
        included.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.read: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()

    def on_run(self, workspace: str, attempt_id: str, tokens: int) -> None:
        """Counts a run; the prompt counts once per attempt."""
        if not self.runs[attempt_id]:
            self.read[workspace] += tokens
        self.runs[attempt_id] += 1


class Backend:
    """One server that serves all kinds of routes, with random faults."""

    def __init__(
        self, backend_id: str, truth: Truth, rng: random.Random
    ) -> None:
        self._id = backend_id
        self._truth = truth
        self._rng = rng

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._serve)
        return app

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        attempt_id = req.headers["X-Attempt-Id"]
        headers = {"X-Attempt-Id": attempt_id}
        not_run = {**headers, "X-Not-Executed": "1"}
        if not req.headers.get("X-Expect-Instance", "").endswith(self._id):
            return web.Response(status=421, headers=not_run)
        draw = self._rng.random()
        if draw < _BUSY_SHARE:
            return web.Response(status=503, headers=not_run)
        tokens = int(req.headers.get("X-Token-Counts", "0,0").split(",")[0])
        workspace = req.headers.get("X-Tenant", "")
        self._truth.on_run(workspace, attempt_id, tokens)
        headers["X-Server-Stamp"] = f"stamp-{attempt_id}"
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        draw -= _BUSY_SHARE
        if draw < _LOST_SHARE:
            return _abort(req)
        if draw < _LOST_SHARE + _FAILED_SHARE:
            return web.Response(status=500, headers=headers, text="failed")
        if req.path.startswith(("/draft/", "/ask/")):
            return await self._stream(req, headers, workspace)
        return web.Response(headers=headers, text=f"{attempt_id}-done")

    async def _stream(
        self, req: web.Request, headers: dict[str, str], workspace: str
    ) -> web.StreamResponse:
        attempt_id = req.headers["X-Attempt-Id"]
        first = int(req.headers.get("Last-Event-Id", "-1")) + 1
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        try:
            await response.prepare(req)
            for number in range(first, events_of(attempt_id)):
                if self._rng.random() < _CUT_SHARE:
                    return _abort(req)
                await response.write(event(attempt_id, number).encode())
                self._truth.sent[workspace] += STRIDE
                await asyncio.sleep(self._rng.uniform(0.0, 0.06))
            await response.write_eof()
        except ConnectionResetError:
            # The gateway ended the run.
            return _abort(req)
        return response


def _abort(req: web.Request) -> web.Response:
    """Ends the connection without (the rest of) an answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()
