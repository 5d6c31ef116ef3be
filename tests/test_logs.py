"""Guards the log format and the redaction of secrets."""

import json
import logging

import pytest
import structlog

from hibiscuspass.settings import logs as log_settings
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import logs


@pytest.fixture
def output(capsys):
    yield lambda: capsys.readouterr().err
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)


@pytest.mark.parametrize("log_format", ["json", "console"])
def test_keys_and_tokens_are_redacted_wherever_they_appear(output, log_format):
    """Guards against keys and tokens in messages, fields and tracebacks."""
    logs.configure(log_settings.LoggingSettings(format=log_format), "a/1")
    key, stored = secrets.make_access_key("bakery")
    token, _ = secrets.make_operator_token("ines")
    log = logs.get_logger("test")
    log.info(f"request with {key}", note=f"Bearer {token}")
    log.info("headers", headers={"Authorization": "Bearer plain-secret"})
    log.info("nested", items=[{"token": "plain-secret"}, key.encode()])
    log.info("object", error=ValueError(f"bad key {key}"))
    try:
        raise ValueError(f"bad token {token}")
    except ValueError:
        log.exception("failed")
    logging.getLogger("library").warning("got %s", key)
    text = output()
    assert key.rpartition(".")[2] not in text
    assert token.rpartition(".")[2] not in text
    assert "plain-secret" not in text
    assert stored.key_id in text


def test_a_logger_made_at_import_follows_the_later_configuration(output):
    """Guards against loggers that miss the redaction of secrets.

    A logger created at import time exists before the configuration, which adds
    the redaction.
    """
    early = logs.get_logger("early")
    logs.configure(log_settings.LoggingSettings(), "a/1")
    early.info("header", header="Bearer plain-secret")
    entry = json.loads(output())
    assert entry["module"] == "early"
    assert "plain-secret" not in str(entry)


def test_json_entries_are_one_object_per_line(output):
    """Log collectors expect one JSON object with level and process per line."""
    logs.configure(log_settings.LoggingSettings(), "router-a/1")
    logs.get_logger("test").info("started", port=8080)
    logs.get_logger("test").debug("not written")
    entry = json.loads(output())
    assert entry["event"] == "started"
    assert entry["process"] == "router-a/1"
    assert entry["level"] == "info"
