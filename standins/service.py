"""Test server for a plain service, such as orders or bookings.

Every request except GET and HEAD counts as one run, for example a booking.
Run it with `python -m standins.service --port 9101`.
"""

import collections
from typing import Any

from aiohttp import web
import attrs
import defopt

from standins import base


@attrs.define
class ServiceFaults(base.Faults):
    """Faults of a plain service.

    Attributes:
      drain: The service is shutting down and refuses new requests.
      wrong_request_id: Replies carry the id of another request.
      fail_after_run: Number of further calls that run but reply with
        status 500.
    """

    drain: bool = False
    wrong_request_id: bool = False
    fail_after_run: int = 0


class ServiceStandIn(base.StandIn):
    """Accepts every call and records the runs."""

    faults_type = ServiceFaults

    def __init__(self, *, name: str = "orders", **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.name = name
        self.runs: list[dict[str, Any]] = []
        self.refused: collections.Counter[str] = collections.Counter()

    def routes(self) -> list[web.RouteDef]:
        """Returns one route that accepts every method and path."""
        return [web.route("*", "/{path:.*}", self._serve)]

    def record(self) -> Any:
        """Returns every run in order and the refusals by request id."""
        return {"runs": self.runs, "refused": dict(self.refused)}

    async def _serve(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Request-Id", "")
        sent_id = "other" if self.faults.wrong_request_id else request_id
        headers = {"X-Request-Id": sent_id, "X-Service": self.name}
        if self.faults.drain:
            self.refused[request_id] += 1
            return base.json_response(
                {"error": "draining"},
                status=503,
                headers={**headers, "X-Not-Run": "1", "Retry-After": "1"},
            )
        body = (await request.read()).decode(errors="replace")
        run = {
            "number": len(self.runs) + 1,
            "request_id": request_id,
            "method": request.method,
            "path": request.path_qs,
            "idempotency_key": request.headers.get("Idempotency-Key", ""),
            "body": body,
        }
        if request.method not in ("GET", "HEAD"):
            self.runs.append(run)
        if self.faults.fail_after_run > 0:
            self.faults.fail_after_run -= 1
            return base.json_response(
                {"error": "fault"}, status=500, headers=headers
            )
        return base.json_response(
            {"service": self.name, **run}, headers=headers
        )


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    control_port: int | None = None,
    name: str = "orders",
) -> None:
    """Runs the service test server.

    Args:
      port: Port to listen on.
      host: Address to listen on.
      control_port: Extra port for faults and records, unaffected by faults.
      name: Name of the service, shown in replies.
    """
    base.run(
        lambda: ServiceStandIn(
            host=host, port=port, control_port=control_port, name=name
        )
    )


if __name__ == "__main__":
    defopt.run(main)
