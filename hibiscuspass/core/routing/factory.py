"""Factory of routing policies."""

from collections.abc import Callable

from hibiscuspass.core.routing import baselines
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import policy
from hibiscuspass.core.routing import prefix_cost

_POLICIES: dict[str, Callable[[config.RoutingConfig], policy.RoutingPolicy]] = {
    "prefix_cost": prefix_cost.PrefixCost,
    "round_robin": baselines.RoundRobin,
    "least_load": baselines.LeastLoad,
    "prefix_affinity": baselines.PrefixAffinity,
}


def make_routing_policy(
    cfg: config.RoutingConfig | None = None,
) -> policy.RoutingPolicy:
    """Returns the policy that `cfg.policy` names.

    Raises:
      ValueError: `cfg.policy` is unknown.
    """
    cfg = cfg or config.RoutingConfig()
    make = _POLICIES.get(cfg.policy)
    if make is None:
        raise ValueError(
            f"routing policy {cfg.policy!r}: allowed are "
            f"{', '.join(sorted(_POLICIES))}"
        )
    return make(cfg)
