"""Tests of routers that find a deadly prompt part together."""

import asyncio
import contextlib
import itertools
from typing import Any

import attrs
import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import quarantine_policy
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.gateway import prompt_guard
from tests import assertions
from tests import free_ports
from tests import memory_store

_ROUTERS = 12
_numbers = itertools.count()


@attrs.define
class _Node:
    """Stands for the transport and the fleet of one router."""

    fleet: "_Fleet"
    name: str
    handlers: dict[type, Any] = attrs.field(factory=dict)

    @property
    def process(self) -> incarnation.Incarnation:
        return incarnation.Incarnation(self.name, "1")

    def register(self, msg_type: type, handler: Any) -> None:
        self.handlers[msg_type] = handler

    def addresses_by_name(self) -> dict[str, str]:
        return {n: n for n in self.fleet.nodes if n != self.name}

    def peers(self) -> list[str]:
        return list(self.addresses_by_name())

    async def request(self, address: str, msg: Any, *, timeout_s: float) -> Any:
        await asyncio.sleep(0.001)
        if address in self.fleet.lost or self.name in self.fleet.lost:
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")
        self.fleet.messages += 1
        return await self.fleet.nodes[address].handlers[type(msg)](
            self.process, msg
        )


class _Fleet:
    """Routers with guards, connected without a network.

    Attributes:
      nodes: Routers by name.
      guards: Guards by the name of their router.
      lost: Names of routers that neither answer nor are heard.
      messages: Number of messages between routers.
    """

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self.lost: set[str] = set()
        self.messages = 0
        self.nodes: dict[str, _Node] = {}
        self.guards: dict[str, prompt_guard.PromptGuard] = {}
        for n in range(_ROUTERS):
            self.add(f"router-{n}")

    def add(self, name: str) -> prompt_guard.PromptGuard:
        node = _Node(self, name)
        self.nodes[name] = node
        self.guards[name] = prompt_guard.PromptGuard(
            node, node, self.store, backend_set.BackendSet().ejection
        )
        return self.guards[name]

    def refusing(self, req: request_lib.ForwardRequest) -> list[str]:
        """Returns the names of the routers that refuse a request."""
        return [n for n, guard in self.guards.items() if guard.check(req)]

    async def crash(self, *part_ids: str, router: int | None = None) -> None:
        """Loses a request in the crash of its engine."""
        number = next(_numbers) if router is None else router
        guard = self.guards[f"router-{number % _ROUTERS}"]
        guard.on_lost(_request(*part_ids), _engine(free_ports.free_port()), 0.0)
        await asyncio.sleep(0.12)
        for name, other in self.guards.items():
            if name not in self.lost:
                other.on_sound(_request("another"))
        await asyncio.sleep(0.1)

    async def crash_busy_engines(self, part_id: str) -> None:
        """Loses a request with a part, and others beside it, at engines."""
        for n in range(4):
            engine = _engine(free_ports.free_port())
            guard = self.guards[f"router-{n}"]
            guard.on_lost(_request(part_id), engine, 0.0, events=0)
            for k in range(6):
                other = _request(f"thing-{n}-{k}")
                guard.on_lost(other, engine, 0.0, events=20)
        await asyncio.sleep(0.3)


@contextlib.asynccontextmanager
async def _fleet():
    fleet = _Fleet()
    try:
        yield fleet
    finally:
        for guard in fleet.guards.values():
            guard.close()


def _engine(port: int) -> backend_lib.Backend:
    return backend_lib.Backend(
        f"i-{next(_numbers)}",
        "llm",
        f"127.0.0.1:{port}",
        "a",
        64,
        backend_lib.BackendState.READY,
    )


def _request(*part_ids: str) -> request_lib.ForwardRequest:
    """Returns a request whose last part is its own."""
    own = f"own-{next(_numbers)}"
    parts = tuple(request_lib.PromptPart(p, 100) for p in (*part_ids, own))
    return request_lib.ForwardRequest("a", 0.0, 5.0, 300, 60, parts)


async def test_part_that_crashes_engines_is_refused_by_all_routers() -> None:
    """Each router lost one request; together they know the cause."""
    async with _fleet() as fleet:
        for n in range(4):
            assert fleet.refusing(_request("system", "deadly")) == []
            fleet.guards["router-9"].on_sound(_request("system"))
            await fleet.crash("system", "deadly", router=n)
        assert len(fleet.refusing(_request("system", "deadly"))) == _ROUTERS
        assert fleet.refusing(_request("system", "sound")) == []
        refused = fleet.guards["router-3"].check(_request("deadly"))
        assertions.assert_refused(refused, reason_lib.Reason.PROMPT_QUARANTINED)
        assert refused.retry_after_s > 0


async def test_report_is_decided_on_while_an_earlier_one_is_open() -> None:
    """Routers were asked every two seconds while a part was only suspect."""
    async with _fleet() as fleet:
        for n in range(4):
            engine = _engine(free_ports.free_port())
            fleet.guards[f"router-{n}"].on_lost(_request("deadly"), engine, 0.0)
        # Nothing is answered, so that the part stays a suspect for long.
        await asyncio.sleep(2.0)
        assert fleet.refusing(_request("deadly")) == []
        await fleet.crash("deadly")
        await asyncio.sleep(0.4)
        assert len(fleet.refusing(_request("deadly"))) == _ROUTERS


