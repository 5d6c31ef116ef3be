"""Keys of configuration in the key-value service."""

WORKSPACES = "config/workspaces/"
TEMPLATES = "config/templates/"
MEMBERS = "members/"


def workspace(name: str) -> str:
    """Returns the key of a workspace's configuration."""
    return WORKSPACES + name


def template(name: str) -> str:
    """Returns the key of a template."""
    return TEMPLATES + name


def member(process: str) -> str:
    """Returns the key of a router's registration, `name/start_id`."""
    return MEMBERS + process
