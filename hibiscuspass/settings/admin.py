"""Settings file of `hibiscuspass-admin`."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import key_value as key_value_lib
from hibiscuspass.settings import listen as listen_lib
from hibiscuspass.settings import logs
from hibiscuspass.settings import models as models_lib
from hibiscuspass.settings import peer_link as peer_link_lib
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import services as services_lib
from hibiscuspass.settings import vm_list as vm_list_lib


@attrs.frozen
class OperatorToken:
    """An operator's token, stored as a salted hash.

    Attributes:
      name: Name of the operator, as written in the log.
      salt: Hex-encoded salt.
      digest: Hex-encoded digest of salt and token.
    """

    name: str = attrs.field(validator=checks.is_name())
    salt: str = attrs.field(validator=checks.is_text())
    digest: str = attrs.field(validator=checks.is_text())


@attrs.frozen
class Operators:
    """Contents of the file with the operators' tokens.

    Attributes:
      operators: One entry per operator, as `hibiscuspassctl keygen-operator`
        prints it.
    """

    operators: tuple[OperatorToken, ...] = attrs.field(
        validator=checks.unique_names()
    )


@attrs.frozen
class AdminSettings:
    """Settings of the administration program.

    Attributes:
      process: Identity and location of the process.
      listen: Listener for operators, metrics and probes.
      peer_link: Link to the routers.
      key_value: Key-value service.
      vm_list: List of VMs.
      operators_file: File with the operators' tokens; see `Operators`.
      models: Models that workspaces may name.
      services: Plain services that workspaces may name.
      router_timeout_s: Time limit for the response of one router, in seconds.
      logging: Log output.
    """

    process: process_lib.ProcessSettings
    listen: listen_lib.ListenSettings
    peer_link: peer_link_lib.PeerLinkSettings
    key_value: key_value_lib.KeyValueSettings
    vm_list: vm_list_lib.VmListSettings
    operators_file: str = attrs.field(validator=checks.is_text())
    models: tuple[models_lib.ModelSettings, ...] = attrs.field(
        default=(), validator=checks.unique_names()
    )
    services: tuple[services_lib.ServiceSettings, ...] = attrs.field(
        default=(), validator=checks.unique_names()
    )
    router_timeout_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 30)
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
