"""Output and exit codes of the command line."""

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


def print_error(message: str, code: int) -> int:
    """Prints an error message and returns the given exit code."""
    print(f"error: {message}", file=sys.stderr)
    return code


def print_data(data: Any, as_json: bool) -> None:
    """Prints data as JSON or as YAML; prints text unchanged."""
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


def _print_refusal(refused_call: refusal.Refusal) -> int:
    message = refused_call.detail
    if refused_call.run is run_state.RunState.UNKNOWN:
        message += (
            "; the change may have taken effect, so look at the current state"
            " before you repeat it"
        )
    if refused_call.reason is reason.Reason.UNAUTHENTICATED:
        return print_error(message, EXIT_USAGE)
    return print_error(message, EXIT_UNREACHABLE)


def _print_error_answer(answer: client.Answer) -> int:
    body = answer.data.get("error") if isinstance(answer.data, dict) else None
    if not isinstance(body, Mapping):
        return print_error(f"HTTP status {answer.status}", EXIT_REFUSED)
    code = print_error(str(body.get("message")), EXIT_REFUSED)
    if answer.status == _HTTP_CONFLICT and "current" in body:
        print("current:", file=sys.stderr)
        print(yaml.safe_dump(body["current"]), file=sys.stderr)
        return EXIT_CONFLICT
    return EXIT_CONFLICT if answer.status == _HTTP_CONFLICT else code


def print_answer(answer: client.Answer | refusal.Refusal, as_json: bool) -> int:
    """Prints a response or a refusal and returns the exit code.

    The exit code is `EXIT_PENDING` if the response describes a change that some
    router has not acknowledged yet.
    """
    if isinstance(answer, refusal.Refusal):
        return _print_refusal(answer)
    if answer.status >= _FIRST_ERROR_STATUS:
        return _print_error_answer(answer)
    print_data(answer.data, as_json)
    change = answer.data
    if isinstance(change, Mapping):
        change = change.get("change", change)
    is_pending = isinstance(change, Mapping) and (
        change.get("status") == "pending"
    )
    return EXIT_PENDING if is_pending else EXIT_OK
