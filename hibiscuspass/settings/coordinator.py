"""Settings file of `hibiscuspass-coordinator`."""

import attrs

from hibiscuspass.settings import backend_servers
from hibiscuspass.settings import checks
from hibiscuspass.settings import key_value as key_value_lib
from hibiscuspass.settings import listen as listen_lib
from hibiscuspass.settings import logs
from hibiscuspass.settings import peer_link as peer_link_lib
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import vm_list as vm_list_lib
from hibiscuspass.settings import weight_store as weight_store_lib


@attrs.frozen
class CoordinatorSettings:
    """Settings of the coordinator.

    Attributes:
      process: Identity and location of the process.
      listen: Listener for metrics and probes.
      peer_link: Link to the other processes.
      key_value: Key-value service.
      vm_list: List of VMs.
      backends: Protocols of the backend servers.
      weight_store: Weight store.
      lease_ttl_s: TTL of the coordinator's lease in seconds.
      reconcile_interval_s: Interval between comparisons of the reported with
        the desired state, in seconds.
      logging: Log output.
    """

    process: process_lib.ProcessSettings
    listen: listen_lib.ListenSettings
    peer_link: peer_link_lib.PeerLinkSettings
    key_value: key_value_lib.KeyValueSettings
    vm_list: vm_list_lib.VmListSettings
    weight_store: weight_store_lib.WeightStoreSettings
    lease_ttl_s: int = attrs.field(
        default=10, validator=checks.in_range(1, 600)
    )
    reconcile_interval_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.05, 600)
    )
    backends: backend_servers.BackendServerSettings = attrs.field(
        factory=backend_servers.BackendServerSettings
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
