"""Messages that distribute configuration between processes."""

import attrs

from hibiscuspass.core.configuration import entry as entry_lib


@attrs.frozen
class KnownRouter:
    """A router known to the sender of a message.

    Attributes:
      process: `name/start_id`.
      address: `host:port` of its peer link.
    """

    process: str
    address: str


@attrs.frozen
class ConfigAnnounce:
    """Tells a router about changed configuration; answered by `ConfigAck`.

    Attributes:
      entries: The changed workspaces.
    """

    entries: tuple[entry_lib.ConfigEntry, ...]


@attrs.frozen
class Acknowledged:
    """The lowest revision of a workspace that a router may still serve."""

    name: str
    revision: int


@attrs.frozen
class ConfigAck:
    """Answer to `ConfigAnnounce` and `ConfigHello`.

    Attributes:
      process: `name/start_id` of the answering router.
      acknowledged: One item per announced workspace.
      routers: All routers that the answering router knows, except those that
        are certainly gone.
    """

    process: str
    acknowledged: tuple[Acknowledged, ...]
    routers: tuple[KnownRouter, ...]


@attrs.frozen
class ConfigHello:
    """Makes routers known to a peer; answered by `ConfigAck`.

    Attributes:
      routers: Routers that the peer must list in its `ConfigAck` from now on.
    """

    routers: tuple[KnownRouter, ...]


@attrs.frozen
class ConfigFetch:
    """Asks for the configuration of workspaces; answered by `ConfigCopy`."""

    names: tuple[str, ...]


@attrs.frozen
class ConfigCopy:
    """The requested workspaces that the answering router has loaded."""

    entries: tuple[entry_lib.ConfigEntry, ...]


MESSAGE_TYPES: tuple[type, ...] = (
    ConfigAnnounce,
    ConfigAck,
    ConfigHello,
    ConfigFetch,
    ConfigCopy,
)
