"""Formats events as text and JSON."""

import datetime
import json
from typing import Any

from hibiscuspass.core import event as event_lib

_KIND_WIDTH = 26


def to_plain(event: event_lib.Event) -> dict[str, Any]:
    """Returns an event as JSON-compatible data without empty ids and fields."""
    named = {
        "request_id": event.request_id,
        "workspace": event.workspace,
        "grant_id": event.grant_id,
    }
    return {
        "at": {"wall_ms": event.at.wall_ms, "counter": event.at.counter},
        "process": event.process,
        "kind": event.kind,
        **{k: v for k, v in named.items() if v},
        **({"fields": dict(event.fields)} if event.fields else {}),
    }


def to_json(event: event_lib.Event) -> str:
    """Returns an event as one line of JSON."""
    return json.dumps(to_plain(event), sort_keys=True)


def to_text(event: event_lib.Event) -> str:
    """Returns an event as one line of human-readable text."""
    at = datetime.datetime.fromtimestamp(
        event.at.wall_ms / 1000, tz=datetime.UTC
    )
    time = f"{at:%Y-%m-%dT%H:%M:%S}.{event.at.wall_ms % 1000:03d}Z"
    named = {
        "request": event.request_id,
        "workspace": event.workspace,
        "grant": event.grant_id,
        **event.fields,
    }
    details = " ".join(f"{k}={v}" for k, v in named.items() if v != "")
    return (
        f"{time}+{event.at.counter:<4} {event.process:<24}"
        f" {event.kind:<{_KIND_WIDTH}} {details}".rstrip()
    )
