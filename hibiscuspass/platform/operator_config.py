"""Decodes the configuration that the operator writes to the store.

Source: the platform's protocol page, "Requests" and "The operator's API".
"""

from typing import Annotated

import msgspec

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table

PREFIX = "op/"
KEY = "op/config"
# The rest of the key is a failure domain that is evacuated while the key
# exists.
EVACUATION_PREFIX = "op/evacuate/"
EVACUATION_VALUE = b"{}"

_KINDS = {kind.value: kind for kind in route_lib.RequestKind}


_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Share(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity: int = 0
    # `stride` is the number of tokens in one event of a stream.
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    cold_start_s: _NotNegative = 0.0
    cold_per_s: _NotNegative = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Config, strict=False)


def decode(data: bytes) -> route_table.RouteTable | refusal.Refusal:
    """Decodes a configuration.

    Returns:
      The route table, or a refusal with `INVALID_REQUEST` if the data is
      invalid.
    """
    try:
        cfg = _DECODER.decode(data)
        routes = [_make_route(r) for r in cfg.routes]
    except (msgspec.MsgspecError, KeyError, RecursionError) as exc:
        return refusal.Refusal(
            reason_lib.Reason.INVALID_REQUEST, f"configuration: {exc}"
        )
    return route_table.make_table(
        cfg.version,
        routes,
        [_make_service(s) for s in cfg.services],
        [
            route_lib.Workspace(t.name, t.priority, t.prepaid)
            for t in cfg.tenants
        ],
        {key: t.name for t in cfg.tenants for key in t.api_keys},
        route_lib.Limits(
            cfg.limits.max_header_bytes,
            cfg.limits.max_body_bytes,
            cfg.limits.header_timeout_ms / 1000,
            cfg.limits.idle_timeout_ms / 1000,
        ),
    )


def evacuated_domain(key: str) -> str | None:
    """Returns the failure domain that a key evacuates.

    Returns:
      Name of the failure domain, empty if the key names none; None if the key
      is not one of an evacuation.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def evacuation_key(failure_domain: str) -> str:
    """Returns the key that evacuates a failure domain."""
    return EVACUATION_PREFIX + failure_domain


def _make_route(data: _Route) -> route_lib.Route:
    shares = data.traffic_split or [_Share(data.service)]
    return route_lib.Route(
        name=data.name,
        host=data.host.lower(),
        path_prefix=data.path_prefix,
        kind=_KINDS[data.kind],
        timeout_s=data.timeout_ms / 1000,
        target_latency_s=data.target_latency_ms / 1000,
        priority=data.priority,
        shares=tuple(
            route_lib.ServiceShare(s.service, s.weight) for s in shares
        ),
        max_attempts=data.max_attempts,
        auth_exempt=data.auth_exempt,
        resumable=data.stream_resume,
        max_pause_s=data.gap_aim_ms / 1000,
    )


def _make_service(data: _Service) -> route_lib.Service:
    engine = None
    if data.engine is not None:
        engine = route_lib.Engine(
            data.engine.slots,
            data.engine.kv_capacity,
            max(1, data.engine.stride),
        )
    return route_lib.Service(
        data.name,
        data.max_connections,
        engine,
        data.cold_start_s,
        data.cold_per_s,
    )
