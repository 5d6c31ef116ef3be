"""One seeded run: load, overlapping faults, and the promises at its end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal

import attrs

from tests import gateway_system
from tests.soak import caller as caller_lib
from tests.soak import proxy as proxy_lib
from tests.soak import system as system_lib

_START_S = 3.0
_SETTLE_S = 2.0
_BROKEN = (
    proxy_lib.Mode.DELAY,
    proxy_lib.Mode.RESET,
    proxy_lib.Mode.SILENT,
    proxy_lib.Mode.ONE_WAY,
)


@attrs.frozen
class Size:
    """Size of a run.

    Attributes:
      gateways: Gateway processes.
      backends: Backend servers.
      callers: Callers.
      length_s: Time with faults, in seconds.
      prepaid: First prepaid amount of each workspace.
    """

    gateways: int = 3
    backends: int = 3
    callers: int = 12
    length_s: float = 10.0
    prepaid: int = 25_000


@attrs.frozen
class Outcome:
    """Result of a run.

    Attributes:
      problems: Broken promises.
      served: Whole answers.
      used: Tokens used by workspace.
      faults: Faults that were injected, with their times.
    """

    problems: list[str]
    served: int
    used: dict[str, int]
    faults: list[str]


class _Faults:
    """Injects faults that overlap, until it is stopped."""

    def __init__(self, system: system_lib.System, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self.log: list[str] = []
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._kill,
            self._terminate,
            self._pause,
            self._reload,
            self._kill_all,
            self._store_fault,
            self._store_fault,
            self._cut_from_store,
            self._cut_from_store,
            self._break_backend,
            self._drain_backend,
            self._top_up,
        ]

    async def run(self, length_s: float) -> None:
        """Starts faults at random times and waits for all of them."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + length_s
        running: list[asyncio.Task[None]] = []
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
            fault = self._rng.choice(self._kinds)
            left_s = end_s - loop.time()
            self.log.append(f"{fault.__name__} {left_s:.1f} s before the end")
            running.append(asyncio.create_task(_checked(fault())))
        await asyncio.gather(*running)

    def _gateway(self) -> system_lib.Gateway:
        return self._rng.choice(self._system.gateways)

    async def _some_time(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.2, 5.0))

    async def _kill(self) -> None:
        gateway = self._gateway()
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait()
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        await gateway.start()

    async def _kill_all(self) -> None:
        for gateway in self._system.gateways:
            gateway.send_signal(signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        for gateway in self._system.gateways:
            await gateway.wait()
            await gateway.start()

    async def _terminate(self) -> None:
        gateway = self._gateway()
        gateway.send_signal(signal.SIGTERM)
        await gateway.wait()
        await gateway.start()

    async def _pause(self) -> None:
        gateway = self._gateway()
        gateway.send_signal(signal.SIGSTOP)
        await self._some_time()
        gateway.send_signal(signal.SIGCONT)

    async def _reload(self) -> None:
        gateway = self._gateway()
        gateway.settings.touch()
        gateway.send_signal(signal.SIGHUP)

    async def _store_fault(self) -> None:
        faults = self._system.store.faults
        name, value = self._rng.choice(
            [
                ("is_down", True),
                ("is_silent", True),
                ("lost_share", 0.3),
                ("late_share", 0.3),
            ]
        )
        setattr(faults, name, value)
        await self._some_time()
        setattr(faults, name, type(value)())

    async def _cut_from_store(self) -> None:
        some = self._rng.sample(
            self._system.gateways,
            self._rng.randint(1, len(self._system.gateways)),
        )
        mode = self._rng.choice(_BROKEN)
        for gateway in some:
            gateway.store.mode = mode
        await self._some_time()
        for gateway in some:
            gateway.store.mode = proxy_lib.Mode.PASS

    async def _break_backend(self) -> None:
        backend = self._rng.choice(self._system.backends)
        backend.mode = self._rng.choice(_BROKEN)
        await self._some_time()
        backend.mode = proxy_lib.Mode.PASS

    async def _drain_backend(self) -> None:
        number = self._rng.randrange(len(self._system.backends))
        self._system.announce(number, "draining")
        await self._some_time()
        self._system.announce(number, "ready")

    async def _top_up(self) -> None:
        self._system.configure(
            self._system.prepaid + self._rng.randint(0, 8000)
        )


async def _checked(fault: Awaitable[None]) -> None:
    await fault


async def run(
    seed: int, folder: pathlib.Path, size: Size | None = None
) -> Outcome:
    """Plays one seed.

    Args:
      seed: Seed of all random choices; the timing of processes varies.
      folder: Folder for settings and logs.
      size: Size of the run.
    """
    size = size or Size()
    rng = random.Random(seed)
    system = system_lib.System(folder, rng, size.prepaid)
    record = caller_lib.Record()
    faults = _Faults(system, random.Random(seed + 1))
    callers: list[asyncio.Task[None]] = []
    try:
        await system.start(size.gateways, size.backends)
        await asyncio.sleep(_START_S)
        callers = [
            asyncio.create_task(_caller(system, record, seed, number).run())
            for number in range(size.callers)
        ]
        await faults.run(size.length_s)
        await asyncio.sleep(_SETTLE_S)
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await system.close()
    return Outcome(
        record.problems + _broken(system, record),
        record.served,
        _used(system, record),
        faults.log,
    )


def _used(
    system: system_lib.System, record: caller_lib.Record
) -> dict[str, int]:
    """Returns prompts that ran and events that arrived, in tokens."""
    return {
        name: system.truth.read[name] + record.delivered[name]
        for name in system_lib.WORKSPACES
    }


def _caller(
    system: system_lib.System,
    record: caller_lib.Record,
    seed: int,
    number: int,
) -> caller_lib.Caller:
    return caller_lib.Caller(
        f"s{seed}c{number}",
        [g.url for g in system.gateways],
        {name: f"key-{name}" for name in system_lib.WORKSPACES},
        gateway_system.HOST,
        record,
        random.Random(f"{seed}/{number}"),
    )


def _broken(system: system_lib.System, record: caller_lib.Record) -> list[str]:
    """Returns the promises that the backend servers saw broken."""
    truth = system.truth
    overspent = [
        f"workspace {name}: {used} tokens used, {system.prepaid} prepaid"
        for name, used in _used(system, record).items()
        if used > system.prepaid
    ]
    repeated = [
        f"{attempt}: ran {truth.runs[attempt]} times"
        for attempt in sorted(record.once)
        if truth.runs[attempt] > 1
    ]
    untrue = [
        f"{attempt}: refused as not run, but ran"
        for attempt in sorted(record.refused & record.once)
        if truth.runs[attempt]
    ]
    return overspent + repeated + untrue
