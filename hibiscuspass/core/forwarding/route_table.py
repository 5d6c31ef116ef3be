"""Immutable lookup table of one version of the operator configuration."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs

from hibiscuspass.core.forwarding import route as route_lib


@attrs.frozen
class RouteTable:
    """Routes, services, workspaces and limits of one configuration version.

    Attributes:
      version: Version of the configuration.
      services: Services by name.
      workspaces: Workspaces by name.
      keys: Workspace names by API key.
      limits: Limits on requests and connections of callers.
    """

    version: int
    services: Mapping[str, route_lib.Service]
    workspaces: Mapping[str, route_lib.Workspace]
    keys: Mapping[str, str]
    limits: route_lib.Limits
    _routes: Mapping[str, tuple[route_lib.Route, ...]]

    @property
    def prepaid_amounts(self) -> dict[str, int]:
        """Prepaid tokens of the workspaces that have a limit."""
        return {
            name: workspace.prepaid
            for name, workspace in self.workspaces.items()
            if workspace.prepaid is not None
        }

    def match(self, host: str, path: str) -> route_lib.Route | None:
        """Returns the route of a host with the longest matching path prefix.

        Args:
          host: Value of the Host header; a port is ignored.
          path: Path of the URL without the query.
        """
        name = host.strip().lower()
        routes = self._routes.get(name) or self._routes.get(
            name.rpartition(":")[0], ()
        )
        return next((r for r in routes if path.startswith(r.path_prefix)), None)

    def workspace_by_api_key(self, key: str) -> route_lib.Workspace | None:
        """Returns the workspace that an API key belongs to."""
        return self.workspaces.get(self.keys.get(key, ""))


def make_table(
    version: int,
    routes: Iterable[route_lib.Route],
    services: Iterable[route_lib.Service],
    workspaces: Iterable[route_lib.Workspace],
    keys: Mapping[str, str],
    limits: route_lib.Limits,
) -> RouteTable:
    """Creates the table; sorts routes by decreasing length of the prefix."""
    ordered = sorted(routes, key=lambda r: (r.host, -len(r.path_prefix)))
    by_host = {
        host: tuple(group)
        for host, group in itertools.groupby(ordered, key=lambda r: r.host)
    }
    return RouteTable(
        version=version,
        services={s.name: s for s in services},
        workspaces={w.name: w for w in workspaces},
        keys=dict(keys),
        limits=limits,
        routes=by_host,
    )
