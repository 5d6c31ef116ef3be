"""Validation and pricing of completion requests."""

from collections.abc import Mapping
from typing import Any

import attrs
import msgspec

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.dispatch import cost
from hibiscuspass.core.dispatch import json_size
from hibiscuspass.core.dispatch import model_spec

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"

# Limits on values that Python code checks one by one.
_MAX_MESSAGES = 4096
_MAX_TEXT_PARTS = 8192
_MAX_PROMPT_TOKENS = 1_000_000
# Longer than all roles in use. The tokens of a role are part of the overhead
# per message.
_MAX_ROLE_CHARS = 16
# Average for English text with common tokenizers.
_BYTES_PER_TOKEN = 4
# Further fields whose text engines add to the prompt.
_PROMPT_FIELDS = (
    "tools",
    "functions",
    "response_format",
    "suffix",
    "guided_json",
    "guided_grammar",
    "chat_template_kwargs",
)
# Fields that can multiply the output or return the prompt as output. Each must
# be absent or have the one supported value.
_SINGLE_VALUED_FIELDS: Mapping[str, Any] = {
    "n": 1,
    "best_of": 1,
    "echo": False,
    "use_beam_search": False,
}


@attrs.frozen
class CompletionCall:
    """A validated completion request.

    Attributes:
      path: API path.
      body: JSON body to send to the engine.
      model: Model to run.
      adapter: Adapter to run on top of the model, or an empty string.
      stream: Whether the caller asked for server-sent events.
      output_limit: Largest number of generated tokens.
      prompt_tokens: Upper bound on the number of prompt tokens.
      likely_prompt_tokens: Estimated number of prompt tokens. Used to estimate
        times, where the upper bound would cause needless refusals.
      worst_case: Largest possible cost in budget units.
    """

    path: str
    body: Mapping[str, Any]
    model: model_spec.ModelSpec
    adapter: str
    stream: bool
    output_limit: int
    prompt_tokens: int
    likely_prompt_tokens: int
    worst_case: int


def parse(
    path: str,
    raw: bytes,
    workspace: workspace_lib.Workspace,
    models: Mapping[str, model_spec.ModelSpec],
) -> CompletionCall | refusal.Refusal:
    """Parses and validates a request body."""
    body = _decode(raw)
    if isinstance(body, refusal.Refusal):
        return body
    refused = _check_fields(path, body)
    if refused is not None:
        return refused
    spec = _select_model(body["model"], workspace, models)
    if isinstance(spec, refusal.Refusal):
        return spec
    adapter = _select_adapter(body.get("adapter", ""), workspace)
    if isinstance(adapter, refusal.Refusal):
        return adapter
    limit = _output_limit(body, workspace)
    if isinstance(limit, refusal.Refusal):
        return limit
    return _make_call(path, body, spec, adapter, limit)


def _invalid_request(detail: str) -> refusal.Refusal:
    return refusal.Refusal(reason.Reason.INVALID_REQUEST, detail)


def _decode(raw: bytes) -> dict[str, Any] | refusal.Refusal:
    if json_size.exceeds_limit(raw):
        return _invalid_request(
            "body has too many arrays, objects and strings,"
            f" at most {json_size.MAX_JSON_VALUES} are allowed"
        )
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as exc:
        return _invalid_request(f"body is not valid JSON: {exc}")
    if not isinstance(body, dict):
        return _invalid_request("body is not a JSON object")
    return body


def _check_fields(path: str, body: dict[str, Any]) -> refusal.Refusal | None:
    if not isinstance(body.get("model"), str) or not body["model"]:
        return _invalid_request("'model' must be a non-empty string")
    if not isinstance(body.get("stream", False), bool):
        return _invalid_request("'stream' must be true or false")
    if not isinstance(body.get("adapter", ""), str):
        return _invalid_request("'adapter' must be a string")
    for field, allowed in _SINGLE_VALUED_FIELDS.items():
        value = body.get(field)
        if value is not None and value != allowed:
            return _invalid_request(
                f"{field!r} is {value!r}, allowed is {allowed!r}"
            )
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        return _invalid_request("'stream_options' must be an object")
    if path == CHAT_PATH:
        return _check_messages(body.get("messages"))
    return _check_prompt(body.get("prompt"))


def _check_messages(messages: Any) -> refusal.Refusal | None:
    if not isinstance(messages, list) or not messages:
        return _invalid_request("'messages' must be a non-empty array")
    if len(messages) > _MAX_MESSAGES:
        return _invalid_request(
            f"'messages' has {len(messages)} entries,"
            f" at most {_MAX_MESSAGES} are allowed"
        )
    parts = sum(
        len(message["content"])
        for message in messages
        if isinstance(message, dict)
        and isinstance(message.get("content"), list)
    )
    if parts > _MAX_TEXT_PARTS:
        return _invalid_request(
            f"'messages' have {parts} text parts,"
            f" at most {_MAX_TEXT_PARTS} are allowed"
        )
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            return _invalid_request(f"'messages[{index}]' must be an object")
        if not 0 < len(_role(message)) <= _MAX_ROLE_CHARS:
            return _invalid_request(
                f"'messages[{index}].role' must be 1 to"
                f" {_MAX_ROLE_CHARS} characters"
            )
        if not _is_text(message.get("content")):
            return _invalid_request(
                f"'messages[{index}].content' must be text or text parts"
            )
    return None


def _role(message: dict[str, Any]) -> str:
    role = message.get("role")
    return role if isinstance(role, str) else ""


