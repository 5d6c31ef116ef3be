"""The parts that the request path is built from."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

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
    """Everything that handlers share.

    Attributes:
      config: Configuration in force.
      budget: Permits and settlement.
      routing: Chooses engines.
      admission: Queues and refuses calls.
      retries: Retry budget and backoff.
      backends: Clients of backend servers.
      claims: Claims of non-repeatable calls.
      lifecycle: Readiness and open calls.
      recorder: Timeline events.
      metrics: Metrics.
      models: Known models by name.
      services: Known plain services by name.
      limits: Limits of the caller API.
      hash_prefix: Hashes the prefix blocks of a request body.
      report_backend: Tells membership that a backend server refuses work.
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
