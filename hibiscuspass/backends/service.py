"""Plain services beside the engines, such as orders and bookings."""

import abc
from collections.abc import Mapping

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class ServiceRequest:
    """One call of a plain service.

    Attributes:
      request_id: Unique id, passed on as `X-Request-Id`.
      method: HTTP method.
      path: Path and query below the service's base address.
      headers: Headers to pass on.
      body: Raw body.
    """

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ServiceResponse:
    """The whole answer of a plain service."""

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

        A refusal has `run` set to `NO` only if no byte reached the service.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