def _is_text(content: Any) -> bool:
    # Other parts are refused: the number of tokens of an image or audio part is
    # not bounded by its bytes.
    if content is None or isinstance(content, str):
        return True
    return isinstance(content, list) and all(
        isinstance(part, dict)
        and part.get("type") == "text"
        and isinstance(part.get("text"), str)
        for part in content
    )


def _check_prompt(prompt: Any) -> refusal.Refusal | None:
    if isinstance(prompt, str):
        return None
    # An array of prompts is refused, because it would produce several outputs.
    if (
        isinstance(prompt, list)
        and 0 < len(prompt) <= _MAX_PROMPT_TOKENS
        and all(type(token) is int and token >= 0 for token in prompt)
    ):
        return None
    return _invalid_request(
        "'prompt' must be one string or an array of token ids"
    )


def _select_model(
    name: str,
    workspace: workspace_lib.Workspace,
    models: Mapping[str, model_spec.ModelSpec],
) -> model_spec.ModelSpec | refusal.Refusal:
    spec = models.get(name)
    if spec is None:
        return refusal.Refusal(
            reason.Reason.UNKNOWN_MODEL,
            f"model {name[:100]!r} is unknown,"
            f" allowed: {', '.join(sorted(workspace.models)) or 'none'}",
        )
    if name not in workspace.models:
        return refusal.Refusal(
            reason.Reason.MODEL_NOT_ALLOWED,
            f"model {name!r} is not allowed in this workspace,"
            f" allowed: {', '.join(sorted(workspace.models)) or 'none'}",
        )
    return spec


def _select_adapter(
    name: str, workspace: workspace_lib.Workspace
) -> str | refusal.Refusal:
    if name and name not in workspace.adapters:
        return refusal.Refusal(
            reason.Reason.MODEL_NOT_ALLOWED,
            f"adapter {name[:100]!r} is not allowed in this workspace,"
            f" allowed: {', '.join(sorted(workspace.adapters)) or 'none'}",
        )
    return name


def _output_limit(
    body: Mapping[str, Any], workspace: workspace_lib.Workspace
) -> int | refusal.Refusal:
    given = [
        (field, body[field])
        for field in ("max_tokens", "max_completion_tokens")
        if body.get(field) is not None
    ]
    for field, value in given:
        if type(value) is not int or value < 1:
            return _invalid_request(
                f"{field!r} is {value!r}, must be at least 1"
            )
        # Depends on the configuration, so an earlier attempt with the same
        # idempotency key may have been accepted; hence not INVALID_REQUEST.
        if value > workspace.max_output_tokens:
            return refusal.Refusal(
                reason.Reason.FORBIDDEN,
                f"{field!r} is {value}, this workspace allows at most"
                f" {workspace.max_output_tokens}",
            )
    return min(
        (value for _, value in given), default=workspace.max_output_tokens
    )


def _make_call(
    path: str,
    body: dict[str, Any],
    spec: model_spec.ModelSpec,
    adapter: str,
    limit: int,
) -> CompletionCall | refusal.Refusal:
    stream = body.get("stream", False)
    prompt_tokens = _prompt_tokens(path, body, spec)
    likely_prompt_tokens = _likely_prompt_tokens(path, body)
    if prompt_tokens + limit > spec.context_tokens:
        # The prompt may fit in the context although the bound derived from its
        # bytes does not. The bound is therefore lowered instead of refusing;
        # engines refuse a prompt that is too long.
        prompt_tokens = max(spec.context_tokens - limit, 0)
        if prompt_tokens == 0:
            return refusal.Refusal(
                reason.Reason.FORBIDDEN,
                f"output limit {limit} does not fit in the context of"
                f" {spec.context_tokens} tokens",
            )
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = limit
    body["stream"] = True
    body["stream_options"] = {
        **(body.get("stream_options") or {}),
        "include_usage": True,
    }
    return CompletionCall(
        path=path,
        body=body,
        model=spec,
        adapter=adapter,
        stream=stream,
        output_limit=limit,
        prompt_tokens=prompt_tokens,
        likely_prompt_tokens=min(likely_prompt_tokens, prompt_tokens),
        worst_case=cost.token_cost(spec, prompt_tokens, limit),
    )


def _likely_prompt_tokens(path: str, body: Mapping[str, Any]) -> int:
    if path == CHAT_PATH:
        text = sum(map(_message_bytes, body["messages"]))
        return text // _BYTES_PER_TOKEN + 1
    prompt = body["prompt"]
    if isinstance(prompt, list):
        return len(prompt)
    return cost.text_bytes(prompt) // _BYTES_PER_TOKEN + 1


def _message_bytes(message: Mapping[str, Any]) -> int:
    content = message.get("content")
    if isinstance(content, list):
        text = sum(cost.text_bytes(part["text"]) for part in content)
    else:
        text = cost.text_bytes(content)
    # The role is part of the overhead per message.
    other_fields = {
        field: value
        for field, value in message.items()
        if field not in ("role", "content")
    }
    return text + (cost.text_bytes(other_fields) if other_fields else 0)


def _prompt_tokens(
    path: str, body: Mapping[str, Any], spec: model_spec.ModelSpec
) -> int:
    extra = sum(cost.text_bytes(body.get(field)) for field in _PROMPT_FIELDS)
    if path == CHAT_PATH:
        messages = body["messages"]
        return cost.prompt_bound(
            spec,
            sum(map(_message_bytes, messages)) + extra,
            len(messages) + 1,
        )
    prompt = body["prompt"]
    if isinstance(prompt, list):
        return len(prompt) + cost.prompt_bound(spec, extra, 1)
    return cost.prompt_bound(spec, cost.text_bytes(prompt) + extra, 1)
