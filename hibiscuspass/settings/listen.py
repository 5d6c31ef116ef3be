"""Settings of an HTTP listener."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import tls as tls_lib


@attrs.frozen
class ListenSettings:
    """Listen address and certificate of an HTTP server.

    Attributes:
      host: IP address to bind.
      port: TCP port.
      tls: Certificate for HTTPS; None for plain HTTP.
    """

    host: str = attrs.field(validator=checks.is_text())
    port: int = attrs.field(validator=checks.in_range(1, 65535))
    tls: tls_lib.TlsSettings | None = None
