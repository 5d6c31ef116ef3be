"""Builds completion answers in the JSON format of the OpenAI API.

Source: the "Chat Completions" and "Completions" sections of the OpenAI API
reference.
"""

from collections.abc import Mapping
import time
from typing import Any

import msgspec

from hibiscuspass.backends import engine
from hibiscuspass.core.dispatch import completion

# Values of the `object` field of a complete answer and of a stream chunk.
_OBJECTS = {
    completion.CHAT_PATH: ("chat.completion", "chat.completion.chunk"),
    completion.TEXT_PATH: ("text_completion", "text_completion"),
}


def usage_object(usage: engine.Usage) -> dict[str, Any]:
    """Returns the `usage` object of an answer."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def final_chunk(
    call: completion.CompletionCall,
    request_id: str,
    usage: engine.Usage,
    *,
    limited: bool,
) -> bytes:
    """Returns the last chunk of a stream, which the router adds itself."""
    choices: list[dict[str, Any]] = []
    if limited:
        content: dict[str, Any] = (
            {"delta": {}} if call.path == completion.CHAT_PATH else {"text": ""}
        )
        choices = [{"index": 0, **content, "finish_reason": "length"}]
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": _OBJECTS[call.path][1],
            "created": int(time.time()),
            "model": call.model.name,
            "choices": choices,
            "usage": usage_object(usage),
        }
    )


class ChunkAggregator:
    """Joins the chunks of a stream into one answer."""

    def __init__(self, call: completion.CompletionCall) -> None:
        self._call = call
        self._is_chat = call.path == completion.CHAT_PATH
        self._texts: list[str] = []
        self._message: dict[str, Any] = {}
        self._tool_calls: dict[int, dict[str, Any]] = {}
        self._finish_reason: str | None = None

    def clear(self) -> None:
        """Discards all chunks."""
        self._texts.clear()
        self._message.clear()
        self._tool_calls.clear()
        self._finish_reason = None

    def add(self, data: bytes) -> None:
        """Adds one chunk.

        Raises:
          msgspec.DecodeError: The chunk is not JSON.
        """
        chunk = msgspec.json.decode(data)
        for choice in chunk.get("choices") or ():
            self._finish_reason = (
                choice.get("finish_reason") or self._finish_reason
            )
            if self._is_chat:
                self._add_delta(choice.get("delta") or {})
            else:
                self._texts.append(choice.get("text") or "")

    def _add_delta(self, delta: Mapping[str, Any]) -> None:
        for field, value in delta.items():
            if field == "content":
                self._texts.append(value or "")
            elif field == "tool_calls":
                for call in value or ():
                    self._add_tool_call(call)
            elif isinstance(value, str) and field != "role":
                self._message[field] = self._message.get(field, "") + value
            elif value is not None:
                self._message[field] = value

    def _add_tool_call(self, call: Mapping[str, Any]) -> None:
        merged = self._tool_calls.setdefault(
            call.get("index", 0),
            {"type": "function", "function": {"name": "", "arguments": ""}},
        )
        if call.get("id"):
            merged["id"] = call["id"]
        function = call.get("function") or {}
        for field in ("name", "arguments"):
            merged["function"][field] += function.get(field) or ""

    def response_body(
        self, request_id: str, usage: engine.Usage, *, limited: bool
    ) -> bytes:
        """Returns the JSON of the complete answer."""
        reason = "length" if limited else self._finish_reason or "stop"
        text = "".join(self._texts)
        content: dict[str, Any] = {"text": text}
        if self._is_chat:
            message = {"role": "assistant", **self._message, "content": text}
            if self._tool_calls:
                calls = [c for _, c in sorted(self._tool_calls.items())]
                message["tool_calls"] = calls
            content = {"message": message}
        return msgspec.json.encode(
            {
                "id": request_id,
                "object": _OBJECTS[self._call.path][0],
                "created": int(time.time()),
                "model": self._call.model.name,
                "choices": [{"index": 0, **content, "finish_reason": reason}],
                "usage": usage_object(usage),
            }
        )
