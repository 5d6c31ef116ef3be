"""A stream ends inside an event, and its last chunk follows."""

import asyncio
import pathlib
import sys

from review.common_2 import stand_ins

_EVENTS = 9
_REQUESTS = 20


def _event(attempt: str, number: int) -> bytes:
    return f"id: {number}\ndata: {attempt}/{number}/{'x' * 40}\n\n".encode()


async def _play(
    deployment: stand_ins.Deployment, record: stand_ins.Record
) -> bool:
    async def serve(
        req: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        first = int(req.headers.get("last-event-id", "0")) + 1
        record.write(f"runs {req.attempt} {req.target} from event {first}")
        writer.write(stand_ins.stream_head(req.attempt))
        for number in range(first, _EVENTS + 1):
            event = _event(req.attempt, number)
            if stand_ins.has_trouble() and first == 1 and number == 5:
                # The server stops in the middle of the event.
                record.write(f"stops {req.attempt} inside event {number}")
                writer.write(stand_ins.chunk(event[:20]))
                break
            writer.write(stand_ins.chunk(event))
            await asyncio.sleep(0.02)
        writer.write(stand_ins.chunk(b""))
        return True

    await deployment.start_store()
    deployment.write_config(
        [
            stand_ins.route("draft", "streaming", "llm", gap_aim_ms=400),
            stand_ins.route(
                "ask",
                "streaming",
                "llm",
                gap_aim_ms=400,
                stream_resume=True,
                max_attempts=2,
            ),
        ],
        [{"name": "llm", "engine": {"slots": 64, "kv_capacity": 317_235}}],
    )
    for number in range(3):
        await deployment.start_server(f"i-{number}", "llm", serve)
    await deployment.start_gateways(2)
    broken = 0
    for number in range(_REQUESTS):
        name = ("draft", "ask")[number % 2]
        attempt = f"{name}{number}"
        reply = await stand_ins.send(
            deployment.ports[number // 2 % 2],
            f"/{name}/2f",
            attempt,
            headers="X-Token-Counts: 100,60\r\n",
        )
        whole = b"".join(_event(attempt, n) for n in range(1, _EVENTS + 1))
        events = reply.body.count(b"\n\n")
        record.write(
            f"client of {attempt}: {reply.status}, {events} of {_EVENTS}"
            f" events, ends as complete: {reply.is_complete},"
            f" last bytes {reply.body[-24:]!r}"
        )
        if reply.status == 200 and reply.is_complete and reply.body != whole:
            broken += 1
    record.write(f"{broken} streams ended as complete before their last event")
    return broken == 0


if __name__ == "__main__":
    sys.exit(stand_ins.run(_play, pathlib.Path(__file__).resolve().parent))
