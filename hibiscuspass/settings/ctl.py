"""Settings file of `hibiscuspassctl`."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class CtlSettings:
    """Settings of the command line program `hibiscuspassctl`.

    Attributes:
      address: Base address of the administration program.
      token_file: File with the operator's token.
      ca_file: PEM file with trusted certificates; empty for those of the
        system.
      timeout_s: Time limit of one call in seconds.
    """

    address: str = attrs.field(validator=checks.is_url())
    token_file: str = attrs.field(validator=checks.is_text())
    ca_file: str = ""
    timeout_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.1, 600)
    )
