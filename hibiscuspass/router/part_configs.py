"""Derives the configurations of the router's components from its settings."""

import random
import time

from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.admission import config as admission_config
from hibiscuspass.core.budget import timing
from hibiscuspass.core.dispatch import model_spec
from hibiscuspass.core.membership import config as membership_config
from hibiscuspass.core.retry import ejection
from hibiscuspass.core.routing import config as routing_config
from hibiscuspass.router import limits
from hibiscuspass.settings import machine_memory
from hibiscuspass.settings import router as router_settings

# Time allowed for drawing budget when the key-value service is slow.
_DRAW_ALLOWANCE_S = 0.25
# Corresponds to the block size in bytes of `backends.prompt_blocks` at about
# 4 bytes per token.
_BLOCK_TOKENS = 64
_SEED_BITS = 64


def routing(
    cfg: router_settings.RouterSettings, seed: int
) -> routing_config.RoutingConfig:
    """Returns the configuration of the routing policy."""
    return routing_config.RoutingConfig(
        policy=cfg.routing.policy,
        failure_domain=cfg.process.failure_domain,
        seed=seed,
        block_tokens=_BLOCK_TOKENS,
        index_entries=cfg.routing.prefix_index_entries,
        index_entry_ttl_s=cfg.routing.prefix_entry_ttl_s,
        max_candidates=cfg.routing.candidates,
        prefill_tokens_per_s=cfg.routing.prompt_tokens_per_s,
        max_in_flight_per_engine=cfg.admission.max_per_backend,
        unix_minus_monotonic_s=time.time() - time.monotonic(),
        ejection=ejection.EjectionConfig(
            consecutive_failures=cfg.retry.eject_after_failures,
            base_s=cfg.retry.eject_s,
        ),
    )


def admission(
    cfg: router_settings.RouterSettings,
) -> admission_config.AdmissionConfig:
    """Returns the configuration of admission control."""
    return admission_config.AdmissionConfig(
        max_running=cfg.admission.max_concurrency,
        max_queued=cfg.admission.max_queue,
        max_queued_per_workspace=cfg.admission.max_queue_per_workspace,
    )


def membership(
    cfg: router_settings.RouterSettings,
) -> membership_config.MembershipConfig:
    """Returns the configuration of membership."""
    return membership_config.MembershipConfig(
        list_interval_s=cfg.vm_list.poll_interval_s,
        list_timeout_s=cfg.vm_list.timeout_s,
    )


def budget_timing(
    cfg: router_settings.RouterSettings,
) -> timing.BudgetTiming:
    """Returns the timing of the budget protocol."""
    defaults = timing.BudgetTiming()
    return timing.BudgetTiming(
        # The timeout covers a draw and a recall in addition to the answer.
        ask_timeout_s=cfg.budgets.permit_timeout_s
        + defaults.recall_wait_s
        + _DRAW_ALLOWANCE_S,
        flush_interval_s=cfg.budgets.flush_interval_s,
        # A settlement is confirmed when its batch is flushed, so an earlier
        # retry would only add messages.
        report_retry_s=max(
            defaults.report_retry_s, 2 * cfg.budgets.flush_interval_s
        ),
        orphan_window_s=cfg.budgets.orphan_window_s,
        dedup_retention_s=cfg.budgets.dedup_retention_s,
    )


def caller_limits(cfg: router_settings.RouterSettings) -> limits.Limits:
    """Returns the limits of the caller API."""
    return limits.Limits(
        max_body_bytes=cfg.max_body_bytes,
        body_stall_s=min(limits.Limits().body_stall_s, cfg.body_timeout_s),
        body_total_s=cfg.body_timeout_s,
        max_dispatches=cfg.retry.max_attempts,
        claim_timeout_s=cfg.key_value.timeout_s,
    )


def body_budget(
    cfg: router_settings.RouterSettings,
) -> byte_budget.BudgetConfig:
    """Returns the budget of the bytes of bodies."""
    return byte_budget.make_config(machine_memory.limit_bytes(cfg.memory_mb))


def models(
    cfg: router_settings.RouterSettings,
) -> dict[str, model_spec.ModelSpec]:
    """Returns all models by name."""
    return {
        model.name: model_spec.ModelSpec(
            name=model.name,
            prompt_price=model.prompt_price,
            output_price=model.output_price,
            bytes_per_token_min=model.bytes_per_token_min,
        )
        for model in cfg.models
    }


def services(
    cfg: router_settings.RouterSettings,
) -> dict[str, model_spec.ServiceSpec]:
    """Returns all plain services by name."""
    return {
        service.name: model_spec.ServiceSpec(
            service.name, service.call_cost, service.timeout_s
        )
        for service in cfg.services
    }


def random_seed() -> int:
    """Returns a random seed, so that routers make different choices."""
    return random.SystemRandom().getrandbits(_SEED_BITS)
