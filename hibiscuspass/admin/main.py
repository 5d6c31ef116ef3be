"""Entry point of the administration program, `hibiscuspass-admin`."""

import asyncio
import secrets as random_secrets
import sys

import prometheus_client

from hibiscuspass.admin import app as app_lib
from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import context
from hibiscuspass.admin import ledger_store
from hibiscuspass.admin import registrations
from hibiscuspass.admin import report_gatherer
from hibiscuspass.backends import adapters
from hibiscuspass.backends import kv_client
from hibiscuspass.core import incarnation
from hibiscuspass.peers import pynng_transport
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.settings import loader
from hibiscuspass.settings import program
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import http
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib
from hibiscuspass.telemetry import signals
from hibiscuspass.telemetry import timeline

_START_ID_BYTES = 4

_log = logs.get_logger(__name__)


class Admin:
    """A running administration program.

    Attributes:
      is_ready: Whether the program is serving requests.
    """

    def __init__(
        self,
        cfg: admin_settings.AdminSettings,
        operators: admin_settings.Operators,
        fleet_key: bytes,
        process: incarnation.Incarnation,
    ) -> None:
        self._cfg = cfg
        recorder = recorder_lib.Recorder(process)
        make_store = adapters.KV_STORES[cfg.key_value.adapter]
        self._key_value = make_store(cfg.key_value.address)
        store = kv_client.make_kv_client(
            self._key_value,
            calls_per_s=cfg.key_value.calls_per_s,
            burst=cfg.key_value.burst,
            purpose="admin",
            metrics_registry=prometheus_client.REGISTRY,
        )
        make_vm_list = adapters.VM_LISTS[cfg.vm_list.adapter]
        self._vm_list = make_vm_list(cfg.vm_list.address)
        self._transport = pynng_transport.make_transport(
            process,
            cfg.peer_link.address,
            fleet_key,
            recorder,
            metrics_registry=prometheus_client.REGISTRY,
        )
        timeline.register_timeline(self._transport, recorder, process)
        timeout_s = cfg.key_value.timeout_s
        self._janitor = registrations.RegistrationJanitor(
            store, self._vm_list, recorder, timeout_s
        )
        ledgers = ledger_store.LedgerStore(store, process, timeout_s)
        self.is_ready = False
        self._app = app_lib.make_app(
            context.AdminContext(
                configs=config_store.ConfigStore(store, timeout_s),
                tracker=change_status.ChangeTracker(
                    store,
                    self._vm_list,
                    self._transport,
                    timeout_s,
                    cfg.router_timeout_s,
                ),
                registrations=self._janitor,
                recorder=recorder,
                models=tuple(m.name for m in cfg.models),
                services=tuple(s.name for s in cfg.services),
            ),
            ledgers,
            report_gatherer.ReportGatherer(
                ledgers,
                store,
                self._vm_list,
                self._transport,
                timeout_s,
                cfg.router_timeout_s,
            ),
            operators.operators,
            lambda: self.is_ready,
        )

    async def run(self) -> None:
        """Serves until a stop signal, then finishes requests in progress."""
        await self._transport.start()
        runner = await http.serve(self._app, self._cfg.listen)
        compare_task = asyncio.create_task(
            self._janitor.run(self._cfg.vm_list.poll_interval_s)
        )
        self.is_ready = True
        _log.info("administration program is ready", port=self._cfg.listen.port)
        try:
            await signals.wait_for_stop()
        finally:
            self.is_ready = False
            compare_task.cancel()
            await asyncio.gather(compare_task, return_exceptions=True)
            await runner.cleanup()
            await self._transport.close()
            await self._vm_list.close()
            await self._key_value.close()
        _log.info("administration program has stopped")


async def _start(cfg: admin_settings.AdminSettings) -> int:
    process = incarnation.Incarnation(
        cfg.process.name, random_secrets.token_hex(_START_ID_BYTES)
    )
    logs.configure(cfg.logging, str(process))
    operators = loader.load(cfg.operators_file, admin_settings.Operators)
    if isinstance(operators, loader.SettingsError):
        print(operators, file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    try:
        fleet_key = secrets.read_fleet_key(cfg.peer_link.fleet_key_file)
    except (OSError, ValueError) as exc:
        print(f"fleet key: {exc}", file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    await Admin(cfg, operators, fleet_key, process).run()
    return program.EXIT_OK


def main() -> None:
    """Entry point of the program."""
    sys.exit(
        program.run_program(
            "hibiscuspass-admin",
            admin_settings.AdminSettings,
            _start,
            asyncio.run,
        )
    )


if __name__ == "__main__":
    main()
