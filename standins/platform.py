"""Test server for the platform's VM list and weight store.

Run it with `python -m standins.platform --port 9201`.
"""

from collections.abc import Callable
import time
from typing import Any

from aiohttp import web
import attrs
import defopt
import msgspec
import yaml

from standins import base

_STATES = ("live", "leaving")


@attrs.define
class PlatformFaults(base.Faults):
    """Faults of the platform.

    Attributes:
      list_lag_s: Delay after which a change of the list becomes visible.
    """

    list_lag_s: float = 0.0


class TokenBucket:
    """Limits the rate of weight loads."""

    def __init__(
        self, rate_per_s: float, burst: int, monotonic_s: Callable[[], float]
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._monotonic_s = monotonic_s
        self._tokens = float(burst)
        self._at_s = monotonic_s()

    def take(self) -> float:
        """Takes a token; returns 0, or the seconds until one is available."""
        now_s = self._monotonic_s()
        self._tokens = min(
            self._burst,
            self._tokens + (now_s - self._at_s) * self._rate_per_s,
        )
        self._at_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._rate_per_s


class PlatformStandIn(base.StandIn):
    """Simulates the VM list, which can be edited, and the weight store.

    `PUT /vms/<name>` adds or changes a VM, `DELETE /vms/<name>` removes one,
    and `POST /vms/<name>/leave` sets its state to leaving.
    """

    faults_type = PlatformFaults

    def __init__(
        self,
        *,
        vms: list[dict[str, str]] | None = None,
        weights: list[dict[str, Any]] | None = None,
        loads_per_s: float = 1.0,
        load_burst: int = 2,
        monotonic_s: Callable[[], float] = time.monotonic,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.weights = weights or []
        self.loads: list[dict[str, str]] = []
        self._bucket = TokenBucket(loads_per_s, load_burst, monotonic_s)
        self._monotonic_s = monotonic_s
        self._vms = {vm["name"]: vm for vm in vms or []}
        self._versions: list[tuple[float, list[dict[str, str]]]] = []
        self._publish()

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the VM list and of the weight store."""
        return [
            web.get("/vms", self._get_vms),
            web.put("/vms/{name}", self._put_vm),
            web.delete("/vms/{name}", self._delete_vm),
            web.post("/vms/{name}/leave", self._leave_vm),
            web.get("/weights", self._get_weights),
            web.post("/weights/loads", self._load),
        ]

    def record(self) -> Any:
        """Returns the granted loads and the current VM list."""
        return {"loads": self.loads, "vms": list(self._vms.values())}

    def set_vm(self, vm: dict[str, str]) -> None:
        """Adds or changes a VM.

        Raises:
          ValueError: The state is invalid.
        """
        state = vm.setdefault("state", "live")
        if state not in _STATES:
            raise ValueError(f"state {state!r}: expected one of {_STATES}")
        self._vms[vm["name"]] = vm
        self._publish()

    def leave_vm(self, name: str) -> None:
        """Sets the state of a VM to leaving.

        Raises:
          KeyError: The VM is not listed.
        """
        self.set_vm({**self._vms[name], "state": "leaving"})

    def drop_vm(self, name: str) -> None:
        """Removes a VM.

        Raises:
          KeyError: The VM is not listed.
        """
        del self._vms[name]
        self._publish()

    def _publish(self) -> None:
        self._versions.append(
            (self._monotonic_s(), [dict(vm) for vm in self._vms.values()])
        )

    async def _get_vms(self, request: web.Request) -> web.Response:
        del request
        limit_s = self._monotonic_s() - self.faults.list_lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= limit_s:
            del self._versions[0]
        return base.json_response({"vms": self._versions[0][1]})

    async def _put_vm(self, request: web.Request) -> web.Response:
        vm = msgspec.json.decode(await request.read(), type=dict[str, str])
        try:
            self.set_vm({**vm, "name": request.match_info["name"]})
        except ValueError as exc:
            return base.json_response({"error": str(exc)}, status=400)
        return base.json_response({})

    async def _leave_vm(self, request: web.Request) -> web.Response:
        return self._edit(self.leave_vm, request)

    async def _delete_vm(self, request: web.Request) -> web.Response:
        return self._edit(self.drop_vm, request)

    def _edit(
        self, edit: Callable[[str], None], request: web.Request
    ) -> web.Response:
        name = request.match_info["name"]
        try:
            edit(name)
        except KeyError:
            message = f"VM {name!r}: not listed"
            return base.json_response({"error": message}, status=404)
        return base.json_response({})

    async def _get_weights(self, request: web.Request) -> web.Response:
        del request
        return base.json_response({"weights": self.weights})

    async def _load(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(
            await request.read(), type=dict[str, str]
        )
        if not any(
            (w["model"], w["version"])
            == (requested["model"], requested["version"])
            for w in self.weights
        ):
            return base.json_response({"error": "not on offer"}, status=404)
        wait_s = self._bucket.take()
        if wait_s:
            return base.json_response(
                {"error": "rate limit"},
                status=429,
                headers={"Retry-After": f"{wait_s:.3f}"},
            )
        self.loads.append(requested)
        return base.json_response({})


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    control_port: int | None = None,
    inventory: str = "",
    loads_per_s: float = 1.0,
    load_burst: int = 2,
) -> None:
    """Runs the platform test server.

    Args:
      port: Port to listen on.
      host: Address to listen on.
      control_port: Extra port for faults and records, unaffected by faults.
      inventory: YAML file with the lists `vms` and `weights`.
      loads_per_s: Weight loads granted per second.
      load_burst: Maximum burst of granted weight loads.
    """
    content: dict[str, Any] = {}
    if inventory:
        with open(inventory, encoding="utf-8") as file:
            content = yaml.safe_load(file) or {}
    base.run(
        lambda: PlatformStandIn(
            host=host,
            port=port,
            control_port=control_port,
            vms=content.get("vms"),
            weights=content.get("weights"),
            loads_per_s=loads_per_s,
            load_burst=load_burst,
        )
    )


if __name__ == "__main__":
    defopt.run(main)
