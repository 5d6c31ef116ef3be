"""Engines: runners that answer with streams of events."""

import asyncio
import math
import random

import attrs
import case_record
import metadata
import runners

# An engine notices within this time that a channel was closed.
_STEP_S = 0.05


@attrs.frozen
class EngineSpeed:
    """Times of an engine in seconds.

    Attributes:
      first_event_s: Shortest and longest time to the first event.
      pause_s: Time between two events.
      events: Number of events of an answer.
    """

    first_event_s: tuple[float, float] = (0.1, 0.3)
    pause_s: float = 0.02
    events: int = 9


@attrs.frozen
class DeadlyPart:
    """A part of prompts on which engines crash.

    Attributes:
      part_id: Id of the part.
      events_written: Events of the answer that leave before the crash.
      down_s: Time after which the engine is back.
    """

    part_id: str
    events_written: int = 0
    down_s: float = 3.0


@attrs.define
class Work:
    """Work of an engine on one request, in seconds of the record.

    Attributes:
      attempt_id: Id of the client's attempt.
      engine: Name of the engine.
      begun_s: Time at which it arrived.
      ended_s: Time at which the work ended; infinite until then.
    """

    attempt_id: str
    engine: str
    begun_s: float
    ended_s: float = math.inf


class Engine(runners.Runner):
    """Streams answers; crashes when it begins to write one on a part.

    It drops a request whose channel is closed: at once, or when it comes to
    write the next event.

    Attributes:
      crashes_s: Times of the crashes in the record.
      work: Work on all requests that were accepted.
      slowness: Factor on all times.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        store: metadata.Store,
        record: case_record.Record,
        *,
        rng: random.Random,
        speed: EngineSpeed,
        deadly: DeadlyPart | None = None,
        drops_at_once: bool = True,
        has_length: bool = False,
    ) -> None:
        super().__init__(name, service, zone, slots, store, record)
        self.crashes_s: list[float] = []
        self.work: list[Work] = []
        self.slowness = 1.0
        self._rng = rng
        self._speed = speed
        self._deadly = deadly
        self._drops_at_once = drops_at_once
        self._has_length = has_length
        self._returns: set[asyncio.Task[None]] = set()

    async def serve(
        self,
        req: runners.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """See base class."""
        work = Work(req.attempt_id, self.name, self.record.now_s())
        self.work.append(work)
        try:
            await self._answer(req, reader, writer)
        finally:
            work.ended_s = self.record.now_s()
            self.record.add("ended", id=req.attempt_id, runner=self.name)

    async def _answer(
        self,
        req: runners.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self._pass(self._rng.uniform(*self._speed.first_event_s), reader)
        self.begin_run(req)
        first = int(req.headers.get("last-event-id", "-1")) + 1
        events = self._make_events(req.attempt_id, first)
        writer.write(self._head(req, events))
        deadly = self._deadly
        is_deadly = deadly is not None and deadly.part_id in req.headers.get(
            "x-prompt-prefix", ""
        )
        for number, event in enumerate(events, first):
            if is_deadly and number >= deadly.events_written:
                break
            if reader.at_eof():
                raise asyncio.IncompleteReadError(b"", None)
            writer.write(self._frame(event))
            await self._pass(self._speed.pause_s, reader)
        if is_deadly:
            self.crash_for(deadly.down_s)
            raise asyncio.CancelledError
        if not self._has_length:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _make_events(self, attempt_id: str, first: int) -> list[bytes]:
        """Returns the events of a run, each with words of this run."""
        return [
            f"id: {number}\ndata: {attempt_id}-{number}"
            f"{'~' * self._rng.randrange(12)}\n\n".encode()
            for number in range(first, self._speed.events)
        ]

    def _head(self, req: runners.Request, events: list[bytes]) -> bytes:
        framing = "Transfer-Encoding: chunked"
        if self._has_length:
            framing = f"Content-Length: {sum(map(len, events))}"
        return (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {req.attempt_id}\r\n"
            f"X-Server-Stamp: s-{req.attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
            f"{framing}\r\n\r\n"
        ).encode()

    def _frame(self, event: bytes) -> bytes:
        if self._has_length:
            return event
        return b"%x\r\n%b\r\n" % (len(event), event)

    async def _pass(
        self, duration_s: float, reader: asyncio.StreamReader
    ) -> None:
        """Works for a time; drops the request if its channel is closed."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s * self.slowness
        while True:
            if self._drops_at_once and reader.at_eof():
                raise asyncio.IncompleteReadError(b"", None)
            remaining_s = end_s - loop.time()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(_STEP_S, remaining_s))

    def crash_for(self, down_s: float) -> None:
        """Crashes; a new boot starts after a time."""
        self.crashes_s.append(self.record.now_s())
        self.crash()

        async def come_back() -> None:
            await asyncio.sleep(down_s)
            await self.start()

        task = asyncio.create_task(come_back())
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def close(self) -> None:
        """See base class."""
        for task in self._returns:
            task.cancel()
        await super().close()
