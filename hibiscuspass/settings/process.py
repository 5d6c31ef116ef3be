"""Identity and place of a process."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ProcessSettings:
    """Where a process runs; a VM can't find this out by itself.

    Attributes:
      name: Name, unique in the fleet; the name of its VM for routers.
      address: IP address of the VM.
      failure_domain: Failure domain of the VM.
      region: Region of the VM.
    """

    name: str = attrs.field(validator=checks.is_name())
    address: str = attrs.field(validator=checks.is_text())
    failure_domain: str = attrs.field(validator=checks.is_text())
    region: str = attrs.field(validator=checks.is_text())
