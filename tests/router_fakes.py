"""Fakes of everything that the router's request path depends on."""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
import reactivex

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import controller
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.dispatch import model_spec
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.routing import policy
from hibiscuspass.router import admission_gate
from hibiscuspass.router import backend_pool
from hibiscuspass.router import budget_service
from hibiscuspass.router import caller_api
from hibiscuspass.router import claims
from hibiscuspass.router import config_source
from hibiscuspass.router import fleet_source
from hibiscuspass.router import lifecycle
from hibiscuspass.router import limits as limits_lib
from hibiscuspass.router import metrics
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import retry_policy
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import recorder
from tests import backend_fakes

SELF = incarnation.Incarnation("router-1", "a")
ACCESS_KEY, _STORED_KEY = secrets.make_access_key("ws")
WORKSPACE = workspace_lib.Workspace(
    name="ws",
    models=("m",),
    services=("orders",),
    non_repeatable=(
        workspace_lib.NonRepeatableRule("orders", "POST", "/print"),
    ),
    access_keys=(_STORED_KEY,),
    max_output_tokens=100,
)
AUTH = {"Authorization": f"Bearer {ACCESS_KEY}"}


class FakeConfig(config_source.ConfigSource):
    """A configuration with one workspace."""

    def __init__(self) -> None:
        self.ws = WORKSPACE

    def workspace(self, name: str) -> workspace_lib.Workspace | None:
        return self.ws if name == self.ws.name else None

    def workspace_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | None:
        return self.ws if key_id == _STORED_KEY.key_id else None

    def revision(self, name: str) -> int:
        return 1


class FakeFleet(fleet_source.FleetSource):
    """A fixed fleet of two engines and two servers of service `orders`."""

    def __init__(self) -> None:
        vms = [
            vm_list.Vm(
                name,
                f"127.0.0.1:{port}",
                "fd",
                "r",
                role,
                vm_list.VmState.LIVE,
                service_name,
            )
            for name, port, role, service_name in (
                ("e1", 1, vm_list.VmRole.ENGINE, ""),
                ("e2", 2, vm_list.VmRole.ENGINE, ""),
                ("s1", 3, vm_list.VmRole.SERVICE, "orders"),
                ("s2", 4, vm_list.VmRole.SERVICE, "orders"),
            )
        ]
        self._view = fleet_view.FleetView(
            (), tuple(fleet_view.BackendMember(vm, True) for vm in vms)
        )

    def view(self) -> fleet_view.FleetView:
        return self._view

    def changes(self) -> reactivex.Observable[fleet_view.FleetView]:
        return reactivex.of(self._view)


