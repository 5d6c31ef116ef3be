"""Validators for settings; their errors say what is allowed."""

from collections.abc import Callable
import re
from typing import Any

import attrs

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_RULE = "1 to 63 characters of a-z, 0-9 and -, not starting with -"
_MAX_PORT = 65535


class InvalidValueError(ValueError):
    """A value that a validator does not accept.

    Attributes:
      value: The bad value.
      allowed: What is allowed.
    """

    def __init__(self, value: object, allowed: str) -> None:
        super().__init__(f"{value!r} is not allowed; allowed: {allowed}")
        self.value = value
        self.allowed = allowed


def _make(accepts: Callable[[Any], bool], allowed: str) -> Validator:
    def validate(_: Any, __: "attrs.Attribute[Any]", value: Any) -> None:
        if not accepts(value):
            raise InvalidValueError(value, allowed)

    return validate


def in_range(low: float, high: float) -> Validator:
    """Accepts numbers from `low` to `high`, both included."""
    return _make(lambda v: low <= v <= high, f"{low} to {high}")


def is_name() -> Validator:
    """Accepts names of processes, workspaces, models and the like."""
    return _make(lambda v: NAME.fullmatch(v) is not None, NAME_RULE)


def is_text() -> Validator:
    """Accepts any text but the empty string."""
    return _make(lambda v: v != "", "a non-empty string")


def one_of(*allowed: str) -> Validator:
    """Accepts the listed strings."""
    return _make(lambda v: v in allowed, ", ".join(allowed))


def matches(pattern: str, allowed: str) -> Validator:
    """Accepts strings that a regular expression matches as a whole."""
    return _make(lambda v: re.fullmatch(pattern, v) is not None, allowed)


def starts_with(prefix: str) -> Validator:
    """Accepts strings with a given prefix."""
    return _make(
        lambda v: v.startswith(prefix), f"a string that starts with {prefix!r}"
    )


def _is_host_port(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdecimal() and 0 < int(port) <= _MAX_PORT


def is_address() -> Validator:
    """Accepts `host:port`."""
    return _make(_is_host_port, f"host:port with port 1 to {_MAX_PORT}")


def is_url() -> Validator:
    """Accepts base addresses of HTTP services."""
    return _make(
        lambda v: re.fullmatch(r"https?://[^\s/]+(/\S*)?", v) is not None,
        "http://host:port or https://host:port",
    )


def each(validator: Validator) -> Validator:
    """Applies a validator to each item of a sequence."""

    def validate(
        instance: Any, field: "attrs.Attribute[Any]", value: Any
    ) -> None:
        for item in value:
            validator(instance, field, item)

    return validate


def unique_names() -> Validator:
    """Accepts sequences whose items have different `name`s."""

    def validate(_: Any, __: "attrs.Attribute[Any]", value: Any) -> None:
        names = [item.name for item in value]
        repeated = sorted({n for n in names if names.count(n) > 1})
        if repeated:
            raise InvalidValueError(
                ", ".join(repeated), "each name at most once"
            )

    return validate
