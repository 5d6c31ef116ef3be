"""Reports requests that were lost because their engine crashed."""

import asyncio
import enum
import time

import attrs
import structlog
import xxhash

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import proven_parts
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.retry import ejection as ejection_lib
from hibiscuspass.gateway import crash_coordinator
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# A crash ends all requests of an engine, which share one report.
_GATHER_S = 0.05
_CONNECT_TIMEOUT_S = 0.5
_TIMEOUT_S = 0.5
# Routers that collect reports; with two, one of them may fail.
_COORDINATORS = 2
_MAX_TRIES = 3


@attrs.frozen
class _Lost:
    """A request whose engine may have crashed.

    Attributes:
      backend: Engine that ended the connection.
      part_ids: Shared parts of the prompt that may be the cause.
      events: Number of complete events of its answer; None before the head.
      may_be_complete: Whether the engine may have ended its answer in order.
    """

    backend: backend_lib.Backend
    part_ids: list[str]
    events: int | None
    may_be_complete: bool


class CrashReporter:
    """Finds out whether engines that ended connections have crashed."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        proven: proven_parts.ProvenParts,
        coordinator: crash_coordinator.CrashCoordinator,
        ejection: ejection_lib.EjectionTracker,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._proven = proven
        self._coordinator = coordinator
        self._ejection = ejection
        self._lost: list[_Lost] = []
        self._task: asyncio.Task[None] | None = None

    def on_lost(
        self,
        req: request_lib.ForwardRequest,
        backend: backend_lib.Backend,
        sent_s: float,
        *,
        events: int | None,
        may_be_complete: bool,
    ) -> None:
        """Records a request whose connection an engine ended.

        Args:
          req: Request of a caller.
          backend: Engine that ended the connection.
          sent_s: Time of the send on the monotonic clock.
          events: Number of complete events of the answer that have arrived;
            None before its head.
          may_be_complete: Whether the engine may have ended its answer in
            order. If it accepts connections, its prompt is sound.
        """
        # The last part belongs to this request or its session only.
        part_ids = [
            part.part_id
            for part in req.prompt_parts[:-1]
            if not self._proven.is_proven_since(part.part_id, sent_s)
        ]
        if not part_ids:
            return
        self._lost.append(_Lost(backend, part_ids, events, may_be_complete))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report())

    def close(self) -> None:
        """Stops all work."""
        if self._task:
            self._task.cancel()

    async def _report(self) -> None:
        while self._lost:
            await asyncio.sleep(_GATHER_S)
            lost, self._lost = self._lost, []
            backends = {item.backend.instance: item.backend for item in lost}
            states = dict(
                zip(
                    backends,
                    await asyncio.gather(
                        *(_probe(b) for b in backends.values())
                    ),
                    strict=True,
                )
            )
            for item in lost:
                state = states[item.backend.instance]
                if item.may_be_complete and state is _State.LISTENING:
                    self._proven.add(item.part_ids, time.monotonic())
            instances = {i for i, s in states.items() if s is _State.CRASHED}
            for instance in instances:
                self._ejection.eject(instance, time.monotonic())
            reported = [i for i in lost if i.backend.instance in instances]
            if reported:
                await self._send(
                    messages.ReportCrashes(
                        [i.backend.instance for i in reported],
                        [i.part_ids for i in reported],
                        [i.events for i in reported],
                    )
                )

    async def _send(self, msg: messages.ReportCrashes) -> None:
        """Sends a report to the coordinators that are alive."""
        _log.info(
            "engines crashed",
            engines=sorted(set(msg.instances)),
            requests=len(msg.instances),
            waiting=msg.events.count(None),
            without_event=msg.events.count(0),
        )
        informed: set[str] = set()
        for _ in range(_MAX_TRIES):
            names = [n for n in self._coordinators() if n not in informed]
            replies = await asyncio.gather(
                *(self._send_to(name, msg) for name in names)
            )
            informed.update(
                name
                for name, reply in zip(names, replies, strict=True)
                if isinstance(reply, messages.Noted)
            )
            if len(informed) >= _COORDINATORS:
                return

    async def _send_to(self, name: str, msg: messages.ReportCrashes) -> object:
        own = self._fleet.process
        if name == own.name:
            return await self._coordinator.on_report(own, msg)
        address = self._fleet.addresses_by_name().get(name)
        if address is None:
            return None
        return await self._transport.request(address, msg, timeout_s=_TIMEOUT_S)

    def _coordinators(self) -> list[str]:
        names = {*self._fleet.addresses_by_name(), self._fleet.process.name}
        return sorted(names, key=_rank)[:_COORDINATORS]


class _State(enum.Enum):
    """State of an engine as seen by a new connection."""

    LISTENING = enum.auto()
    CRASHED = enum.auto()
    UNKNOWN = enum.auto()


async def _probe(backend: backend_lib.Backend) -> _State:
    """Returns whether an engine accepts connections.

    One that only lost an answer or a connection does. Nothing listens at the
    address of one that has crashed.
    """
    host, _, port = backend.address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return _State.CRASHED
    except (OSError, TimeoutError):
        return _State.UNKNOWN
    writer.close()
    return _State.LISTENING


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(f"crashes/{name}".encode())
