"""Whether a backend server accepts requests, as one router knows it."""

import enum


class Availability(enum.Enum):
    """State of a backend server that is listed, or was until recently.

    A server that has said that it leaves has no state; it gets no requests.

    Attributes:
      READY: Accepts requests.
      EJECTED: Has failed and is used only if there are no others.
      HOLDING_OFF: Has asked for a time without requests.
      UNLISTED: Its entry is missing, possibly because of an outage of the
        store; used only if there are no others.
      EVACUATED: The operator evacuates its failure domain.
      DRAINING: Its entry says that it accepts no new requests.
    """

    READY = "ready"
    EJECTED = "ejected"
    HOLDING_OFF = "holding_off"
    UNLISTED = "unlisted"
    EVACUATED = "evacuated"
    DRAINING = "draining"
