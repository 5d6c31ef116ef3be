"""Seeded request schedules of ten workspaces, three of them large."""

import itertools
import random

import attrs

from benchmarks import routing_engine
from benchmarks import routing_scenario

# Fraction of the requests and number of prompt templates of each workspace.
_WORKSPACES = (
    (0.30, 60),
    (0.25, 60),
    (0.20, 60),
    *((0.25 / 7, 15) for _ in range(7)),
)
_PREFIX_BLOCKS = (8, 40)
_SUFFIX_TOKENS = (64, 256)
_OUTPUT_TOKENS = (20, 100)


@attrs.frozen
class Arrival:
    """A request that arrives at a router."""

    at_s: float
    router: int
    workspace: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


def make_schedule(
    deployment: routing_scenario.Deployment,
    scenario: routing_scenario.Scenario,
    seed: int,
) -> list[Arrival]:
    """Returns the arrivals of one run in chronological order."""
    rng = random.Random(f"{deployment.name}/{seed}")
    ids = itertools.count(1)
    templates = [
        [
            tuple(next(ids) for _ in range(rng.randint(*_PREFIX_BLOCKS)))
            for _ in range(count)
        ]
        for _, count in _WORKSPACES
    ]
    # The popularity of a workspace's templates decreases with their rank.
    ranks = [
        list(itertools.accumulate(1 / (n + 1) ** 0.7 for n in range(count)))
        for _, count in _WORKSPACES
    ]
    shares = [share for share, _ in _WORKSPACES]
    arrivals = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(deployment.rate * scenario.load)
        if at_s > routing_scenario.END_S:
            return arrivals
        (index,) = rng.choices(range(len(shares)), shares)
        (prefix,) = rng.choices(templates[index], cum_weights=ranks[index])
        if rng.random() < scenario.hot_share:
            prefix = templates[0][0]
        if not scenario.shared_prefixes:
            prefix = tuple(next(ids) for _ in prefix)
        suffix_tokens = rng.randint(*_SUFFIX_TOKENS)
        suffix = suffix_tokens // routing_engine.BLOCK_TOKENS
        arrivals.append(
            Arrival(
                at_s=at_s,
                router=rng.randrange(deployment.routers),
                workspace=f"w{index}",
                blocks=prefix + tuple(next(ids) for _ in range(suffix)),
                prompt_tokens=len(prefix) * routing_engine.BLOCK_TOKENS
                + suffix_tokens,
                output_tokens=rng.randint(*_OUTPUT_TOKENS),
            )
        )
