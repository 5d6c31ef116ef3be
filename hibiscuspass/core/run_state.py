"""Whether a request was run by a backend server."""

import enum


class RunState(enum.Enum):
    """Whether a request was run, as far as it is known."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
