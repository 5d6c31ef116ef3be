"""Components that the handlers of the request path share."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.dispatch import model_spec
from hibiscuspass.core.routing import policy
from hibiscuspass.router import admission_gate
from hibiscuspass.router import backend_pool
from hibiscuspass.router import budget_service
from hibiscuspass.router import claims
from hibiscuspass.router import config_source
from hibiscuspass.router import lifecycle
from hibiscuspass.router import limits
from hibiscuspass.router import metrics
from hibiscuspass.router import retry_policy
from hibiscuspass.telemetry import recorder

PrefixHasher = Callable[[Mapping[str, Any]], Sequence[int]]


@attrs.frozen(eq=False)
class Parts:
    """Components shared by all request handlers.

    Attributes:
      config: Source of the workspace configurations.
      budget: Acquires and settles permits.
      routing: Policy that chooses engines.
      admission: Queues, admits and refuses calls.
      retries: Retry budget and backoff.
      backends: Clients of the backend servers.
      claims: Claims that prevent repeated execution of non-idempotent calls.
      lifecycle: Readiness and open calls.
      recorder: Recorder of timeline events.
      metrics: Metrics of the request path.
      models: Configured models by name.
      services: Configured plain services by name.
      limits: Limits of the caller API.
      hash_prefix: Returns the hashes of the prefix blocks of a request body.
      report_backend: Reports to membership, by server name, whether a backend
        server is draining.
      bodies: Budget of the bytes of all bodies that are kept.
    """

    config: config_source.ConfigSource
    budget: budget_service.BudgetService
    routing: policy.RoutingPolicy
    admission: admission_gate.AdmissionGate
    retries: retry_policy.RetryPolicy
    backends: backend_pool.BackendPool
    claims: claims.ClaimStore
    lifecycle: lifecycle.Lifecycle
    recorder: recorder.Recorder
    metrics: metrics.RouterMetrics
    models: Mapping[str, model_spec.ModelSpec]
    services: Mapping[str, model_spec.ServiceSpec]
    limits: limits.Limits
    hash_prefix: PrefixHasher
    report_backend: Callable[[str, bool], None]
    bodies: byte_budget.ByteBudget = attrs.field(
        factory=lambda: byte_budget.ByteBudget(byte_budget.BudgetConfig())
    )