class FakeBudget(budget_service.BudgetService):
    """Grants every permit unless `reply` is set; records settlements."""

    def __init__(self) -> None:
        self.reply: (
            Callable[
                [permit_lib.PermitRequest],
                permit_lib.Permit | permit_lib.Attach | refusal.Refusal,
            ]
            | None
        ) = None
        self.requests: list[permit_lib.PermitRequest] = []
        self.used_backends: list[str] = []
        self.settlements: list[tuple[int, permit_lib.CostKind]] = []
        self.settlement_recorded = asyncio.Event()

    async def acquire(
        self, req: permit_lib.PermitRequest, *, timeout_s: float
    ) -> permit_lib.Permit | permit_lib.Attach | refusal.Refusal:
        self.requests.append(req)
        if self.reply is not None:
            return self.reply(req)
        return permit(req)

    def mark_used(self, permit: permit_lib.Permit, backend: str) -> None:
        self.used_backends.append(backend)

    def settle(
        self,
        permit: permit_lib.Permit,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        self.settlements.append((cost, kind))
        self.settlement_recorded.set()

    async def drain(self, *, timeout_s: float) -> bool:
        return True


def permit(
    req: permit_lib.PermitRequest, backend: str = ""
) -> permit_lib.Permit:
    return permit_lib.Permit(
        req.request_id,
        req.attempt_id,
        req.workspace,
        "g1",
        SELF,
        req.worst_case,
        backend,
    )


class FakeRouting(policy.RoutingPolicy):
    """Chooses the first engine that is not excluded."""

    def __init__(self) -> None:
        self.backends = ["e1", "e2"]
        self.finished: list[bool] = []

    def choose(
        self, query: policy.RouteQuery, now_s: float
    ) -> policy.Route | refusal.Refusal:
        for name in self.backends:
            if name not in query.excluded:
                return policy.Route(name, 0.1, 0)
        return refusal.Refusal(reason.Reason.NO_BACKEND, "no engine")

    def on_dispatch(self, query, route, now_s) -> None:
        pass

    def on_first_token(self, request_id, now_s) -> None:
        pass

    def on_finish(self, request_id, succeeded, now_s) -> None:
        self.finished.append(succeeded)

    def on_load_report(self, report, now_s) -> None:
        pass

    def on_cache_event(self, event, now_s) -> None:
        pass

    def set_backends(self, backends, now_s) -> None:
        pass


class FakeAdmission(controller.AdmissionController):
    """Admits, queues or refuses as set in `decision`."""

    def __init__(self) -> None:
        self.decision: (
            controller.Admitted | controller.Queued | refusal.Refusal
        ) = controller.Admitted()
        self.admitted_ids: set[str] = set()

    def admit(self, req, now_s):
        if not isinstance(self.decision, refusal.Refusal):
            self.admitted_ids.add(req.request_id)
        return self.decision

    def release(self, request_id, now_s):
        self.admitted_ids.remove(request_id)
        return ()

    def expire(self, now_s):
        return tuple(
            controller.Decision(
                request_id,
                refusal.Refusal(reason.Reason.DEADLINE, "too late"),
            )
            for request_id in self.admitted_ids
        )


class FakeRetries(retry_policy.RetryPolicy):
    """Allows a number of retries without delay."""

    def __init__(self) -> None:
        self.retries_left = 10

    def on_request(self) -> None:
        pass

    def allow_retry(self) -> bool:
        self.retries_left -= 1
        return self.retries_left >= 0

    def delay_s(self, retry: int) -> float:
        return 0.0


@attrs.define(eq=False)
class Router:
    """A caller API on a loopback port that uses fakes."""

    config: FakeConfig
    budget: FakeBudget
    routing: FakeRouting
    admission: FakeAdmission
    retries: FakeRetries
    engines: dict[str, backend_fakes.FakeEngine]
    services: dict[str, backend_fakes.FakeService]
    kv: backend_fakes.FakeKv
    lifecycle: lifecycle.Lifecycle
    parts: parts_lib.Parts
    api: caller_api.CallerApi
    session: aiohttp.ClientSession
    reported_servers: list[str]

    def url(self, path: str) -> str:
        return f"http://127.0.0.1:{self.api.port}{path}"

    def post(self, path: str, body: object = None, **kwargs):
        headers = {**AUTH, **kwargs.pop("headers", {})}
        return self.session.post(
            self.url(path), json=body, headers=headers, **kwargs
        )

    def chat(self, *, stream: bool = False, key: str = "", **fields):
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": "hi"}],
            "stream": stream,
            **fields,
        }
        headers = {"Idempotency-Key": key} if key else {}
        return self.post("/v1/chat/completions", body, headers=headers)

    async def close(self) -> None:
        await self.session.close()
        await self.lifecycle.finish(timeout_s=0, cut_s=5)
        await self.api.close()


async def start_router(
    limits: limits_lib.Limits | None = None,
    kv: backend_fakes.FakeKv | None = None,
) -> Router:
    """Starts a router; several may share a key-value store."""
    config, budget, routing = FakeConfig(), FakeBudget(), FakeRouting()
    admission, retries = FakeAdmission(), FakeRetries()
    engines = {name: backend_fakes.FakeEngine(name) for name in ("e1", "e2")}
    services = {name: backend_fakes.FakeService(name) for name in ("s1", "s2")}
    kv = kv or backend_fakes.FakeKv()
    life = lifecycle.Lifecycle()
    reported_servers: list[str] = []
    parts = parts_lib.Parts(
        config=config,
        budget=budget,
        routing=routing,
        admission=admission_gate.AdmissionGate(admission),
        retries=retries,
        backends=backend_pool.BackendPool(
            FakeFleet(),
            lambda vm: engines[vm.name],
            lambda vm: services[vm.name],
        ),
        claims=claims.ClaimStore(kv, life, timeout_s=1.0),
        lifecycle=life,
        recorder=recorder.Recorder(SELF),
        metrics=metrics.RouterMetrics(),
        models={"m": model_spec.ModelSpec("m"), "x": model_spec.ModelSpec("x")},
        services={"orders": model_spec.ServiceSpec("orders")},
        limits=limits or limits_lib.Limits(),
        hash_prefix=lambda body: (),
        report_backend=lambda name, draining: reported_servers.append(name),
    )
    api = caller_api.CallerApi(parts)
    await api.start("127.0.0.1", 0)
    return Router(
        config,
        budget,
        routing,
        admission,
        retries,
        engines,
        services,
        kv,
        life,
        parts,
        api,
        aiohttp.ClientSession(),
        reported_servers,
    )
