"""Leadership and reconciliation of one coordinator process, without I/O."""

from collections.abc import Mapping
from typing import Any

from hibiscuspass.core.placement import actions
from hibiscuspass.core.placement import desired
from hibiscuspass.core.placement import leadership
from hibiscuspass.core.placement import reconciler

_LEADERSHIP_ACTIONS = (
    actions.ReadLeader
    | actions.GrantLease
    | actions.CreateLeader
    | actions.KeepAlive
)


class Coordinator:
    """State machine that returns actions and processes their outcomes.

    The caller executes the actions. Several may be in progress at once: one
    per backend server and one for leadership. Outcomes of actions from an
    earlier term are ignored.
    """

    def __init__(
        self, process_name: str, lease_ttl_s: int, check_interval_s: float
    ) -> None:
        self._leadership = leadership.Leadership(process_name, lease_ttl_s)
        self._check_interval_s = check_interval_s
        self._reconciler: reconciler.Reconciler | None = None
        self._reconciler_fence: int | None = None
        self._plan: Mapping[str, desired.DesiredState] | None = None
        self._verification_requested = False
        # Reconciler that issued each pending action, by the action's `id()`.
        self._issuers: dict[int, reconciler.Reconciler] = {}

    @property
    def fence(self) -> int | None:
        """Fencing token, or None if this process doesn't believe it leads."""
        return self._leadership.fence

    def records(self) -> dict[str, desired.PlacementRecord] | None:
        """Returns the stored records, or None until this term has read them."""
        if self._reconciler is None or not self._reconciler.has_records:
            return None
        return self._reconciler.records()

    def set_plan(self, plan: Mapping[str, desired.DesiredState]) -> None:
        """Sets the desired state of each engine."""
        self._plan = plan
        if self._reconciler is not None:
            self._reconciler.set_plan(plan)

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns the next action that is due, or None."""
        action = self._leadership.next_action(now_s)
        if action is not None:
            return action
        if self._reconciler is None:
            return None
        action = self._reconciler.next_action(now_s)
        if action is not None:
            self._issuers[id(action)] = self._reconciler
        return action

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Processes the outcome of an action."""
        if isinstance(action, _LEADERSHIP_ACTIONS):
            self._leadership.on_result(action, result, now_s)
        else:
            issuer = self._issuers.pop(id(action))
            if issuer is self._reconciler:
                issuer.on_result(action, result, now_s)
        self._update_reconciler(action)

    def _update_reconciler(self, action: actions.Action) -> None:
        fence = self._leadership.fence
        if fence is None:
            self._reconciler = None
        elif self._reconciler is None or fence != self._reconciler_fence:
            self._reconciler = reconciler.Reconciler(
                fence, self._check_interval_s
            )
            if self._plan is not None:
                self._reconciler.set_plan(self._plan)
        elif self._reconciler.is_stale and isinstance(
            action, actions.ReadLeader
        ):
            self._reconciler.resume()
        elif self._reconciler.is_stale and not self._verification_requested:
            self._leadership.verify()
        self._reconciler_fence = fence
        self._verification_requested = (
            self._reconciler is not None and self._reconciler.is_stale
        )
