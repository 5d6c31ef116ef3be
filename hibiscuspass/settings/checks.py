"""Validators for settings; their errors state which values are allowed."""

from collections.abc import Callable
import re
from typing import Any

import attrs

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_RULE = "1 to 63 characters of a-z, 0-9 and -, not starting with -"
_MAX_PORT = 65535


class InvalidValueError(ValueError):
    """A validator rejected a value.

    Attributes:
      value: The rejected value.
      allowed: Description of the allowed values.
    """

    def __init__(self, value: object, allowed: str) -> None:
        super().__init__(f"{value!r} is not allowed; allowed: {allowed}")
        self.value = value
        self.allowed = allowed


def _make_validator(accepts: Callable[[Any], bool], allowed: str) -> Validator:
    def validate(_: Any, __: "attrs.Attribute[Any]", value: Any) -> None:
        if not accepts(value):
            raise InvalidValueError(value, allowed)

    return validate


def in_range(low: float, high: float) -> Validator:
    """Returns a validator for numbers from `low` to `high`, inclusive."""
    return _make_validator(lambda v: low <= v <= high, f"{low} to {high}")


def is_name() -> Validator:
    """Returns a validator for names of processes, workspaces and services."""
    return _make_validator(lambda v: NAME.fullmatch(v) is not None, NAME_RULE)


def is_text() -> Validator:
    """Returns a validator for non-empty strings."""
    return _make_validator(lambda v: v != "", "a non-empty string")


def one_of(*allowed: str) -> Validator:
    """Returns a validator for the given strings."""
    return _make_validator(lambda v: v in allowed, ", ".join(allowed))


def matches(pattern: str, allowed: str) -> Validator:
    """Returns a validator for strings that match a regular expression.

    Args:
      pattern: Regular expression for the whole string.
      allowed: Description of the allowed strings.
    """
    return _make_validator(
        lambda v: re.fullmatch(pattern, v) is not None, allowed
    )


def starts_with(prefix: str) -> Validator:
    """Returns a validator for strings with a given prefix."""
    return _make_validator(
        lambda v: v.startswith(prefix), f"a string that starts with {prefix!r}"
    )


def _is_host_port(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdecimal() and 0 < int(port) <= _MAX_PORT


def is_address() -> Validator:
    """Returns a validator for addresses of the form `host:port`."""
    return _make_validator(
        _is_host_port, f"host:port with port 1 to {_MAX_PORT}"
    )


def is_url() -> Validator:
    """Returns a validator for base addresses of HTTP services."""
    return _make_validator(
        lambda v: re.fullmatch(r"https?://[^\s/]+(/\S*)?", v) is not None,
        "http://host:port or https://host:port",
    )


def each(validator: Validator) -> Validator:
    """Returns a validator that applies another one to each item."""

    def validate(
        instance: Any, field: "attrs.Attribute[Any]", value: Any
    ) -> None:
        for item in value:
            validator(instance, field, item)

    return validate


def unique_names() -> Validator:
    """Returns a validator for sequences in which each `name` is unique."""

    def validate(_: Any, __: "attrs.Attribute[Any]", value: Any) -> None:
        names = [item.name for item in value]
        repeated = sorted({n for n in names if names.count(n) > 1})
        if repeated:
            raise InvalidValueError(
                ", ".join(repeated), "each name at most once"
            )

    return validate
