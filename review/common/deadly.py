"""Plays requests with a part that crashes engines among sound ones."""

import random

import attrs
import case_record
import engines
import metadata
import runners
import scene

_SLOTS = 64
_PART = "dead0bad"
# The rule: after so many crashes and this time, so many requests may come.
_CRASHES = 5
_CONTACT_S = 3.0
_MAX_ARRIVALS = 3


@attrs.frozen
class DeadlyPlay:
    """Engines and traffic of a case.

    Attributes:
      engines: Number of engines.
      events_written: Events of an answer that leave before the crash.
      first_event_s: Shortest and longest time to the first event in seconds.
      drafts_per_s: Requests of route `bylaw-draft` a second.
      asks_per_s: Requests of route `press-ask` a second, all sound.
      deadly_share: Share of the drafts that have the part.
      length_s: Length of the traffic in seconds.
    """

    engines: int
    events_written: int
    first_event_s: tuple[float, float]
    drafts_per_s: float = 10.0
    asks_per_s: float = 10.0
    deadly_share: float = 0.1
    length_s: float = 40.0

    def make_runners(
        self,
        store: metadata.Store,
        record: case_record.Record,
        rng: random.Random,
        is_troubled: bool,
    ) -> list[runners.Runner]:
        """Creates the engines; without trouble the part does no harm."""
        return [
            engines.Engine(
                f"engine-{number}",
                scene.ENGINE,
                scene.ZONES[number % len(scene.ZONES)],
                _SLOTS,
                store,
                record,
                rng=rng,
                speed=engines.EngineSpeed(self.first_event_s),
                deadly=(
                    engines.DeadlyPart(_PART, self.events_written)
                    if is_troubled
                    else None
                ),
            )
            for number in range(self.engines)
        ]

    async def play(self, stage: scene.Scene) -> bool:
        """Sends the traffic; returns whether the rule was broken."""
        rng = stage.rng
        prompts = scene.Prompts(rng)
        deadly: set[str] = set()
        served_s: list[tuple[float, bool]] = []

        async def draft() -> None:
            attempt_id = stage.new_id()
            is_deadly = rng.random() < self.deadly_share
            if is_deadly:
                deadly.add(attempt_id)
            sent_s = stage.record.now_s()
            _, reply = await stage.send(
                "draft",
                attempt_id=attempt_id,
                deadline_ms=5000,
                **prompts.draft(_PART if is_deadly else None),
            )
            if not is_deadly:
                is_served = reply.status == 200 and reply.is_complete
                served_s.append((sent_s, is_served))

        async def ask() -> None:
            await stage.send("ask", deadline_ms=12_000, **prompts.ask())

        await stage.send_at_random(
            [(draft, self.drafts_per_s), (ask, self.asks_per_s)], self.length_s
        )
        return _judge(stage, deadly, served_s)


def _judge(
    stage: scene.Scene,
    deadly: set[str],
    served_s: list[tuple[float, bool]],
) -> bool:
    """Counts the requests with the part that reach engines too late."""
    crashes_s = sorted(
        at_s
        for runner in stage.runners
        if isinstance(runner, engines.Engine)
        for at_s in runner.crashes_s
    )
    stage.record.add("crashes", number=len(crashes_s))
    if len(crashes_s) < _CRASHES:
        return False
    since_s = crashes_s[_CRASHES - 1] + _CONTACT_S
    late = sorted(
        (at_s, attempt_id)
        for runner in stage.runners
        for at_s, attempt_id in runner.arrivals
        if attempt_id in deadly and at_s > since_s
    )
    for at_s, attempt_id in late:
        stage.record.add("late_arrival", id=attempt_id, at_s=round(at_s, 2))
    after = [is_served for sent_s, is_served in served_s if sent_s > since_s]
    stage.record.add("sound_drafts", sent_since=len(after), served=sum(after))
    stage.record.add(
        "late_arrivals",
        since_s=round(since_s, 2),
        number=len(late),
        allowed=_MAX_ARRIVALS,
    )
    return len(late) > _MAX_ARRIVALS
