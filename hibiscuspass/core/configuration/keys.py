"""Keys under which the key-value service stores configuration."""

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
    """Returns the key of the registration of a router.

    Args:
      process: `name/start_id` of the router.
    """
    return MEMBERS + process
