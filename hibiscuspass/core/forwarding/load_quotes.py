"""Selection of engines in large fleets, where no router sees all requests.

Load pattern: hundreds of routers send prompts that share parts to dozens of
engines of different speeds, and each router sees a request per engine every few
seconds. What a router learns by itself is too little, and messages to all
routers would grow with the fleet. Therefore each engine has a monitor, the one
router that is told of the requests to it and of their ends. Rendezvous hashing
of the shared prompt part yields the same few candidates at all routers, so that
the part is cached there; a part with much of the traffic gets more. The router
tells the monitor of the first candidate what it has seen at other engines. The
monitor books the request unless its engine would be worse than that; then the
router asks the other candidates at once. The number of messages per request is
bounded.
"""

from collections.abc import Sequence
import random

import attrs
import xxhash

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import prompt_cost
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import server_capacity

# In a fleet of up to this size, routers announce their prompts to each other,
# and engines need no monitors.
MAX_ANNOUNCING_ROUTERS = 10
# Engines that may serve the requests with the same shared prompt part, unless
# the part has much of the traffic, and the most engines that a request asks
# about. With two, a part with much of the traffic overloads both.
CANDIDATES = 4
# Engines per router that monitors engines.
_ENGINES_PER_MONITOR = 2
# Wait up to which the first candidate is taken without asking for others. A
# shorter one has more prompt parts read again at other engines.
_SHORT_WAIT_S = 0.1
# Time to read a prompt relative to that of a typical engine up to which the
# first candidate is taken without asking for others.
_NORMAL_SLOWNESS = 1.1
# Cost above that of a typical engine up to which the first candidate is taken
# without asking for others, in seconds.
_BOOKED_EXCESS_S = 0.05
# Weight of a quote in the means of a service. A router asks for a few quotes a
# second, and the load changes within seconds.
_QUOTE_WEIGHT = 0.1


def candidates(
    req: request_lib.ForwardRequest,
    backends: Sequence[backend_lib.Backend],
    spread: int = 0,
    rng: random.Random | None = None,
) -> list[backend_lib.Backend]:
    """Returns the engines to ask for a request, the first one first.

    Args:
      req: Request to send.
      backends: Engines that accept requests.
      spread: Number of engines for the shared prompt part, see `part_loads`.
      rng: Spreads the requests of a part with much of the traffic.
    """
    key = req.affinity_key or req.attempt_id
    ranked = sorted(backends, key=lambda b: _hash(f"{key}/{b.instance}"))
    if spread <= 1 or rng is None:
        return ranked[:CANDIDATES]
    first = rng.choice(ranked[:spread])
    others = [b for b in ranked[: max(CANDIDATES, spread)] if b is not first]
    return [first, *rng.sample(others, min(CANDIDATES - 1, len(others)))]


class TypicalEngine:
    """Means of the engines of one service in the quotes of their monitors."""

    def __init__(self) -> None:
        self.value = server_capacity.Typical()

    def on_quote(self, quote: engine_loads.Quote) -> None:
        """Records a quote."""
        old = self.value
        self.value = server_capacity.Typical(
            _mean(old.load, quote.load),
            _mean(old.token_s, quote.token_s),
            _mean(old.pause_s, quote.pause_s),
        )


class Monitors:
    """Routers that monitor the engines of all services."""

    def __init__(self) -> None:
        self._routers: frozenset[str] = frozenset()
        self._ranked: list[str] = []

    def set_routers(self, routers: frozenset[str]) -> None:
        """Sets the names of the routers that are alive."""
        if routers != self._routers:
            self._routers = routers
            self._ranked = sorted(routers, key=lambda n: _hash(f"monitor/{n}"))

    def of(self, instance: str, engines: int) -> str:
        """Returns the name of the router that monitors an engine.

        Args:
          instance: Instance of the engine.
          engines: Number of engines of the service.
        """
        count = max(1, engines // _ENGINES_PER_MONITOR)
        return min(self._ranked[:count], key=lambda n: _hash(f"{instance}/{n}"))


def is_acceptable(
    quote: engine_loads.Quote,
    typical: server_capacity.Typical,
    cfg: prompt_cost.PromptCostConfig,
    events: int,
) -> bool:
    """Returns whether no other candidates need to be asked.

    Args:
      quote: Quote of the first candidate.
      typical: Means of the engines as the asking router knows them.
      cfg: Parameters of the cost.
      events: Expected number of events of the answer.
    """
    expected = engine_loads.Quote(
        quote.new_tokens,
        0.0,
        _NORMAL_SLOWNESS
        * quote.new_tokens
        * (typical.token_s or quote.token_s),
        typical.load,
        typical.token_s,
        typical.pause_s or quote.pause_s,
    )
    without_wait = attrs.evolve(quote, wait_s=0.0)
    excess_s = cfg.cost_s(without_wait, events) - cfg.cost_s(expected, events)
    return quote.wait_s <= _SHORT_WAIT_S and excess_s <= _BOOKED_EXCESS_S


def _mean(mean: float, value: float) -> float:
    if not mean or not value:
        return mean or value
    return mean + _QUOTE_WEIGHT * (value - mean)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
