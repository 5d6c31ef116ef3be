"""Plays requests at busy engines that crash, without a network.

A crash ends all requests of an engine: some wait, some are in the middle of
their answers. They are sent again, so the remaining engines become busier.
"""

import itertools
import random

import attrs

from hibiscuspass.core.forwarding import crash_reports
from hibiscuspass.core.forwarding import proven_parts
from hibiscuspass.core.forwarding import quarantine as quarantine_lib
from hibiscuspass.core.forwarding import quarantine_policy
from hibiscuspass.core.forwarding import request as request_lib
from tests import crash_proofs

# Shortest contact time of a deployment.
CONTACT_S = 3.0
_STEP_S = 0.02
_DOWN_S = 3.3
_EVENT_S = 0.025
_EVENTS = 50
_HEAD_S = 0.09
_MAX_SENDS = 2


@attrs.frozen
class Load:
    """What is played.

    Attributes:
      engines: Number of engines.
      requests_per_s: Sound and deadly requests.
      systems: Number of first parts that requests share.
      things: Number of second parts that requests share; without them,
        requests have their first part only.
      deadly: Deadly parts and the shares of requests that have them.
      written: Events of an answer that leave an engine before it crashes; None
        if not even the head does.
      burst: Number of deadly requests that come at the same moment.
      crashes_per_s: Crashes for other reasons.
      mass_crash_s: Interval of crashes of all engines; infinite without them.
    """

    engines: int = 6
    requests_per_s: float = 24.0
    systems: int = 3
    things: int = 240
    deadly: dict[str, float] = attrs.field(factory=lambda: {"deadly": 0.05})
    written: int | None = 0
    burst: int = 1
    crashes_per_s: float = 0.0
    mass_crash_s: float = float("inf")


@attrs.define(eq=False)
class _Request:
    parts: tuple[str, ...]
    deadly: str | None
    sends: int = 0
    sent_s: float = 0.0
    first_event_s: float = 0.0

    def events(self, now_s: float, written: int | None) -> int | None:
        """Returns the number of events that have arrived; None before a head.

        Args:
          now_s: Current time.
          written: Events of a deadly answer, see `Load`.
        """
        if self.deadly and written is None:
            return None
        if now_s < self.first_event_s - _HEAD_S:
            return None
        if now_s < self.first_event_s:
            return 0
        return 1 + int((now_s - self.first_event_s) / _EVENT_S)


