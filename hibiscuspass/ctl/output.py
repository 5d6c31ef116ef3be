"""What the command line prints, and its exit codes."""

from collections.abc import Mapping
import json
import sys
from typing import Any

import yaml

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.ctl import client

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_PENDING = 5

_HTTP_CONFLICT = 409
_FIRST_ERROR_STATUS = 400


def fail(message: str, code: int) -> int:
    """Prints an error and returns the exit code."""
    print(f"error: {message}", file=sys.stderr)
    return code


def show(data: Any, as_json: bool) -> None:
    """Prints data as JSON, or as YAML for people."""
    if isinstance(data, str):
        print(data.rstrip("\n"))
    elif as_json:
        print(json.dumps(data, indent=2, sort_keys=True))
    else:
        print(
            yaml.safe_dump(data, sort_keys=False, allow_unicode=True).rstrip(
                "\n"
            )
        )


def _fail_refused(refused: refusal.Refusal) -> int:
    message = refused.detail
    if refused.run is run_state.RunState.UNKNOWN:
        message += (
            "; the change may have taken effect, so look at the current state"
            " before you repeat it"
        )
    if refused.reason is reason.Reason.UNAUTHENTICATED:
        return fail(message, EXIT_USAGE)
    return fail(message, EXIT_UNREACHABLE)


def _fail_answer(answer: client.Answer) -> int:
    body = answer.data.get("error") if isinstance(answer.data, dict) else None
    if not isinstance(body, Mapping):
        return fail(f"HTTP status {answer.status}", EXIT_REFUSED)
    code = fail(str(body.get("message")), EXIT_REFUSED)
    if answer.status == _HTTP_CONFLICT and "current" in body:
        print("current:", file=sys.stderr)
        print(yaml.safe_dump(body["current"]), file=sys.stderr)
        return EXIT_CONFLICT
    return EXIT_CONFLICT if answer.status == _HTTP_CONFLICT else code


def finish(answer: client.Answer | refusal.Refusal, as_json: bool) -> int:
    """Prints an answer; returns the exit code.

    A change that some router has not acknowledged yet gives `EXIT_PENDING`.
    """
    if isinstance(answer, refusal.Refusal):
        return _fail_refused(answer)
    if answer.status >= _FIRST_ERROR_STATUS:
        return _fail_answer(answer)
    show(answer.data, as_json)
    change = answer.data
    if isinstance(change, Mapping):
        change = change.get("change", change)
    is_pending = isinstance(change, Mapping) and (
        change.get("status") == "pending"
    )
    return EXIT_PENDING if is_pending else EXIT_OK
