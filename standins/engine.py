"""Test server for a model engine with an OpenAI-style API.

Run it with `python -m standins.engine --port 9001`.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import time
from typing import Any

from aiohttp import web
import attrs
import defopt
import msgspec

from standins import base
from standins import engine_batch
from standins import engine_metrics
from standins import engine_orders
from standins import engine_run

_CACHE_KEEPALIVE_S = 5.0
_LOAD_INTERVAL_S = 0.05
_NOT_RUN = {"X-Not-Run": "1"}
_ROLES = ("serve", "prefill", "decode", "drain")


@attrs.define
class EngineFaults(base.Faults):
    """Faults of an engine.

    Attributes:
      drain: The engine is shutting down and refuses new requests.
      ignore_fence: Orders with an outdated fencing token are applied.
      extra_tokens: Tokens generated beyond the output limit.
      die_after_tokens: Once a request has this many tokens, the engine closes
        all connections and discards its state; it then continues empty.
      truncate_after_events: Streams end without `[DONE]` after this many events
        on one connection.
      repeat_event: Streams send the event at this index twice.
      skip_event: Streams omit the event at this index.
      wrong_request_id: Replies carry the id of another request.
      load_lag_s: Age of the load report.
      cache_event_delay_s: Delay of each cache event.
      drop_cache_events: Number of further cache events that are lost.
    """

    drain: bool = False
    ignore_fence: bool = False
    extra_tokens: int = 0
    die_after_tokens: int | None = None
    truncate_after_events: int | None = None
    repeat_event: int | None = None
    skip_event: int | None = None
    wrong_request_id: bool = False
    load_lag_s: float = 0.0
    cache_event_delay_s: float = 0.0
    drop_cache_events: int = 0


class EngineStandIn(base.StandIn):
    """Serves completions, resume, cancel, load, cache events and orders."""

    faults_type = EngineFaults
    actions = (*base.StandIn.actions, "die")

    def __init__(
        self,
        *,
        models: dict[str, str] | None = None,
        settings: engine_batch.BatchSettings | None = None,
        cache_keepalive_s: float = _CACHE_KEEPALIVE_S,
        monotonic_s: Callable[[], float] = time.monotonic,
        wall_s: Callable[[], float] = time.time,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.batch = engine_batch.Batch(
            settings or engine_batch.BatchSettings(), monotonic_s
        )
        self.batch.on_token = self._on_token
        self.orders = engine_orders.Orders(models or {"model-a": "1"})
        self.refused: collections.Counter[str] = collections.Counter()
        self.order_log: list[dict[str, Any]] = []
        self._cache_keepalive_s = cache_keepalive_s
        self._load = engine_metrics.LoadSampler(self.batch, self.orders, wall_s)
        self._tasks: list[asyncio.Task[None]] = []

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the engine API."""
        return [
            web.post("/v1/chat/completions", self._complete),
            web.post("/v1/completions", self._complete),
            web.get("/v1/requests/{id}/stream", self._resume),
            web.post("/v1/requests/{id}/cancel", self._cancel),
            web.get("/metrics", self._metrics),
            web.get("/v1/cache/events", self._cache_events),
            web.post("/v1/orders", self._order),
            web.get("/v1/state", self._state),
        ]

    def record(self) -> Any:
        """Returns runs and refusals by request id, and all orders."""
        return {
            "runs": {
                request_id: {
                    "starts": starts,
                    "state": self.batch.history[request_id].state,
                    "generated": self.batch.history[request_id].generated,
                }
                for request_id, starts in self.batch.starts.items()
            },
            "refused": dict(self.refused),
            "orders": self.order_log,
        }

    async def start(self) -> None:
        """Starts the server, generation and load sampling."""
        await super().start()
        self._tasks = [
            asyncio.create_task(self.batch.generate(self._unfrozen)),
            asyncio.create_task(self._sample_loads()),
        ]

    async def stop(self) -> None:
        """Stops the server and its background tasks."""
        for task in self._tasks:
            task.cancel()
        await super().stop()

    def die(self) -> None:
        """Simulates a crash: closes connections and discards requests."""
        self.batch.crash()
        self._abort_connections()

    async def inject(self, **changes: Any) -> None:
        """Sets fault fields and triggers one-time faults."""
        await super().inject(**changes)
        self.batch.extra_tokens = self.faults.extra_tokens

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self.faults.drain or self.orders.role == "drain"

    def _on_token(self, run: engine_run.Run) -> None:
        limit = self.faults.die_after_tokens
        if limit is not None and run.generated >= limit:
            self.faults.die_after_tokens = None
            self.die()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        try:
            body = msgspec.json.decode(
                await request.read(), type=dict[str, Any]
            )
            priority = int(request.headers.get("X-Priority", "0"))
        except (msgspec.MsgspecError, ValueError) as exc:
            return self._refuse(request_id, 400, str(exc))
        refused = self._find_refusal(request_id, body)
        if refused:
            return refused
        chat = request.path.endswith("chat/completions")
        run = self.batch.submit(request_id, body, chat=chat, priority=priority)
        await self.maybe_lose_reply(request)
        if not body.get("stream"):
            return await self._answer(request, run)
        return await self._stream(request, run, 0)

    def _find_refusal(
        self, request_id: str, body: dict[str, Any]
    ) -> web.Response | None:
        if not request_id:
            return self._refuse(request_id, 400, "X-Request-Id is missing")
        if request_id in self.batch.runs:
            # The request did run, so this reply must not carry `X-Not-Run`.
            return base.json_response(
                {"error": {"message": "request id already used"}}, status=409
            )
        model = body.get("model")
        if (
            model not in self.orders.models
            and model not in self.orders.adapters
        ):
            return self._refuse(request_id, 404, f"model {model!r} not loaded")
        if self.draining or self.batch.full:
            reason = "draining" if self.draining else "queue is full"
            return self._refuse(request_id, 503, reason)
        return None

    def _refuse(
        self, request_id: str, status: int, message: str
    ) -> web.Response:
        self.refused[request_id] += 1
        headers = {"X-Request-Id": request_id}
        if request_id not in self.batch.starts:
            headers |= _NOT_RUN
        if status == 503:
            headers["Retry-After"] = "1"
        return base.json_response(
            {"error": {"message": message}}, status=status, headers=headers
        )

    async def _answer(
        self, request: web.Request, run: engine_run.Run
    ) -> web.Response:
        while not run.ended:
            await run.wait(len(run.events))
        if run.state == "lost":
            raise base.LostReplyError
        return base.json_response(
            {"id": run.request_id, "model": run.model, "usage": run.usage()},
            headers={"X-Request-Id": run.request_id},
        )

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        run = self.batch.find(request.match_info["id"])
        offset = int(request.query.get("offset", "0"))
        if run is None or offset > len(run.events):
            return base.json_response(
                {"error": {"message": "request unknown"}}, status=404
            )
        return await self._stream(request, run, offset)

    async def _stream(
        self, request: web.Request, run: engine_run.Run, offset: int
    ) -> web.StreamResponse:
        sent_id = "other" if self.faults.wrong_request_id else run.request_id
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": sent_id,
            }
        )
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            await self._relay(request, response, run, offset)
        return response

    async def _relay(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: engine_run.Run,
        offset: int,
    ) -> None:
        index = offset
        while True:
            await run.wait(index)
            await self.wait_while_blocked(request)
            if run.state == "lost":
                self.abort_connection(request)
                return
            if index >= len(run.events):
                return
            for event in run.events[index:]:
                if index - offset == self.faults.truncate_after_events:
                    return
                if index != self.faults.skip_event:
                    await response.write(event)
                if index == self.faults.repeat_event:
                    await response.write(event)
                index += 1

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = request.match_info["id"]
        if self.batch.find(request_id) is None:
            return base.json_response({"error": "unknown"}, status=404)
        return base.json_response({"cancelled": self.batch.cancel(request_id)})

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=dict[str, Any])
        if order.get("role") not in _ROLES:
            message = f"role {order.get('role')!r}: expected one of {_ROLES}"
            return base.json_response({"error": message}, status=400)
        applied = self.orders.apply(
            order, check_fence=not self.faults.ignore_fence
        )
        self.order_log.append({**order, "applied": applied})
        if not applied:
            newest = f"{self.orders.fence}/{self.orders.generation}"
            return base.json_response(
                {"error": f"outdated, newest order is {newest}"}, status=409
            )
        return base.json_response(attrs.asdict(self.orders))

    async def _state(self, request: web.Request) -> web.Response:
        del request
        return base.json_response(attrs.asdict(self.orders))

    async def _metrics(self, request: web.Request) -> web.Response:
        del request
        text = self._load.text(self.faults.load_lag_s, draining=self.draining)
        return web.Response(text=text, content_type="text/plain")

    async def _sample_loads(self) -> None:
        while True:
            self._load.sample(draining=self.draining)
            await asyncio.sleep(_LOAD_INTERVAL_S)

    async def _cache_events(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        last_sequence = max(
            (e["sequence"] for e in self._visible_events()), default=0
        )
        quiet_s = 0.0
        with contextlib.suppress(ConnectionError):
            while True:
                await self.wait_while_blocked(request)
                unsent = [
                    e
                    for e in self._visible_events()
                    if e["sequence"] > last_sequence
                ]
                if unsent:
                    quiet_s = 0.0
                    last_sequence = unsent[-1]["sequence"]
                    await self._send_cache_events(response, unsent)
                elif quiet_s >= self._cache_keepalive_s:
                    quiet_s = 0.0
                    await response.write(b": keep-alive\n\n")
                await asyncio.sleep(_LOAD_INTERVAL_S)
                quiet_s += _LOAD_INTERVAL_S
        return response

    def _visible_events(self) -> list[dict[str, Any]]:
        return self.batch.cache.events_older_than(
            self.faults.cache_event_delay_s
        )

    async def _send_cache_events(
        self, response: web.StreamResponse, events: list[dict[str, Any]]
    ) -> None:
        for event in events:
            if self.faults.drop_cache_events > 0:
                self.faults.drop_cache_events -= 1
                continue
            data = msgspec.json.encode(
                {"stored": event["stored"], "evicted": event["evicted"]}
            )
            await response.write(
                b"id: %d\ndata: %b\n\n" % (event["sequence"], data)
            )


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    control_port: int | None = None,
    models: list[str] = ["model-a"],  # noqa: B006 - defopt needs a list
    max_batch: int = 16,
    max_queue: int = 64,
    token_interval_s: float = 0.01,
    output_tokens: int = 32,
    cache_blocks: int = 4096,
    retention_s: float = 120.0,
) -> None:
    """Runs the engine test server.

    Args:
      port: Port to listen on.
      host: Address to listen on.
      control_port: Extra port for faults and records, unaffected by faults.
      models: Models that are loaded initially.
      max_batch: Maximum number of requests that generate at the same time.
      max_queue: Maximum number of queued requests; more are refused.
      token_interval_s: Seconds between two tokens of a request.
      output_tokens: Tokens per request, unless its output limit is lower.
      cache_blocks: Capacity of the prefix cache in blocks.
      retention_s: Seconds for which finished requests can be resumed.
    """
    settings = engine_batch.BatchSettings(
        max_batch=max_batch,
        max_queue=max_queue,
        token_interval_s=token_interval_s,
        output_tokens=output_tokens,
        cache_blocks=cache_blocks,
        retention_s=retention_s,
    )
    base.run(
        lambda: EngineStandIn(
            host=host,
            port=port,
            control_port=control_port,
            models=dict.fromkeys(models, "1"),
            settings=settings,
        )
    )


if __name__ == "__main__":
    defopt.run(main)
