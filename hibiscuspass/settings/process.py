"""Settings of the identity and location of a process."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ProcessSettings:
    """Identity and location of a process.

    They are settings because a VM has no means to determine them.

    Attributes:
      name: Name, unique in the fleet; a router has the name of its VM.
      address: IP address of the VM.
      failure_domain: Failure domain of the VM.
      region: Region of the VM.
    """

    name: str = attrs.field(validator=checks.is_name())
    address: str = attrs.field(validator=checks.is_text())
    failure_domain: str = attrs.field(validator=checks.is_text())
    region: str = attrs.field(validator=checks.is_text())