async def test_short_quarantine_ends_with_an_answer_at_any_router() -> None:
    """A sound part was refused until its time was over."""
    async with _fleet() as fleet:
        for guard in fleet.guards.values():
            guard.on_sound(_request("another"))
        # Few answers come after the first crash, so the cause isn't certain.
        await fleet.crash_busy_engines("common")
        assert len(fleet.refusing(_request("common"))) == _ROUTERS
        refused = fleet.guards["router-3"].check(_request("common"))
        assertions.assert_refused(refused, reason_lib.Reason.PROMPT_QUARANTINED)
        assert 0 < refused.retry_after_s <= quarantine_policy.SHORT_S
        fleet.guards["router-5"].on_sound(_request("common"))
        await asyncio.sleep(0.05)
        assert fleet.refusing(_request("common")) == []


async def test_crash_in_a_short_quarantine_makes_it_long() -> None:
    """Requests that were sent before it end engines while it lasts."""
    async with _fleet() as fleet:
        await fleet.crash_busy_engines("deadly")
        assert len(fleet.refusing(_request("deadly"))) == _ROUTERS
        await fleet.crash("deadly")
        await asyncio.sleep(0.4)
        for guard in fleet.guards.values():
            refused = guard.check(_request("deadly"))
            assertions.assert_refused(
                refused, reason_lib.Reason.PROMPT_QUARANTINED
            )
            assert refused.retry_after_s > quarantine_policy.SHORT_S


async def test_uneven_reports_are_taken_as_far_as_they_go() -> None:
    """Reports of earlier versions have no numbers of events."""
    async with _fleet() as fleet:
        handler = fleet.nodes["router-0"].handlers[messages.ReportCrashes]
        process = fleet.nodes["router-1"].process
        for msg in (
            messages.ReportCrashes(["i-1"], [["a"]]),
            messages.ReportCrashes(["i-1", "i-2"], [["a"]], [1, 2, 3]),
            messages.ReportCrashes([], [["a"]], [None]),
        ):
            assert isinstance(await handler(process, msg), messages.Noted)


async def test_proven_companion_is_served() -> None:
    """A part that comes with the deadly one each time is sound by itself."""
    async with _fleet() as fleet:
        for n in range(4):
            await fleet.crash("system", "deadly", router=n)
        assert fleet.refusing(_request("system")) == []
        assert fleet.refusing(_request("deadly", "other")) == []
        assert len(fleet.refusing(_request("system", "deadly"))) == _ROUTERS
        await fleet.crash("other", "deadly")
        assert len(fleet.refusing(_request("deadly", "another"))) == _ROUTERS


async def test_lost_answers_of_a_running_engine_are_no_crashes() -> None:
    """Requests whose answers were lost must not make their parts suspect."""
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    async with _fleet() as fleet:
        for n in range(9):
            fleet.guards[f"router-{n}"].on_lost(
                _request("system", "sound"), _engine(port), 0.0
            )
        await asyncio.sleep(0.3)
        assert fleet.refusing(_request("system", "sound")) == []
        assert fleet.messages == 0
    server.close()


@pytest.mark.parametrize("lost", range(_ROUTERS))
async def test_loss_of_a_router_does_not_hide_the_cause(lost: int) -> None:
    """Any router may be one of those that collect the reports."""
    async with _fleet() as fleet:
        fleet.lost = {f"router-{lost}"}
        others = [n for n in range(_ROUTERS) if n != lost]
        for n in others[:4]:
            await fleet.crash("deadly", router=n)
        assert len(fleet.refusing(_request("deadly"))) >= _ROUTERS - 1


async def test_unreachable_router_learns_of_the_cause_when_it_is_back() -> None:
    async with _fleet() as fleet:
        fleet.lost = {"router-0", "router-1"}
        for n in range(2, 8):
            await fleet.crash("deadly", router=n)
        fleet.lost = set()
        await asyncio.sleep(1.2)
        assert len(fleet.refusing(_request("deadly"))) == _ROUTERS


async def test_new_router_learns_of_the_cause_from_the_store() -> None:
    """A quarantine outlives the routers that decided on it."""
    async with _fleet() as fleet:
        for n in range(4):
            await fleet.crash("deadly", router=n)
        fleet.store.apply(
            {},
            {"quarantine/damaged": b"{}", "quarantine/e": b'{"part_ids": []}'},
        )
        guard = fleet.add("router-new")
        task = asyncio.create_task(guard.run())
        await asyncio.sleep(0.05)
        task.cancel()
        assert guard.check(_request("deadly"))
        assert guard.check(_request("sound")) is None
        fleet.store.end_leases()


async def test_crash_of_a_busy_engine_takes_few_messages() -> None:
    """Many routers lose requests in one crash; they tell two of them."""
    async with _fleet() as fleet:
        port = free_ports.free_port()
        engine = _engine(port)
        for n in range(_ROUTERS):
            for request in range(5):
                fleet.guards[f"router-{n}"].on_lost(
                    _request("system", f"thing-{n}-{request}"), engine, 0.0
                )
        await asyncio.sleep(0.3)
        assert fleet.messages <= 2 * _ROUTERS


async def test_engines_that_crash_at_once_do_not_make_parts_suspect() -> None:
    """A failure domain was lost; all its requests shared a system prompt.

    No answer with the part can have begun in the moment after the crash.
    """
    async with _fleet() as fleet:
        for n in range(8):
            guard = fleet.guards[f"router-{n}"]
            engine = _engine(free_ports.free_port())
            guard.on_lost(_request("system", f"thing-{n}"), engine, 0.0)
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert fleet.refusing(_request("system", "any")) == []
        fleet.guards["router-9"].on_sound(_request("system"))
        for n in range(200):
            fleet.guards[f"router-{n % 9}"].on_sound(_request("other"))
        await asyncio.sleep(2.5)
        assert fleet.refusing(_request("system", "any")) == []
