"""One request of a caller while it is forwarded."""

import attrs
import multidict

from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib


@attrs.frozen
class Call:
    """A request that passed all checks.

    Attributes:
      req: What the decisions see.
      method: HTTP method.
      target: Path and query as the caller sent them.
      headers: Headers to pass on.
      body: Whole body.
      route: Route of the request.
      workspace: Workspace of the key; None on routes without keys.
      version: Configuration version that allowed the request.
    """

    req: request_lib.ForwardRequest
    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    route: route_lib.Route
    workspace: route_lib.Workspace | None
    version: int

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first; the workspace's goes before."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
