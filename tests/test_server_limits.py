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
import multidict
import pytest

from hibiscuspass.platform import headers
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
      is_busy: Whether it refuses each other request.
      address: `host:port`.
      named_s: Time at which it first named a limit.
      told_s: Time of the first such answer to each router.
      arrivals: Time and router of each request.
    """

    limit: str | None = None
    is_busy: bool = False
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
        if self.is_busy and len(self.arrivals) % 2:
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
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
    """Routers with a common store, and the engines that they share.

    Attributes:
      routers: Running routers.
      engines: Servers of the tested service.
      method: Method of the requests.
      path: Path of the requests.
      waits_s: Times from requests to their refusals.
      retry_after_s: Values of the refusals' `Retry-After`.
    """

    routers: list[gateway_system.System]
    engines: list[_Engine]
    method: str = "GET"
    path: str = "/ask"
    waits_s: list[float] = attrs.field(factory=list)
    retry_after_s: list[float] = attrs.field(factory=list)

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
        sent_s = time.monotonic()
        resp = await router.send(
            f"{self.path}/{number}",
            method=self.method,
            tokens="10,10",
            X_Attempt_Id=f"a{number}",
            X_Prompt_Prefix=f"p{number % 20}:8,q{number}:2",
            X_Router=router.cfg.process.name,
        )
        async with resp:
            await resp.read()
        if resp.status == 503:
            self.waits_s.append(time.monotonic() - sent_s)
            self.retry_after_s.append(float(resp.headers["Retry-After"]))
        return resp.status


@contextlib.asynccontextmanager
async def _running(
    routers: int, limits: Sequence[str | None], service: str = "llm"
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
                "service": service,
                "address": engine.address,
                "state": "ready",
                "slots": 8,
            }
            store.apply(
                {}, {f"servers/{service}-{number}": json.dumps(entry).encode()}
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


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_second_attempts_need_permits(method: str) -> None:
    """Servers without a limit refuse many requests, which are sent again."""
    async with _running(3, ["1.2", "0.4", None, None], "app") as system:
        system.path = "/status" if method == "GET" else "/order"
        system.method = method
        for engine in system.engines[2:]:
            engine.is_busy = True
        statuses = await system.load(_DURATION_S)
    assert system.engines[0].most_in_a_window() <= _allowed(1.2)
    assert system.engines[1].most_in_a_window() <= _allowed(0.4)
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 0.4 * len(statuses)


@pytest.mark.parametrize("routers", _ROUTERS)
async def test_service_of_limited_servers_refuses_the_rest(
    routers: int,
) -> None:
    """Callers are told at once, and when to come back."""
    limit = "2.5"
    async with _running(routers, [limit] * 2) as system:
        statuses = await system.load(_DURATION_S)
    for engine in system.engines:
        assert engine.most_in_a_window() <= _allowed(float(limit))
    assert set(statuses) == {200, 503}
    # Two servers that accept 2.5 a second, of which a part is used.
    assert statuses.count(200) >= 0.35 * 2 * 2.5 * _DURATION_S
    assert max(system.waits_s) <= 0.6
    assert min(system.retry_after_s) > 0.0
    assert max(system.retry_after_s) <= 5.0


async def test_limit_ends_with_an_answer_without_it() -> None:
    """Routers without a permit since then learn it from their keeper."""
    async with _running(3, ["1.2", None]) as system:
        await system.load(6.0)
        engine = system.engines[0]
        engine.limit = None
        await system.load(6.0)
        before = len(engine.arrivals)
        await system.load(3.0)
    assert len(engine.arrivals) - before >= 0.2 * 3.0 * _REQUESTS_PER_S


async def test_unusable_limits_are_ignored() -> None:
    values = ["soon", "-1", "nan", "inf", "1e3", ""]
    async with _running(1, [*values, None]) as system:
        statuses = await system.load(3.0)
    assert set(statuses) == {200}
    share = len(statuses) / len(system.engines)
    assert min(len(e.arrivals) for e in system.engines) >= 0.4 * share


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], headers.NamedLimit()),
        (["1.2"], headers.NamedLimit(1.2)),
        ([" 3 "], headers.NamedLimit(3.0)),
        (["0"], headers.NamedLimit(0.0)),
        (["2.5", "0.5"], headers.NamedLimit(0.5)),
        (["-1", "4"], headers.NamedLimit(4.0, ("-1",))),
        (["1,2"], headers.NamedLimit(None, ("1,2",))),
        (["x" * 99], headers.NamedLimit(None, ("x" * 40,))),
    ],
)
def test_limit_in_headers(
    values: list[str], expected: headers.NamedLimit
) -> None:
    """Of several values the lowest one counts."""
    answer = multidict.CIMultiDict([("Server-Limit", v) for v in values])
    assert headers.named_limit(answer) == expected
