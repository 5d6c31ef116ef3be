"""Adapter to the rate-limited weight store, over HTTP."""

import msgspec

from hibiscuspass.backends import http_client
from hibiscuspass.backends import weight_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_LIST_PATH = "/weights"
_LOAD_PATH = "/weights/loads"


class _Listing(msgspec.Struct):
    weights: tuple[weight_store.WeightInfo, ...]


class HttpWeightStore(weight_store.WeightStore):
    """Adapter to the weight store at one address."""

    def __init__(self, base_url: str) -> None:
        self._client = http_client.HttpClient(base_url)

    async def list_weights(
        self, *, timeout_s: float
    ) -> tuple[weight_store.WeightInfo, ...] | refusal.Refusal:
        """Returns all weights that the store offers."""
        reply = await self._client.call("GET", _LIST_PATH, timeout_s=timeout_s)
        if isinstance(reply, http_client.Failure):
            return http_client.call_refusal("weight store", reply)
        if reply.status != 200:
            return http_client.status_refusal("weight store", reply)
        try:
            return msgspec.json.decode(reply.body, type=_Listing).weights
        except msgspec.MsgspecError as exc:
            return refusal.Refusal(
                reason_lib.Reason.UNAVAILABLE, f"weight store: {exc}"
            )

    async def reserve_load(
        self, model: str, version: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Requests permission to load the weights of a model once.

        The refusal is `RATE_LIMITED`, with a retry delay, if the store's rate
        limit is exceeded. After `TIMEOUT` the store may have counted the load
        against its limit.
        """
        reply = await self._client.call(
            "POST",
            _LOAD_PATH,
            body=msgspec.json.encode({"model": model, "version": version}),
            timeout_s=timeout_s,
        )
        if isinstance(reply, http_client.Failure):
            return http_client.call_refusal("weight store", reply)
        if reply.status == 200:
            return None
        detail = f"weight store: load of {model!r} version {version!r}"
        if reply.status == 429:
            return refusal.Refusal(
                reason_lib.Reason.RATE_LIMITED,
                f"{detail}: over the rate limit",
                retry_after_s=http_client.retry_after_s(reply.headers),
            )
        if reply.status == 404:
            return refusal.Refusal(
                reason_lib.Reason.NOT_FOUND, f"{detail}: not on offer"
            )
        return http_client.status_refusal("weight store", reply)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def make_http_weight_store(address: str) -> HttpWeightStore:
    """Creates the adapter for a store at `host:port` or a full URL."""
    return HttpWeightStore(http_client.base_url(address))
