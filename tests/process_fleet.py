"""Runs routers and test servers as processes on the loopback interface."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import pathlib
import signal
import sys
from typing import Any

import aiohttp
import attrs
import yaml

from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import kv_store
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import secrets
from tests import free_ports

MODEL = "m"
WORKSPACE = "ws"
PREPAID = 100_000_000
# Waiting is limited by the number of polls, not by time.
_MAX_POLLS = 600
_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Program:
    """A started process.

    Attributes:
      name: Name in the fleet.
      port: Port of its main listener on loopback.
      process: Handle of the process.
      log: File with its output.
      control_port: Port for faults and records of a test server; 0 if none.
    """

    name: str
    port: int
    process: asyncio.subprocess.Process
    log: pathlib.Path
    control_port: int = 0

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    @property
    def control_url(self) -> str:
        """Base URL for faults and records, which no fault affects."""
        return f"http://127.0.0.1:{self.control_port}"

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.process.kill()

    async def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


class Fleet:
    """The processes of one test."""

    def __init__(
        self, directory: pathlib.Path, session: aiohttp.ClientSession
    ) -> None:
        self._directory = directory
        self.session = session
        self.programs: dict[str, Program] = {}
        self.access_key = ""
        self._fleet_key = directory / "fleet.key"
        self._fleet_key.write_text(secrets.make_fleet_key())

    async def start(
        self, name: str, module: str, port: int, *args: str
    ) -> Program:
        log = self._directory / f"{name}.log"
        with log.open("ab") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *args, stdout=out, stderr=out
            )
        program = Program(name, port, process, log)
        self.programs[name] = program
        return program

    async def start_stand_in(
        self, name: str, kind: str, *args: str, port: int = 0
    ) -> Program:
        """Starts a test server, on a free port if `port` is 0."""
        port = port or free_ports.free_port()
        control_port = free_ports.free_port()
        program = await self.start(
            name,
            f"standins.{kind}",
            port,
            f"--port={port}",
            f"--control-port={control_port}",
            *args,
        )
        program.control_port = control_port
        await self.wait_until(lambda: self._is_serving(program, "/record"))
        return program

    async def start_router(self, name: str, **settings: Any) -> Program:
        """Starts a router and waits until it is ready."""
        port, peer_port = free_ports.free_port(), free_ports.free_port()
        await self.add_vm(name, peer_port, "router", f"fd-{name}")
        path = self._directory / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(self._settings(name, port, peer_port, settings))
        )
        program = await self.start(
            name, "hibiscuspass.router.main", port, str(path)
        )
        await self.wait_until(lambda: self._is_serving(program, "/readyz"))
        return program

    async def start_admin(self, name: str) -> str:
        """Starts an administration server and returns an operator's token."""
        token, stored = secrets.make_operator_token("ana")
        operators = self._directory / "operators.yaml"
        operators.write_text(
            yaml.safe_dump({"operators": [attrs.asdict(stored)]})
        )
        port, peer_port = free_ports.free_port(), free_ports.free_port()
        settings = self._settings(name, port, peer_port, {})
        del settings["shutdown_grace_s"]
        path = self._directory / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump({**settings, "operators_file": str(operators)})
        )
        program = await self.start(
            name, "hibiscuspass.admin.main", port, str(path)
        )
        await self.wait_until(lambda: self._is_serving(program, "/readyz"))
        return token

    def _settings(
        self, name: str, port: int, peer_port: int, changes: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            "process": {
                "name": name,
                "address": "127.0.0.1",
                "failure_domain": f"fd-{name}",
                "region": "r",
            },
            "listen": {"host": "127.0.0.1", "port": port},
            "peer_link": {
                "address": f"127.0.0.1:{peer_port}",
                "fleet_key_file": str(self._fleet_key),
            },
            "key_value": {
                "address": self.programs["kv"].url,
                "calls_per_s": 1000,
                "burst": 1000,
            },
            "vm_list": {
                "address": self.programs["platform"].url,
                "poll_interval_s": 0.2,
            },
            "models": [{"name": MODEL}],
            "services": [{"name": "orders", "call_cost": 10}],
            "shutdown_grace_s": 20,
            **changes,
        }

    async def add_vm(
        self,
        name: str,
        port: int,
        role: str,
        failure_domain: str = "fd-0",
        service: str = "",
    ) -> None:
        """Adds a VM to the platform's list."""
        vm = {
            "address": f"127.0.0.1:{port}",
            "failure_domain": failure_domain,
            "region": "r",
            "role": role,
            "service": service,
        }
        url = f"{self.programs['platform'].url}/vms/{name}"
        async with self.session.put(url, json=vm) as resp:
            assert resp.status == 200, await resp.text()

    async def start_platform(self, prepaid: int = PREPAID) -> None:
        """Starts the key-value service and VM list, and adds a workspace."""
        await self.start_stand_in("kv", "kv")
        await self.start_stand_in("platform", "platform")
        await self._provision(prepaid)

    async def start_engine(self, name: str, *args: str) -> Program:
        """Starts an engine and adds it to the VM list."""
        program = await self.start_stand_in(
            name, "engine", f"--models={MODEL}", *args
        )
        await self.add_vm(name, program.port, "engine")
        return program

    async def start_service(self, name: str, *, port: int = 0) -> Program:
        """Starts a server of the order service and adds it to the VM list."""
        program = await self.start_stand_in(name, "service", port=port)
        await self.add_vm(name, program.port, "service", service="orders")
        return program

    def post(self, router: str, path: str, body: Any, *, key: str = "") -> Any:
        """Sends a request with the access key of the workspace."""
        headers = {"Authorization": f"Bearer {self.access_key}"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.programs[router].url + path
        return self.session.post(url, json=body, headers=headers)

    def chat(
        self, router: str, *, key: str = "", stream: bool = True, **fields: Any
    ) -> Any:
        """Sends a chat completion request."""
        message = {"role": "user", "content": "hello"}
        body = {"model": MODEL, "messages": [message], "stream": stream}
        return self.post(
            router, "/v1/chat/completions", {**body, **fields}, key=key
        )

    async def read_billed_costs(self) -> dict[str, list[int]]:
        """Returns the cost of each billing record, grouped by request id."""
        costs: dict[str, list[int]] = {}
        store = etcd_kv.make_etcd_kv(self.programs["kv"].url)
        read = await store.get_prefix(f"bills/{WORKSPACE}/", timeout_s=10)
        await store.close()
        assert isinstance(read, kv_store.ReadResult), read
        for entry in read.entries:
            for bill in billing_batch.decode(entry.value).records:
                costs.setdefault(bill.request_id, []).append(bill.cost)
        return costs

    async def read_ledger(self) -> ledger_lib.Ledger:
        """Returns the workspace's ledger."""
        store = etcd_kv.make_etcd_kv(self.programs["kv"].url)
        read = await store.get(ledger_codec.key(WORKSPACE), timeout_s=10)
        await store.close()
        assert isinstance(read, kv_store.ReadResult), read
        return ledger_codec.decode(read.entries[0].value)

    async def remove_vm(self, name: str) -> None:
        """Removes a VM from the platform's list."""
        url = f"{self.programs['platform'].url}/vms/{name}"
        async with self.session.delete(url) as resp:
            assert resp.status == 200, await resp.text()

    async def inject_faults(self, name: str, **changes: Any) -> None:
        """Injects faults into a test server."""
        url = f"{self.programs[name].control_url}/faults"
        async with self.session.post(url, json=changes) as resp:
            assert resp.status == 200, await resp.text()

    async def read_record(self, name: str) -> Any:
        """Returns the record of a test server."""
        url = f"{self.programs[name].control_url}/record"
        async with self.session.get(url) as resp:
            return await resp.json()

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Waits until a condition is true.

        Raises:
          AssertionError: It is still false after the last poll.
        """
        for _ in range(_MAX_POLLS):
            if await condition():
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f"condition still false; logs:\n{self.logs()}")

    def logs(self) -> str:
        """Returns the ends of all logs."""
        return "\n".join(
            f"--- {p.name}\n{p.log.read_text()[-3000:]}"
            for p in self.programs.values()
        )

    async def _is_serving(self, program: Program, path: str) -> bool:
        assert program.process.returncode is None, self.logs()
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(program.url + path) as resp:
                return resp.status == 200
        return False

    async def stop(self) -> None:
        """Kills all running processes."""
        running = [
            p.process
            for p in self.programs.values()
            if p.process.returncode is None
        ]
        for process in running:
            process.kill()
        await asyncio.gather(*(process.wait() for process in running))

    async def _provision(self, prepaid: int) -> None:
        """Writes the workspace and its prepaid budget."""
        self.access_key, stored = secrets.make_access_key(WORKSPACE)
        workspace = workspace_lib.Workspace(
            name=WORKSPACE,
            models=(MODEL,),
            services=("orders",),
            non_repeatable=(
                workspace_lib.NonRepeatableRule("orders", "POST", "/orders"),
            ),
            access_keys=(stored,),
            max_concurrency=1000,
            solo_grant_limit=100_000,
        )
        ledger = ledger_lib.top_up(
            ledger_lib.Ledger(WORKSPACE), "top-up-1", prepaid
        )
        assert isinstance(ledger, ledger_lib.Ledger)
        store = etcd_kv.make_etcd_kv(self.programs["kv"].url)
        for key, value in (
            (
                keys.workspace(WORKSPACE),
                record.encode(record.Record(workspace)),
            ),
            (ledger_codec.key(WORKSPACE), ledger_codec.encode(ledger)),
        ):
            result = await store.compare_and_swap(key, 0, value, timeout_s=10)
            assert isinstance(result, kv_store.CasResult), result
            assert result.succeeded
        await store.close()


@contextlib.asynccontextmanager
async def run_fleet(
    directory: pathlib.Path, *, prepaid: int = PREPAID
) -> AsyncIterator[Fleet]:
    """Runs a fleet with its platform and kills all processes afterwards."""
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(directory, session)
        try:
            await fleet.start_platform(prepaid)
            yield fleet
        finally:
            await fleet.stop()
