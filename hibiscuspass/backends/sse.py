"""Incremental parser of server-sent events (WHATWG HTML, section 9.2)."""

# A larger event is treated as an error in the stream.
_MAX_EVENT_BYTES = 4 * 1024 * 1024


class OversizeError(ValueError):
    """An event is larger than the parser allows."""


class SseParser:
    """Parses a stream that arrives in chunks; line ends are LF or CRLF."""

    def __init__(self, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._tail = b""

    def feed(self, chunk: bytes) -> list[tuple[bytes, bytes]]:
        """Returns id and data of each event that a chunk completes.

        Comments and events without data are skipped. The events are tuples
        rather than objects because this method runs for every token.

        Raises:
          OversizeError: An event is too large.
        """
        text = self._tail + chunk if self._tail else chunk
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n")
        blocks = text.split(b"\n\n")
        self._tail = tail = blocks.pop()
        if len(tail) > self._max_event_bytes:
            raise OversizeError(
                f"event of more than {self._max_event_bytes} bytes"
            )
        events = []
        for block in blocks:
            event = _parse_block(block)
            if event:
                events.append(event)
        return events


def _parse_block(block: bytes) -> tuple[bytes, bytes] | None:
    event_id, rest = b"", block
    if block.startswith(b"id: "):
        head, _, rest = block.partition(b"\n")
        event_id = head[4:]
    if rest.startswith(b"data: ") and b"\n" not in rest:
        return event_id, rest[6:]
    return _parse_lines(block)


def _parse_lines(block: bytes) -> tuple[bytes, bytes] | None:
    event_id, data = b"", []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value
    return (event_id, b"\n".join(data)) if data else None
