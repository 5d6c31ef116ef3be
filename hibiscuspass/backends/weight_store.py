"""The rate-limited weight store."""

import abc

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class WeightInfo:
    """A model version that the store offers."""

    model: str
    version: str
    size_bytes: int


class WeightStore(abc.ABC):
    """Lists weights and grants permission for one load at a time."""

    @abc.abstractmethod
    async def list_weights(
        self, *, timeout_s: float
    ) -> tuple[WeightInfo, ...] | refusal.Refusal:
        """Returns all weights on offer."""

    @abc.abstractmethod
    async def reserve_load(
        self, model: str, version: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Asks for one load; `RATE_LIMITED` with a delay if refused."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
