"""Guards backend servers that name a limit on the requests of all routers."""

import asyncio
import bisect
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import json
import time

from aiohttp import web
import attrs
import pytest

from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import memory_store
from tests.soak import system as system_lib

_ROUTERS = [3, 12]
_ENGINES = 6
_LIMITED = 3
_REQUESTS_PER_S = 40
_DURATION_S = 10.0
# From then on, the requests of routers that were told count.
_CONTACT_S = 3.0
_TOLD_S = 0.5
_WINDOW_S = 4.0
_SLACK = 5


@attrs.define
class _Engine:
    """An engine that may name a limit.

    Attributes:
      limit: Value of its `Server-Limit`; None if it names none.
      address: `host:port`.
      named_s: Time at which it first named a limit.
      told_s: Time of the first such answer to each router.
      arrivals: Time and router of each request.
    """

    limit: str | None = None
    address: str = ""
    named_s: float = float("inf")
    told_s: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)

    async def answer(self, req: web.Request) -> web.Response:
        now_s = time.monotonic()
        router = req.headers["X-Router"]
        self.arrivals.append((now_s, router))
        headers = {
            "X-Attempt-Id": req.headers["X-Attempt-Id"],
            "X-Server-Stamp": "s",
        }
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
            self.named_s = min(self.named_s, now_s)
            self.told_s.setdefault(router, now_s)
        return web.Response(text="ok", headers=headers)

    def most_in_a_window(self) -> int:
        """Returns the most requests that count in 4 s."""
        times = sorted(
            at_s
            for at_s, router in self.arrivals
            if at_s >= self.named_s + _CONTACT_S
            and at_s >= self.told_s.get(router, float("inf")) + _TOLD_S
        )
        return _most_in_a_window(times)


def _most_in_a_window(times: Sequence[float]) -> int:
    return max(
        (
            bisect.bisect_right(times, start_s + _WINDOW_S) - index
            for index, start_s in enumerate(times)
        ),
        default=0,
    )


def _allowed(per_s: float) -> float:
    return 1.5 * per_s * _WINDOW_S + _SLACK


@attrs.define
class _System:
    """Routers with a common store, and the engines that they share."""

    routers: list[gateway_system.System]
    engines: list[_Engine]

    async def load(
        self, duration_s: float, per_s: int = _REQUESTS_PER_S
    ) -> list[int]:
        """Sends requests at a steady rate; returns the statuses."""
        started_s = time.monotonic()
        tasks = []
        for number in range(int(duration_s * per_s)):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._request(number)))
        return await asyncio.gather(*tasks)

    async def _request(self, number: int) -> int:
        router = self.routers[number % len(self.routers)]
        resp = await router.send(
            f"/ask/{number}",
            tokens="10,10",
            X_Attempt_Id=f"a{number}",
            X_Prompt_Prefix=f"p{number % 20}:8,q{number}:2",
            X_Router=router.cfg.process.name,
        )
        async with resp:
            await resp.read()
        return resp.status


@contextlib.asynccontextmanager
async def _running(
    routers: int, limits: Sequence[str | None]
) -> AsyncIterator[_System]:
    """Runs routers before one engine for each limit."""
    store = memory_store.MemoryStore()
    store.apply({}, {operator_config.KEY: gateway_system.config(1_000_000)})
    engines = [_Engine(limit) for limit in limits]
    async with contextlib.AsyncExitStack() as stack:
        for number, engine in enumerate(engines):
            app = web.Application()
            app.router.add_route("*", "/{tail:.*}", engine.answer)
            runner, engine.address = await system_lib.serve(app)
            stack.push_async_callback(runner.cleanup)
            entry = {
                "service": "llm",
                "address": engine.address,
                "state": "ready",
                "slots": 8,
            }
            store.apply(
                {}, {f"servers/llm-{number}": json.dumps(entry).encode()}
            )
        running = [
            await stack.enter_async_context(
                gateway_system.running(
                    backends=0, store=store, name=f"router-{number}"
                )
            )
            for number in range(routers)
        ]
        for router in running:
            await router.wait_until(
                lambda router=router: router.gateway._fleet.size == routers
            )
        try:
            yield _System(running, engines)
        finally:
            await asyncio.gather(*(r.gateway.stop() for r in running))


@pytest.mark.parametrize("routers", _ROUTERS)
async def test_limited_servers_get_what_they_take(routers: int) -> None:
    """Other engines could serve all requests."""
    limit = "1.2"
    limits = [limit] * _LIMITED + [None] * (_ENGINES - _LIMITED)
    async with _running(routers, limits) as system:
        statuses = await system.load(_DURATION_S)
        limited = system.engines[:_LIMITED]
    most = [engine.most_in_a_window() for engine in limited]
    assert max(most) <= _allowed(float(limit)), f"requests in 4 s: {most}"
    assert set(statuses) == {200}