class BusyEngines:
    """Engines, callers and the decision on quarantine.

    Attributes:
      causes: Causes that were put in quarantine for long.
      short_causes: Those that were put in quarantine for a short time.
      crashes_s: Times of the crashes by each deadly part.
      sends_s: Times of the sends of requests with each deadly part.
      served: Times and success of the first sends of sound requests.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.causes: list[frozenset[str]] = []
        self.short_causes: list[frozenset[str]] = []
        self.crashes_s: dict[str, list[float]] = {p: [] for p in load.deadly}
        self.sends_s: dict[str, list[float]] = {p: [] for p in load.deadly}
        self.served: list[tuple[float, bool]] = []
        self._load = load
        self._rng = random.Random(seed)
        self._reports = crash_reports.CrashReports()
        self._policy = quarantine_policy.QuarantinePolicy(self._reports)
        self._proven = proven_parts.ProvenParts()
        self._quarantine = quarantine_lib.Quarantine()
        self._starts = itertools.count()
        self._engines: dict[int, list[_Request]] = {
            next(self._starts): [] for _ in range(load.engines)
        }
        self._returns_s: list[float] = []
        self._is_reported = False

    def late_sends(self, part: str) -> int:
        """Returns the sends of a deadly part that come too late."""
        if len(self.crashes_s[part]) < 5:
            return 0
        since_s = self.crashes_s[part][4] + CONTACT_S
        return sum(sent_s > since_s for sent_s in self.sends_s[part])

    def play(self, duration_s: float = 30.0) -> None:
        """Plays the load."""
        load, rng = self._load, self._rng
        mass_crash_s = load.mass_crash_s
        for step in range(int(duration_s / _STEP_S)):
            now_s = step * _STEP_S
            self._restart(now_s)
            if rng.random() < load.requests_per_s * _STEP_S:
                for req in self._draw():
                    self._send(req, now_s)
            for engine in list(self._engines):
                self._work(engine, now_s)
            if self._engines and rng.random() < load.crashes_per_s * _STEP_S:
                self._crash(rng.choice(list(self._engines)), now_s)
            if now_s >= mass_crash_s:
                mass_crash_s += load.mass_crash_s
                for engine in list(self._engines):
                    self._crash(engine, now_s)
            if self._is_reported or step % 10 == 0:
                self._is_reported = False
                self._decide(now_s)

    def _restart(self, now_s: float) -> None:
        while self._returns_s and self._returns_s[0] <= now_s:
            self._returns_s.pop(0)
            self._engines[next(self._starts)] = []

    def _draw(self) -> list[_Request]:
        rng = self._rng
        system = f"system-{rng.randrange(self._load.systems)}"
        for part, share in self._load.deadly.items():
            if rng.random() < share / self._load.burst:
                return [
                    _Request((system, part), part)
                    for _ in range(self._load.burst)
                ]
        if not self._load.things:
            return [_Request((system,), None)]
        thing = f"thing-{rng.randrange(self._load.things)}"
        return [_Request((system, thing), None)]

    def _send(self, req: _Request, now_s: float) -> None:
        prompt = [request_lib.PromptPart(p, 10) for p in (*req.parts, "own")]
        is_refused = (
            self._quarantine.find(prompt, now_s, is_send=True) is not None
        )
        is_first = not req.sends
        if is_refused or not self._engines:
            if is_first and not req.deadly:
                self.served.append((now_s, False))
            return
        running = min(self._engines.values(), key=len)
        req.sends += 1
        req.sent_s = now_s
        wait_s = self._rng.uniform(0.1, 0.3) + 0.03 * len(running)
        req.first_event_s = now_s + _HEAD_S + wait_s
        running.append(req)
        if req.deadly:
            self.sends_s[req.deadly].append(now_s)

    def _work(self, engine: int, now_s: float) -> None:
        """Plays what an engine writes until now."""
        running = self._engines[engine]
        for req in list(running):
            if req.deadly:
                written_s = (self._load.written or 0) * _EVENT_S
                if now_s >= req.first_event_s + written_s - _STEP_S:
                    self.crashes_s[req.deadly].append(now_s)
                    self._crash(engine, now_s)
                    return
            elif now_s >= req.first_event_s + _EVENTS * _EVENT_S:
                running.remove(req)
                self._proven.add(req.parts, now_s)
                self._quarantine.on_sound(req.parts)
                if req.sends == 1:
                    self.served.append((req.sent_s, True))

    def _crash(self, engine: int, now_s: float) -> None:
        lost = self._engines.pop(engine)
        self._returns_s.append(now_s + _DOWN_S)
        for req in lost:
            unproven = [
                part
                for part in req.parts
                if not self._proven.is_proven_since(part, req.sent_s)
            ]
            events = req.events(now_s, self._load.written)
            self._reports.add(str(engine), unproven, now_s, events)
            self._is_reported = True
            if not req.deadly and req.sends == 1:
                self.served.append((req.sent_s, False))
        for req in lost:
            if req.sends < _MAX_SENDS:
                self._send(req, now_s)

    def _decide(self, now_s: float) -> None:
        suspects = self._reports.suspects(now_s)
        proof = crash_proofs.prove(self._reports, self._proven, suspects)
        for decision in self._policy.decide(suspects, [proof], now_s):
            new = self._quarantine.on_announced(
                [decision.cause], now_s, decision.duration_s
            )
            if decision.is_final:
                self.causes += new
            else:
                self.short_causes += new
