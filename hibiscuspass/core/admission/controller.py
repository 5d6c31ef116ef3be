"""Interface of admission control."""

import abc

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class AdmissionRequest:
    """A request to be admitted.

    Attributes:
      request_id: Id of the request.
      workspace: Workspace of the request.
      priority: Larger values are served first.
      max_concurrency: Concurrency limit of the workspace on this router.
      deadline_s: Seconds from now within which the request must be admitted.
    """

    request_id: str
    workspace: str
    priority: int
    max_concurrency: int
    deadline_s: float


@attrs.frozen
class Admitted:
    """The request may proceed now."""


@attrs.frozen
class Queued:
    """The request waits; a later `release` or `expire` returns the decision."""


@attrs.frozen
class Decision:
    """Outcome for a request that was queued earlier."""

    request_id: str
    outcome: Admitted | refusal.Refusal


class AdmissionController(abc.ABC):
    """Decides without I/O which requests run, wait or are refused."""

    @abc.abstractmethod
    def admit(
        self, req: AdmissionRequest, now_s: float
    ) -> Admitted | Queued | refusal.Refusal:
        """Decides on a new request."""

    @abc.abstractmethod
    def release(self, request_id: str, now_s: float) -> tuple[Decision, ...]:
        """Ends an admitted or queued request; returns decisions on others."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> tuple[Decision, ...]:
        """Refuses queued requests past their deadline; returns all decisions.

        The result also contains decisions that were not returned before.
        """
