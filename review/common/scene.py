"""Puts together store, runners, gateways and configuration of a case."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile

import attrs
import case_record
import clients
import fleet as fleet_lib
import metadata
import runners

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
ZONES = ("casa-a", "casa-b", "casa-c", "casa-d")
ENGINE = "atlas-llm"
ORDERS = "orders-app"
# The pages give the machines this long before the traffic.
_LEAD_S = 12.0
# The whole run may last 120 s.
_LIMIT_S = 110.0

Send = Callable[[], Awaitable[None]]

BROKEN = 1
HELD = 0
NOT_RUN = 2


def config(prepaid: int = 50_000_000) -> bytes:
    """Returns a configuration with the routes of the deployment sheet."""
    routes = [
        {
            "name": "bylaw-draft",
            "path_prefix": "/draft/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": ENGINE,
            "max_attempts": 1,
            "stream_resume": False,
            "gap_aim_ms": 400,
            "session_affinity": True,
        },
        {
            "name": "press-ask",
            "path_prefix": "/ask/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 400,
            "priority": 0,
            "service": ENGINE,
            "max_attempts": 2,
            "stream_resume": True,
            "gap_aim_ms": 400,
            "session_affinity": True,
        },
        {
            "name": "print-order",
            "path_prefix": "/order/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 125,
            "priority": 2,
            "service": ORDERS,
            "max_attempts": 1,
        },
        {
            "name": "order-status",
            "path_prefix": "/status/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 125,
            "priority": 2,
            "service": ORDERS,
            "max_attempts": 2,
        },
    ]
    common = {"host": HOST, "auth_exempt": False}
    data = {
        "version": 7,
        "routes": [{**common, **route} for route in routes],
        "services": [
            {
                "name": ENGINE,
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 64, "kv_capacity": 317_235, "stride": 6},
            },
            {
                "name": ORDERS,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "huka270",
                "api_keys": [KEY],
                "priority": 1,
                "prepaid": prepaid,
            }
        ],
    }
    return json.dumps(data).encode()


@attrs.define
class Scene:
    """A running deployment.

    Attributes:
      store: The platform's store.
      gateways: Gateway processes.
      runners: Runners by name.
      record: Record of the case.
      rng: Source of the choices of clients and runners.
      is_troubled: Whether the disruption of the case takes place.
      folder: Temporary folder.
    """

    store: metadata.Store
    gateways: fleet_lib.Fleet
    runners: list[runners.Runner]
    record: case_record.Record
    rng: random.Random
    is_troubled: bool
    folder: pathlib.Path
    sent: int = 0

    def runs(self) -> collections.Counter[str]:
        """Returns the number of runs at all runners by attempt."""
        return sum((r.runs for r in self.runners), collections.Counter())

    def new_id(self) -> str:
        """Returns the id of a new attempt."""
        self.sent += 1
        return f"{self.sent:06x}{self.rng.getrandbits(40):010x}"

    async def send_at_random(
        self, kinds: Sequence[tuple[Send, float]], length_s: float
    ) -> None:
        """Sends requests of several kinds, each at a rate per second."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + length_s
        tasks: set[asyncio.Task[None]] = set()
        works = [work for work, _ in kinds]
        rates = [rate for _, rate in kinds]
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(sum(rates)))
            work = self.rng.choices(works, rates)[0]
            task = asyncio.create_task(work())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def send(
        self,
        route: str,
        method: str = "POST",
        *,
        deadline_ms: int,
        attempt_id: str = "",
        body: bytes = b"",
        **headers: str,
    ) -> tuple[str, clients.Reply]:
        """Sends a request to a gateway; returns its id and the reply."""
        attempt_id = attempt_id or self.new_id()
        gateway = self.rng.choice(self.gateways.gateways)
        self.record.add(
            "sent", id=attempt_id, route=route, gateway=gateway.name, **headers
        )
        reply = await clients.send(
            gateway.callers,
            method,
            f"/{route}/2f",
            {
                "Host": HOST,
                "X-Attempt-Id": attempt_id,
                "X-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
            body,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        self.record.add(
            "answered",
            id=attempt_id,
            status=reply.status,
            complete=reply.is_complete,
            bytes=len(reply.body),
        )
        return attempt_id, reply


class Prompts:
    """Prompts as on the deployment sheet: shared parts, then an own one."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draft(self, extra_part: str | None = None) -> dict[str, str]:
        """Returns the headers of a request of route `bylaw-draft`."""
        subject = 0xA000 + self._rng.randrange(240)
        parts = [("5c1e07a2", 6300), (f"{subject:08x}", 1400)]
        if extra_part:
            parts.append((extra_part, 400))
        return self._headers([*parts, self._own(1000)], 54)

    def ask(self, output_tokens: int = 54) -> dict[str, str]:
        """Returns the headers of a request of route `press-ask`."""
        subject = 0xB000 + self._rng.randrange(40)
        return self._headers(
            [(f"{subject:08x}", 198), self._own(500)], output_tokens
        )

    def _own(self, tokens: int) -> tuple[str, int]:
        return f"{self._rng.getrandbits(32):08x}", tokens

    def _headers(
        self, parts: Sequence[tuple[str, int]], output_tokens: int
    ) -> dict[str, str]:
        total = sum(tokens for _, tokens in parts)
        return {
            "X_Model": "m",
            "X_Token_Counts": f"{total},{output_tokens}",
            "X_Prompt_Prefix": ",".join(f"{p}:{n}" for p, n in parts),
        }


MakeRunners = Callable[
    [metadata.Store, case_record.Record, random.Random, bool],
    list[runners.Runner],
]
Play = Callable[[Scene], Awaitable[bool]]


async def _run(
    folder: pathlib.Path, gateways: int, make: MakeRunners, play: Play
) -> int:
    task = asyncio.current_task()
    assert task
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = case_record.Record(folder / "record.txt")
    record.add("begin", trouble=int(is_troubled))
    rng = random.Random(int(os.environ.get("SEED", "1")))
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    store = metadata.Store(rng.getrandbits(32))
    all_runners = make(store, record, rng, is_troubled)
    gateway_fleet: fleet_lib.Fleet | None = None
    try:
        async with asyncio.timeout(_LIMIT_S):
            await store.start()
            store.state.put("op/config", config())
            for runner in all_runners:
                await runner.start()
            gateway_fleet = fleet_lib.Fleet(
                gateways, store.address, temporary, ZONES
            )
            loop = asyncio.get_running_loop()
            traffic_s = loop.time() + _LEAD_S
            await gateway_fleet.start()
            await asyncio.sleep(max(0.0, traffic_s - loop.time()))
            record.add("traffic")
            is_broken = await play(
                Scene(
                    store,
                    gateway_fleet,
                    all_runners,
                    record,
                    rng,
                    is_troubled,
                    temporary,
                )
            )
        record.add("verdict", broken=is_broken)
        return BROKEN if is_broken else HELD
    except TimeoutError:
        record.add("not_run", reason="timeout")
        return NOT_RUN
    finally:
        if gateway_fleet:
            await gateway_fleet.stop()
        for runner in all_runners:
            await runner.close()
        await store.close()
        record.close()
        if logs := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, logs, dirs_exist_ok=True)
        with contextlib.suppress(OSError):
            shutil.rmtree(temporary)


def main(file: str, gateways: int, make: MakeRunners, play: Play) -> None:
    """Runs a case and exits with its verdict.

    Args:
      file: File of the case; the record is written beside it.
      gateways: Number of gateway processes.
      make: Creates the runners.
      play: Sends the traffic; returns whether the rule was broken.
    """
    folder = pathlib.Path(file).resolve().parent
    try:
        code = asyncio.run(_run(folder, gateways, make, play))
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
