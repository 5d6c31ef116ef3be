"""Deployments and scenarios of the routing benchmark."""

import attrs


@attrs.frozen
class Deployment:
    """Size of one deployment.

    Attributes:
      name: Short name.
      domains: Number of engines in each failure domain.
      routers: Number of routers, spread over the failure domains.
      latency_s: One-way delay between failure domains.
      rate: Requests per second at base load.
    """

    name: str
    domains: tuple[int, ...]
    routers: int
    latency_s: float
    rate: float


CASABLANCA = Deployment("casablanca", (3, 3, 2, 2), 9, 0.001, 150.0)
CROATIA = Deployment("croatia", (2, 2, 2), 6, 0.0003, 90.0)


@attrs.frozen
class Scenario:
    """Load and faults of one run.

    Attributes:
      name: Short name.
      load: Factor on the base load.
      report_lag_s: Age of load reports when routers receive them.
      lost_cache_events: Fraction of cache events that are lost.
      dead: Engines that refuse connections from the time of the fault.
      silent: Engines that stop answering at the time of the fault.
      lost_domain: Whether a failure domain with its engines and routers fails.
      shared_prefixes: Whether prompts share prefixes.
      hot_share: Fraction of requests that share one prefix.
      within_capacity: Whether the engines have the capacity to meet the
        targets under this load.
    """

    name: str
    load: float = 1.0
    report_lag_s: float = 0.2
    lost_cache_events: float = 0.0
    dead: int = 0
    silent: int = 0
    lost_domain: bool = False
    shared_prefixes: bool = True
    hot_share: float = 0.0
    within_capacity: bool = True


SCENARIOS = (
    Scenario("fault-free"),
    Scenario("unique-prompts", load=0.7, shared_prefixes=False),
    Scenario("hot-prefix", hot_share=0.5),
    Scenario("runner-dies", dead=1),
    Scenario("runner-silent", silent=1),
    Scenario("domain-lost", lost_domain=True),
    Scenario("lag-1s", report_lag_s=1.0),
    Scenario("lag-5s", report_lag_s=5.0),
    Scenario("event-gaps", lost_cache_events=0.05),
    Scenario("twice-load", load=2.0),
    Scenario("overload", load=4.0, within_capacity=False),
)
POLICIES = ("prefix_cost", "round_robin", "least_load", "prefix_affinity")

WARM_UP_S = 8.0
FAULT_S = 15.0
END_S = 35.0
DEADLINE_S = 3.0
