"""Settings file of `hibiscuspass-router`."""

import attrs

from hibiscuspass.settings import admission as admission_lib
from hibiscuspass.settings import backend_servers
from hibiscuspass.settings import budgets as budgets_lib
from hibiscuspass.settings import checks
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import key_value as key_value_lib
from hibiscuspass.settings import listen as listen_lib
from hibiscuspass.settings import logs
from hibiscuspass.settings import models as models_lib
from hibiscuspass.settings import peer_link as peer_link_lib
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import retry as retry_lib
from hibiscuspass.settings import routing as routing_lib
from hibiscuspass.settings import services as services_lib
from hibiscuspass.settings import vm_list as vm_list_lib


@attrs.frozen
class RouterSettings:
    """Settings of a router.

    Attributes:
      process: Identity and location of the process.
      listen: Listener for callers, metrics and probes.
      peer_link: Link to the other processes.
      key_value: Key-value service.
      vm_list: List of VMs.
      backends: Protocols of the backend servers.
      models: Models and prices.
      services: Plain services.
      budgets: Budget runtime.
      routing: Routing policy.
      admission: Admission limits.
      retry: Retries and ejection.
      config: Configuration distribution.
      logging: Log output.
      shutdown_grace_s: Time limit of a graceful shutdown in seconds.
      max_body_bytes: Maximum size of a request body.
      body_timeout_s: Time limit for receiving a request body, in seconds.
      memory_mb: Memory of the VM in megabytes (10^6 bytes); None for what the
        machine allows the process.
    """

    process: process_lib.ProcessSettings
    listen: listen_lib.ListenSettings
    peer_link: peer_link_lib.PeerLinkSettings
    key_value: key_value_lib.KeyValueSettings
    vm_list: vm_list_lib.VmListSettings
    models: tuple[models_lib.ModelSettings, ...] = attrs.field(
        default=(), validator=checks.unique_names()
    )
    services: tuple[services_lib.ServiceSettings, ...] = attrs.field(
        default=(), validator=checks.unique_names()
    )
    budgets: budgets_lib.BudgetSettings = attrs.field(
        factory=budgets_lib.BudgetSettings
    )
    routing: routing_lib.RoutingSettings = attrs.field(
        factory=routing_lib.RoutingSettings
    )
    admission: admission_lib.AdmissionSettings = attrs.field(
        factory=admission_lib.AdmissionSettings
    )
    retry: retry_lib.RetrySettings = attrs.field(
        factory=retry_lib.RetrySettings
    )
    config: config_sync.ConfigSyncSettings = attrs.field(
        factory=config_sync.ConfigSyncSettings
    )
    backends: backend_servers.BackendServerSettings = attrs.field(
        factory=backend_servers.BackendServerSettings
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
    shutdown_grace_s: float = attrs.field(
        default=60.0, validator=checks.in_range(0.1, 3600)
    )
    max_body_bytes: int = attrs.field(
        default=4_194_304, validator=checks.in_range(1, 1_073_741_824)
    )
    body_timeout_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.1, 600)
    )
    memory_mb: float | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(checks.in_range(1, 1e6)),
    )
