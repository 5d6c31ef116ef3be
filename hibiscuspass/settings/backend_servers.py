"""Settings of the protocols of backend servers."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class BackendServerSettings:
    """Protocols of backend servers.

    Attributes:
      engine_adapter: Protocol adapter of model engines.
      service_adapter: Protocol adapter of plain services.
    """

    engine_adapter: str = attrs.field(
        default="openai", validator=checks.one_of("openai")
    )
    service_adapter: str = attrs.field(
        default="http", validator=checks.one_of("http")
    )
