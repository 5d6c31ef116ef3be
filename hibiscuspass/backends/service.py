"""Interface of plain services, such as an order or booking service."""

import abc
from collections.abc import Mapping

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class ServiceRequest:
    """One call of a plain service.

    Attributes:
      request_id: Unique id, sent as `X-Request-Id`.
      method: HTTP method.
      path: Path and query string, relative to the service's base address.
      headers: Headers to forward.
      body: Raw body.
    """

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ServiceResponse:
    """The complete response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Service(abc.ABC):
    """One backend server of a plain service."""

    name: str

    @abc.abstractmethod
    async def call(
        self, req: ServiceRequest, *, timeout_s: float
    ) -> ServiceResponse | refusal.Refusal:
        """Calls the service once.

        A refusal has `run` set to `NO` only if no byte reached the service or
        the service answered that it did not run the call.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
