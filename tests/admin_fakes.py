"""The administration API with in-memory fakes of its dependencies."""

from aiohttp import test_utils

from hibiscuspass.admin import app as app_lib
from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import context
from hibiscuspass.admin import ledger_store
from hibiscuspass.admin import registrations
from hibiscuspass.admin import report_gatherer
from hibiscuspass.core import incarnation
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import config_fakes


class Admin:
    """Serves the API over fakes; has a client and two operators' tokens."""

    def __init__(self):
        self.store = config_fakes.FakeKvStore(config_fakes.KvData())
        self.vms = config_fakes.FakeVmList()
        self.network = config_fakes.Network()
        admin = incarnation.Incarnation("admin", "1")
        recorder = recorder_lib.Recorder(admin)
        transport = config_fakes.FakeTransport(self.network, admin, "admin:1")
        self.ledgers = ledger_store.LedgerStore(self.store, admin, 0.05)
        self.reports = report_gatherer.ReportGatherer(
            self.ledgers, self.store, self.vms, transport, 0.05, 0.2
        )
        self.context = context.AdminContext(
            configs=config_store.ConfigStore(self.store, 0.05),
            tracker=change_status.ChangeTracker(
                self.store,
                self.vms,
                transport,
                0.05,
                0.05,
            ),
            registrations=registrations.RegistrationJanitor(
                self.store, self.vms, recorder, 0.05
            ),
            recorder=recorder,
            models=("small", "large"),
            services=("orders",),
        )
        self.tokens, stored = zip(
            *(secrets.make_operator_token(n) for n in ("ines", "ana")),
            strict=True,
        )
        self.client = test_utils.TestClient(
            test_utils.TestServer(
                app_lib.make_app(
                    self.context, self.ledgers, self.reports, stored
                )
            )
        )

    async def call(self, method, path, body=None, operator=0):
        headers = {"Authorization": f"Bearer {self.tokens[operator]}"}
        response = await self.client.request(
            method, path, json=body, headers=headers
        )
        return response.status, await response.json()

    async def create(self, name="bakery", revision=0, **workspace):
        return await self.call(
            "PUT",
            f"/v1/workspaces/{name}",
            {"revision": revision, "workspace": workspace or {"priority": 5}},
        )
