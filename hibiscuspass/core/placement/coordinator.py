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
    """Asks its shell for actions and takes in their outcomes.

    Several actions may be under way at once, one per backend server and one
    for leadership. Outcomes of an earlier term are ignored.
    """

    def __init__(
        self, own: str, lease_ttl_s: int, check_interval_s: float
    ) -> None:
        self._leadership = leadership.Leadership(own, lease_ttl_s)
        self._check_interval_s = check_interval_s
        self._term: reconciler.Reconciler | None = None
        self._term_fence: int | None = None
        self._plan: Mapping[str, desired.Desired] | None = None
        self._verifying = False
        self._owners: dict[int, reconciler.Reconciler] = {}

    @property
    def fence(self) -> int | None:
        """Fencing token while this process believes that it leads."""
        return self._leadership.fence

    def records(self) -> dict[str, desired.Record] | None:
        """Returns the stored records once this term has read them."""
        if self._term is None or not self._term.has_records:
            return None
        return self._term.records()

    def set_plan(self, plan: Mapping[str, desired.Desired]) -> None:
        """Sets the desired states."""
        self._plan = plan
        if self._term is not None:
            self._term.set_plan(plan)

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns what to do now, None if nothing."""
        action = self._leadership.next_action(now_s)
        if action is not None:
            return action
        if self._term is None:
            return None
        action = self._term.next_action(now_s)
        if action is not None:
            self._owners[id(action)] = self._term
        return action

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Takes in the outcome of an action."""
        if isinstance(action, _LEADERSHIP_ACTIONS):
            self._leadership.on_result(action, result, now_s)
        else:
            owner = self._owners.pop(id(action))
            if owner is self._term:
                owner.on_result(action, result, now_s)
        self._update_term(action)

    def _update_term(self, action: actions.Action) -> None:
        fence = self._leadership.fence
        if fence is None:
            self._term = None
        elif self._term is None or fence != self._term_fence:
            self._term = reconciler.Reconciler(fence, self._check_interval_s)
            if self._plan is not None:
                self._term.set_plan(self._plan)
        elif self._term.is_stale and isinstance(action, actions.ReadLeader):
            self._term.resume()
        elif self._term.is_stale and not self._verifying:
            self._leadership.verify()
        self._term_fence = fence
        self._verifying = self._term is not None and self._term.is_stale
