"""Adapter to the platform's VM list, over HTTP."""

import msgspec

from hibiscuspass.backends import http_client
from hibiscuspass.backends import vm_list
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_PATH = "/vms"


class _Listing(msgspec.Struct):
    vms: tuple[vm_list.Vm, ...]


class HttpVmList(vm_list.VmList):
    """Adapter to the VM list at one address."""

    def __init__(self, base_url: str) -> None:
        self._client = http_client.HttpClient(base_url)
        self._decoder = msgspec.json.Decoder(_Listing)

    async def fetch(
        self, *, timeout_s: float
    ) -> tuple[vm_list.Vm, ...] | refusal.Refusal:
        """Returns the VMs that are currently listed.

        If any entry is malformed, the whole list is refused, because a VM that
        is missing from the list is treated as removed by the platform.
        """
        reply = await self._client.call("GET", _PATH, timeout_s=timeout_s)
        if isinstance(reply, http_client.Failure):
            return http_client.call_refusal("VM list", reply)
        if reply.status != 200:
            return http_client.status_refusal("VM list", reply)
        try:
            return self._decoder.decode(reply.body).vms
        except msgspec.MsgspecError as exc:
            return refusal.Refusal(
                reason_lib.Reason.UNAVAILABLE, f"VM list: {exc}"
            )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def make_http_vm_list(address: str) -> HttpVmList:
    """Creates the adapter for a list at `host:port` or a full URL."""
    return HttpVmList(http_client.base_url(address))
