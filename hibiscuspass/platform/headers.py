"""Names and contents of the platform's HTTP headers.

Source: the platform's protocol page, "Requests", "Answers" and "Runners".
"""

import re

import attrs
import multidict

# Id of one attempt of a caller; echoed by backend servers.
ATTEMPT_ID = "X-Attempt-Id"
# Milliseconds for which the sender will wait.
DEADLINE_MS = "X-Deadline-Ms"
# Prompt tokens and largest number of output tokens, separated by a comma.
TOKEN_COUNTS = "X-Token-Counts"
# Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PREFIX = "X-Prompt-Prefix"
# Id of the backend server that the request is for; any other server answers
# with status 421.
EXPECTED_BACKEND = "X-Expect-Instance"
# Workspace of the caller's key, set for the backend server.
WORKSPACE = "X-Tenant"
# Signature of the backend server that made the answer.
STAMP = "X-Server-Stamp"
# Present on answers to requests that were not run.
NOT_EXECUTED = "X-Not-Executed"
# Priority at an engine, 0 (first) to 9; 5 if absent.
URGENCY = "X-Urgency"
# Id of the last event that was received before a stream broke off.
LAST_EVENT_ID = "Last-Event-ID"

# Present on all answers of a backend server that is about to end.
_LEAVING = "Server-Leaving"
_IS_LEAVING = "1"
# With status 503: seconds for which a backend server wants no more requests.
_RETRY_AFTER = "Retry-After"
# Requests per second that a backend server accepts from all routers together.
_LIMIT = "Server-Limit"
_MAX_LOGGED_CHARS = 40
_MAX_LOGGED_VALUES = 4
_DECIMAL = re.compile(r"[0-9]{1,20}(\.[0-9]{1,20})?", re.ASCII)

# Headers that callers can't set: they are removed from callers' requests, and
# the gateway sets those that it uses.
RESERVED = frozenset(
    name.lower()
    for name in (
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        URGENCY,
        EXPECTED_BACKEND,
        "X-Expect-Version",
        WORKSPACE,
        DEADLINE_MS,
        "Authorization",
    )
)


def is_leaving(headers: multidict.MultiMapping[str]) -> bool:
    """Returns whether the server of an answer says that it is about to end."""
    return _IS_LEAVING in (
        value.strip() for value in headers.getall(_LEAVING, ())
    )


def hold_off_s(headers: multidict.MultiMapping[str]) -> float | None:
    """Returns for how long the server of a refusal wants no requests.

    Of several values the longest one counts. Dates, and what is no number, are
    ignored.

    Args:
      headers: Headers of an answer with status 503.

    Returns:
      Time in seconds; None if the server names none.
    """
    values = (v.strip() for v in headers.getall(_RETRY_AFTER, ()))
    return max(
        (float(v) for v in values if _DECIMAL.fullmatch(v)), default=None
    )


def unusable_hold_offs(headers: multidict.MultiMapping[str]) -> tuple[str, ...]:
    """Returns the values that `hold_off_s` ignores, each cut to a few bytes."""
    return _not_decimal(headers, _RETRY_AFTER)


@attrs.frozen
class NamedLimit:
    """What an answer says of the limit of its backend server.

    Attributes:
      per_s: Requests per second that the server accepts from all routers
        together; None if the answer names no limit.
      unusable: Values that are no limit, each cut to a few bytes.
    """

    per_s: float | None = None
    unusable: tuple[str, ...] = ()


def named_limit(headers: multidict.MultiMapping[str]) -> NamedLimit:
    """Returns the limit that an answer names.

    Of several values the lowest one counts. What is no decimal number is
    ignored.
    """
    values = (v.strip() for v in headers.getall(_LIMIT, ()))
    return NamedLimit(
        min((float(v) for v in values if _DECIMAL.fullmatch(v)), default=None),
        _not_decimal(headers, _LIMIT),
    )


def _not_decimal(
    headers: multidict.MultiMapping[str], name: str
) -> tuple[str, ...]:
    values = (v.strip() for v in headers.getall(name, ()))
    return tuple(
        v[:_MAX_LOGGED_CHARS] for v in values if not _DECIMAL.fullmatch(v)
    )[:_MAX_LOGGED_VALUES]
