"""A permit to spend part of a grant on one request."""

import enum

import attrs

from hibiscuspass.core import incarnation


class CostKind(enum.Enum):
    """How the cost of a settled request was determined."""

    # Usage reported by the backend server.
    REPORTED = "reported"
    # Tokens counted by the router because the stream was cut.
    COUNTED = "counted"
    # Full hold, because the entry router is gone.
    ESTIMATED = "estimated"


@attrs.frozen
class PermitRequest:
    """Describes the budget that an attempt of a request needs.

    Attributes:
      request_id: Id of the request; the same for a caller's retry with the
        same idempotency key.
      attempt_id: Unique id of this attempt; never reused.
      workspace: Workspace that pays.
      worst_case: Largest possible cost in budget units.
      keyed: Whether the caller sent an idempotency key.
      model: Name of the model or service for the billing record.
    """

    request_id: str
    attempt_id: str
    workspace: str
    worst_case: int
    keyed: bool
    model: str


@attrs.frozen
class Permit:
    """Permits one attempt to spend up to the hold of a grant.

    Attributes:
      request_id: Request that may be run.
      attempt_id: Attempt that may use the permit.
      workspace: Workspace that pays.
      grant_id: Grant that the amount is taken from.
      holder: Router that holds the grant.
      hold: Largest cost that can be settled, in budget units.
      backend: Backend server on which an earlier attempt of the same request
        ran, or an empty string. The new attempt first tries to resume there.
    """

    request_id: str
    attempt_id: str
    workspace: str
    grant_id: str
    holder: incarnation.Incarnation
    hold: int
    backend: str = ""


@attrs.frozen
class Attach:
    """Answers that another attempt of the request has or had the permit.

    Attributes:
      request_id: Request of the earlier attempt.
      backend: Backend server that ran it, or an empty string if unknown.
      settled: Whether the earlier attempt has been settled.
    """

    request_id: str
    backend: str
    settled: bool
