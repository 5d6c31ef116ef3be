"""Backend selection, repeat budgets and event scanning, without I/O."""

import random
import statistics

import pytest

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import event_scanner
from hibiscuspass.core.forwarding import prompt_cost
from hibiscuspass.core.forwarding import repeat_budget
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import server_capacity

_ENGINE = route_lib.Engine(64, 300_000, 6)
# Prefill rate of the simulated engines in prompt tokens per second.
_RATE = 44_000.0


def _backends(count: int) -> list[backend_lib.Backend]:
    return [
        backend_lib.Backend(
            f"i-{n}", "s", f"10.0.0.{n}:80", "a", 64,
            backend_lib.BackendState.READY,
        )
        for n in range(count)
    ]  # fmt: skip


def _prompt(
    number: int, session: int, tokens: int
) -> request_lib.ForwardRequest:
    parts = (
        request_lib.PromptPart(f"shared-{session % 4}", 2500),
        request_lib.PromptPart(f"session-{session}", 3800),
        request_lib.PromptPart(f"own-{number}", tokens),
    )
    return request_lib.ForwardRequest(
        f"a{number}", 0.0, 5.0, 6300 + tokens, 60, parts
    )


def _router(seed: int) -> prompt_cost.PromptCostSelector:
    return prompt_cost.PromptCostSelector(
        prompt_cost.PromptCostConfig(), "a", random.Random(seed), _ENGINE
    )


def _delayed_share(*, with_peer_messages: bool) -> float:
    """Returns the share of prompts that are delayed by more than 0.4 s.

    Nine simulated routers send long and short prompts to nine engines.
    """
    rng = random.Random(7)
    backends = _backends(9)
    routers = [_router(n) for n in range(9)]
    memory: dict[str, set[str]] = {b.instance: set() for b in backends}
    free_s = {b.instance: 0.0 for b in backends}
    now_s, waits = 0.0, []
    for number in range(1500):
        now_s += rng.expovariate(21.0)
        tokens = min(30_000, round(rng.lognormvariate(7.4, 1.0)))
        req = _prompt(number, rng.randrange(240), tokens)
        router = rng.choice(routers)
        choice = router.choose(req, backends, now_s)
        instance = choice.backend.instance
        new = sum(
            p.tokens
            for p in req.prompt_parts
            if p.part_id not in memory[instance]
        )
        memory[instance].update(p.part_id for p in req.prompt_parts)
        free_s[instance] = max(now_s, free_s[instance]) + new / _RATE
        waits.append(free_s[instance] - now_s)
        router.on_sent(req, choice, now_s)
        router.on_ended(
            choice, server_capacity.Served(waits[-1], waits[-1]), now_s
        )
        if with_peer_messages:
            for peer in routers:
                if peer is not router:
                    peer.on_peer_sent(
                        instance, req.prompt_parts, choice.new_tokens, now_s
                    )
    return statistics.fmean(wait > 0.4 for wait in waits)


def test_announced_prompts_are_spread_over_engines() -> None:
    """Without announcements, routers send long prompts to the same engine."""
    assert _delayed_share(with_peer_messages=True) < 0.5 * _delayed_share(
        with_peer_messages=False
    )


def test_requests_follow_cached_prompt_parts() -> None:
    """An idle engine that has parts of a prompt in its cache is preferred."""
    router = _router(1)
    backends = _backends(5)
    first = router.choose(_prompt(1, 8, 100), backends, 0.0)
    router.on_sent(_prompt(1, 8, 100), first, 0.0)
    router.on_ended(first, server_capacity.Served(0.2, 0.2), 0.2)
    again = router.choose(_prompt(2, 8, 100), backends, 5.0)
    assert again.backend == first.backend
    assert again.new_tokens < first.new_tokens


def test_queued_work_outweighs_cached_prompt_parts() -> None:
    """A busy engine must not get all requests with the same parts."""
    router = _router(1)
    backends = _backends(2)
    first = router.choose(_prompt(1, 8, 100), backends, 0.0)
    for _ in range(20):
        router.on_sent(_prompt(1, 8, 20_000), backend_selector.Choice(
            first.backend, 20_000, 0.0
        ), 0.0)  # fmt: skip
    assert router.choose(_prompt(2, 8, 100), backends, 0.0).backend != (
        first.backend
    )


def test_restarted_engine_has_an_empty_cache() -> None:
    """A restarted engine has an empty cache, although its id is the same."""
    old = backend_lib.Backend(
        "i-1", "s", "h:1", "a", 64, backend_lib.BackendState.READY, 1
    )
    new = backend_lib.Backend(
        "i-1", "s", "h:1", "a", 64, backend_lib.BackendState.READY, 2
    )
    router = _router(1)
    req = _prompt(1, 1, 100)
    router.on_sent(req, router.choose(req, [old], 0.0), 0.0)
    assert router.choose(req, [new], 9.0).new_tokens == req.input_tokens


@pytest.mark.parametrize("routers", [1, 3, 9])
def test_repeats_of_all_routers_stay_within_the_limit(routers: int) -> None:
    """Repeats must not multiply the load of a failing service.

    Several routers share the limit without coordination.
    """
    cfg = repeat_budget.RepeatConfig(ratio=0.2, slack=50, window_s=10.0)
    budgets = [repeat_budget.RepeatBudget(cfg) for _ in range(routers)]
    rng = random.Random(3)
    requests, repeats = [], []
    for step in range(6000):
        now_s = step * 0.01
        budget = rng.choice(budgets)
        budget.on_request(now_s)
        requests.append(now_s)
        if budget.try_repeat(routers, now_s):
            repeats.append(now_s)
    assert repeats
    for start_s in range(0, 50, 5):
        window = range(start_s * 100, (start_s + 10) * 100)
        arrivals = sum(start_s <= t < start_s + 10 for t in repeats)
        assert arrivals <= 0.2 * len(window) + 50


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
@pytest.mark.parametrize("newline", ["\n", "\r\n"])
def test_only_complete_events_are_returned(size: int, newline: str) -> None:
    """Chunks may end within an event, but only complete events are relayed."""
    events = [f"id: {n}{newline}data: x{newline}{newline}" for n in range(9)]
    data = "".join(events).encode() + b"id: 9\ndata"
    scanner = event_scanner.EventScanner()
    out = b"".join(
        scanner.feed(data[i : i + size]) for i in range(0, len(data), size)
    )
    assert out == "".join(events).encode()
    assert (scanner.events, scanner.last_id) == (9, "8")
    assert scanner.is_inside_event
    assert scanner.take_rest() == b"id: 9\ndata"
