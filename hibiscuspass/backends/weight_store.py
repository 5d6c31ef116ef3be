"""Interface of the rate-limited store of model weights."""

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
    """Lists weights and permits their loads at a limited rate."""

    @abc.abstractmethod
    async def list_weights(
        self, *, timeout_s: float
    ) -> tuple[WeightInfo, ...] | refusal.Refusal:
        """Returns all weights that the store offers."""

    @abc.abstractmethod
    async def reserve_load(
        self, model: str, version: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Requests permission to load the weights of a model once.

        The refusal is `RATE_LIMITED`, with a retry delay, if the store's rate
        limit is exceeded.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
