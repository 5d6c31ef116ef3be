"""Structured logging to standard error or another stream."""

from collections.abc import Mapping
from collections.abc import MutableMapping
import logging
import re
import sys
from typing import Any

import structlog

from hibiscuspass.settings import logs as log_settings

_REDACTED = "[redacted]"
_SECRET_FIELDS = frozenset(
    {
        "authorization",
        "fleet_key",
        "password",
        "secret",
        "token",
        "access_key",
    }
)
# Only the secret part of an access key is removed; its prefix and id stay
# readable.
_SECRET_TEXT = re.compile(
    r"\b(hp\.[a-z0-9-]+\.[0-9a-f]+|hpo)\.[A-Za-z0-9_-]{8,}"
    r"|\b(Bearer)\s+[^\s\"',;]+",
    re.IGNORECASE,
)


def _redact_text(text: str) -> str:
    return _SECRET_TEXT.sub(
        lambda m: f"{m.group(1) or m.group(2)} {_REDACTED}", text
    )


def _redact(value: Any) -> Any:
    if isinstance(value, str):
        return _redact_text(value)
    if isinstance(value, bytes):
        return _redact_text(value.decode("utf-8", "backslashreplace"))
    if isinstance(value, Mapping):
        return {
            k: _REDACTED if str(k).lower() in _SECRET_FIELDS else _redact(v)
            for k, v in value.items()
        }
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_redact(v) for v in value]
    if isinstance(value, (int, float, bool)) or value is None:
        return value
    return _redact_text(str(value))


def redact_secrets(
    _: Any, __: str, event: MutableMapping[str, Any]
) -> Mapping[str, Any]:
    """Removes secrets from all fields of a log entry."""
    redacted: Mapping[str, Any] = _redact(event)
    return redacted


def configure(
    cfg: log_settings.LoggingSettings,
    process: str,
    stream: Any = None,
) -> None:
    """Configures logging for the whole process.

    Args:
      cfg: Level and format.
      process: `name/start_id`, added to each entry.
      stream: Text stream for the entries, by default standard error.
    """
    stream = stream or sys.stderr
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if cfg.format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    level = logging.getLevelName(cfg.level.upper())
    shared: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    # Tracebacks are formatted before the redaction, so that it covers them.
    final: list[Any] = [
        structlog.processors.format_exc_info,
        redact_secrets,
        renderer,
    ]
    structlog.configure(
        processors=[*shared, *final],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(process=process)
    # Libraries log through the `logging` module.
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                *final,
            ],
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)


def get_logger(name: str) -> Any:
    """Returns the logger of a module; it may be called before `configure`."""
    # `bind` would fix the configuration at import time, before `configure` has
    # added the redaction of secrets.
    return structlog.get_logger(module=name)
