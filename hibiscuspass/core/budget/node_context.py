"""State that the roles of one budget node share."""

from collections.abc import Callable
import heapq

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import fleet_index
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.configuration import workspace as workspace_lib

# A router that did not answer is avoided for this time.
_UNRESPONSIVE_S = 5.0
# Prevents an endless loop if a role schedules a time that has passed.
_MIN_WAKE_S = 0.001

PolicyLookup = Callable[[str], workspace_lib.Workspace | None]


class NodeContext:
    """Holds identity, settings, time, timers and outgoing actions.

    Attributes:
      own: Incarnation of this router.
      timing: Delays of the budget protocol.
      policy: Looks up the configuration of a workspace.
      fleet: Membership view of the fleet.
      now_s: Time of the current event, from a monotonic clock.
      draining: Whether the process is about to stop.
      out: Actions that the current event has caused so far.
    """

    def __init__(
        self,
        own: incarnation.Incarnation,
        timing: timing_lib.BudgetTiming,
        policy: PolicyLookup,
    ) -> None:
        self.own = own
        self.timing = timing
        self.policy = policy
        self.fleet = fleet_index.FleetIndex(own)
        self.now_s = 0.0
        self.draining = False
        self.out: list[actions.Action] = []
        self._next_id = 0
        self._calls: dict[int, str] = {}
        self._unresponsive_until_s: dict[incarnation.Incarnation, float] = {}
        self._wakes: list[tuple[float, str]] = []
        self._wake_at: dict[str, float] = {}

    def next_id(self) -> int:
        """Returns a number that this incarnation has not used yet."""
        self._next_id += 1
        return self._next_id

    def start_call(self, workspace: str) -> int:
        """Returns the token of a new call of the key-value service."""
        token = self.next_id()
        self._calls[token] = workspace
        return token

    def end_call(self, token: int) -> str:
        """Ends a call; returns its workspace, or "" if it has ended before."""
        return self._calls.pop(token, "")

    def unique_name(self, kind: str) -> str:
        """Returns an id that is unique in the fleet."""
        return f"{kind}.{self.own.name}.{self.own.start_id}.{self.next_id()}"

    def mark_unresponsive(self, router: incarnation.Incarnation) -> None:
        """Avoids a router that did not answer for `_UNRESPONSIVE_S`."""
        self._unresponsive_until_s[router] = self.now_s + _UNRESPONSIVE_S

    def mark_responsive(self, router: incarnation.Incarnation) -> None:
        """Stops avoiding a router that has answered."""
        self._unresponsive_until_s.pop(router, None)

    def is_responsive(self, router: incarnation.Incarnation) -> bool:
        """Whether a router is not marked as unresponsive."""
        return self._unresponsive_until_s.get(router, 0.0) <= self.now_s

    def choose_witness(
        self, grant_id: str, *, same_domain: bool = False
    ) -> incarnation.Incarnation | None:
        """Returns a witness for a grant; None if no other router is usable."""
        excluded = frozenset(
            r
            for r, until_s in self._unresponsive_until_s.items()
            if until_s > self.now_s
        )
        return self.fleet.witness_for(
            grant_id, excluded, same_domain=same_domain
        )

    def send(self, to: incarnation.Incarnation, msg: message.Message) -> None:
        """Adds a message to the actions."""
        self.out.append(actions.Send(to, msg))

    def emit(
        self,
        kind: str,
        *,
        request_id: str = "",
        workspace: str = "",
        grant_id: str = "",
        **fields: str | int | float | bool,
    ) -> None:
        """Adds a timeline event to the actions."""
        self.out.append(
            actions.EmitEvent(kind, request_id, workspace, grant_id, fields)
        )

    def wake(self, key: str, at_s: float) -> None:
        """Schedules a wake-up of a role or workspace at `at_s` or earlier."""
        at_s = max(at_s, self.now_s + _MIN_WAKE_S)
        scheduled_s = self._wake_at.get(key)
        if scheduled_s is None or at_s < scheduled_s:
            self._wake_at[key] = at_s
            heapq.heappush(self._wakes, (at_s, key))

    def pop_due_keys(self) -> list[str]:
        """Returns the keys whose time has come and removes their timers."""
        keys = []
        while self._wakes and self._wakes[0][0] <= self.now_s:
            at_s, key = heapq.heappop(self._wakes)
            if self._wake_at.get(key) == at_s:
                del self._wake_at[key]
                keys.append(key)
        return keys

    def next_wake_s(self) -> float | None:
        """Returns the earliest scheduled time; None if there is none."""
        while self._wakes:
            at_s, key = self._wakes[0]
            if self._wake_at.get(key) == at_s:
                return at_s
            heapq.heappop(self._wakes)
        return None
