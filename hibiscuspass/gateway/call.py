"""A caller's request that is ready to be forwarded."""

import attrs
import multidict

from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib


@attrs.frozen
class Call:
    """A request that passed all checks, with the data needed to forward it.

    Attributes:
      req: Properties of the request that routing decisions depend on.
      method: HTTP method.
      target: Path and query as the caller sent them.
      headers: Headers to send to the backend server.
      body: Complete body.
      route: Route that matched the request.
      workspace: Workspace of the API key; None without a known key.
      version: Version of the configuration that the checks used.
      holding: Bytes that the request makes the process keep.
    """

    req: request_lib.ForwardRequest
    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes | bytearray
    route: route_lib.Route
    workspace: route_lib.Workspace | None
    version: int
    holding: byte_budget.Holding = attrs.field(
        factory=byte_budget.make_unlimited
    )

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first: the workspace's, else the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
