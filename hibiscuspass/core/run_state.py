"""Whether a request was run by a backend server."""

import enum


class RunState(enum.Enum):
    """What is known about the execution of a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
