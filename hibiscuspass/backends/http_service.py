"""Adapter to plain HTTP services."""

from hibiscuspass.backends import http_client
from hibiscuspass.backends import service
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the adapter
# sets itself.
_HEADERS_NOT_FORWARDED = frozenset(
    {
        "accept-encoding",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


class HttpService(service.Service):
    """Adapter to one backend server of a service.

    A call is sent at most once. Its connection is closed after a timeout.
    """

    def __init__(self, name: str, base_url: str) -> None:
        self.name = name
        self._client = http_client.HttpClient(base_url)

    async def call(
        self, req: service.ServiceRequest, *, timeout_s: float
    ) -> service.ServiceResponse | refusal.Refusal:
        """Calls the service once.

        A response with status 400 or above and `X-Not-Run: 1` becomes a
        refusal with `run` set to `NO`. Every other response to this request is
        returned as it is, without the headers that are not forwarded.
        """
        reply = await self._client.call(
            req.method,
            req.path,
            headers={
                **_forwarded_headers(req.headers),
                "X-Request-Id": req.request_id,
            },
            body=req.body or None,
            timeout_s=timeout_s,
        )
        if isinstance(reply, http_client.Failure):
            return self._failure_refusal(reply)
        answered_id = reply.headers.get("X-Request-Id")
        if answered_id != req.request_id:
            await self._client.retire_connections()
            return self._make_refusal(
                reason_lib.Reason.BACKEND_LOST,
                f"answer for request {answered_id!r}: expected"
                f" {req.request_id!r}",
                run_state.RunState.UNKNOWN,
            )
        if reply.status >= 400 and reply.headers.get("X-Not-Run") == "1":
            return self._make_refusal(
                reason_lib.Reason.BACKEND_REFUSED,
                f"status {reply.status}",
                run_state.RunState.NO,
                http_client.retry_after_s(reply.headers),
            )
        return service.ServiceResponse(
            reply.status, _forwarded_headers(reply.headers), reply.body
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    def _failure_refusal(self, failure: http_client.Failure) -> refusal.Refusal:
        run = run_state.RunState.NO
        if failure.sent:
            run = run_state.RunState.UNKNOWN
        return self._make_refusal(
            http_client.failure_reason(failure), failure.detail, run
        )

    def _make_refusal(
        self,
        reason: reason_lib.Reason,
        detail: str,
        run: run_state.RunState,
        retry_after_s: float | None = None,
    ) -> refusal.Refusal:
        return refusal.Refusal(
            reason, f"service {self.name}: {detail}", run, retry_after_s
        )


def _forwarded_headers(headers: http_client.Headers) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HEADERS_NOT_FORWARDED
    }


def make_http_service(name: str, address: str) -> HttpService:
    """Creates the adapter for a service at `host:port` or a full URL."""
    return HttpService(name, http_client.base_url(address))
