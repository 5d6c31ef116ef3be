"""Opens streams to a router and counts their events.

This is a separate program, so that its CPU time does not count as the router's.
It prints one JSON line with the numbers of streams, events and complete
streams.
"""

import asyncio
import json
import sys

import defopt


async def _read_stream(port: int, access_key: str, body: bytes) -> int:
    """Returns the number of events, negated if `[DONE]` is missing."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Connection: close\r\nAuthorization: Bearer "
        + access_key.encode()
        + b"\r\nContent-Length: "
        + str(len(body)).encode()
        + b"\r\n\r\n"
        + body
    )
    events, tail = 0, b""
    while chunk := await reader.read(65536):
        events += (tail[-6:] + chunk).count(b"data: {")
        tail = chunk if len(chunk) > 64 else (tail + chunk)[-64:]
    writer.close()
    return events if b"[DONE]" in tail else -events


async def _run(
    port: int, access_key: str, streams: int, ramp_s: float, model: str
) -> dict[str, int]:
    message = {"role": "user", "content": "hello " * 40}
    body = json.dumps(
        {"model": model, "messages": [message], "stream": True}
    ).encode()
    tasks = []
    for _ in range(streams):
        tasks.append(asyncio.create_task(_read_stream(port, access_key, body)))
        await asyncio.sleep(ramp_s / streams)
    counts = await asyncio.gather(*tasks)
    return {
        "streams": streams,
        "events": sum(map(abs, counts)),
        "complete": sum(count > 0 for count in counts),
    }


def main(
    port: int,
    access_key: str,
    *,
    streams: int = 100,
    ramp_s: float = 0.0,
    model: str = "m",
) -> None:
    """Reads streams to their end.

    Args:
      port: Port of the router on loopback.
      access_key: Access key.
      streams: Number of streams.
      ramp_s: Time over which they are opened, in seconds.
      model: Model to ask for.
    """
    result = asyncio.run(_run(port, access_key, streams, ramp_s, model))
    sys.stdout.write(json.dumps(result) + "\n")


if __name__ == "__main__":
    defopt.run(main)
