"""A permit to spend part of a grant on one request."""

import enum

import attrs

from hibiscuspass.core import incarnation


class CostKind(enum.Enum):
    """How the cost of a settled request is known."""

    # Usage reported by the backend server.
    REPORTED = "reported"
    # Tokens counted by the router because the stream was cut.
    COUNTED = "counted"
    # Full hold, because the entry router is gone.
    ESTIMATED = "estimated"


@attrs.frozen
class PermitRequest:
    """Asks for budget for one request.

    Attributes:
      request_id: Id of the request; the same for a caller's retry with the
        same idempotency key.
      attempt_id: Unique id of this attempt, never used again.
      workspace: Workspace that pays.
      worst_case: Largest possible cost in budget units.
      keyed: Whether the caller sent an idempotency key.
      model: Model or service, for the billing record.
    """

    request_id: str
    attempt_id: str
    workspace: str
    worst_case: int
    keyed: bool
    model: str


@attrs.frozen
class Permit:
    """Budget held for one request.

    Attributes:
      request_id: Request that may run.
      attempt_id: Attempt that may use the permit.
      workspace: Workspace that pays.
      grant_id: Grant that the amount is taken from.
      holder: Router that holds the grant.
      hold: Largest cost that can be settled, in budget units.
      backend: Backend server on which an earlier attempt of the same request
        ran, or an empty string. The new attempt resumes there first.
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
    """The request already has a permit that another attempt uses or used.

    Attributes:
      request_id: Request of the earlier attempt.
      backend: Backend server that ran it, or an empty string if unknown.
      settled: Whether the earlier attempt has been settled.
    """

    request_id: str
    backend: str
    settled: bool
