"""Lease-based leadership of one coordinator process."""

from typing import Any

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.placement import actions

LEADER_KEY = "coordinator/leader"

# Interval between renewals as a share of the TTL.
_RENEW_SHARE = 1 / 3
# Delay before a failed call is retried as a share of the TTL.
_RETRY_SHARE = 1 / 10


class Leadership:
    """State machine that acquires the leader key and renews its lease.

    The fencing token is the revision at which the leader key was created. A
    paused process may believe that it leads after its lease has expired. The
    fencing token and the compare-and-swap writes of records make that
    harmless.

    Attributes:
      fence: Fencing token while this process believes that it leads, else
        None.
    """

    def __init__(self, process_name: str, ttl_s: int) -> None:
        self.fence: int | None = None
        self._process_name = process_name
        self._ttl_s = ttl_s
        self._lease_id: int | None = None
        self._attempts = 0
        self._leader_value = b""
        self._renewed_s = 0.0
        self._next_action_s = float("-inf")
        self._must_read_leader = True
        self._action_pending = False

    def verify(self) -> None:
        """Makes the next action a read of the leader key."""
        self._must_read_leader = True
        self._next_action_s = float("-inf")

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns the next action that is due, or None."""
        if self._action_pending or now_s < self._next_action_s:
            return None
        self._action_pending = True
        if self._must_read_leader:
            return actions.ReadLeader()
        if self._lease_id is None:
            return actions.GrantLease(self._ttl_s)
        if self.fence is None:
            # The value is unique per attempt. If the reply is lost, reading
            # the key shows whether this attempt or another process succeeded.
            self._attempts += 1
            self._leader_value = (
                f"{self._process_name}/{self._attempts}".encode()
            )
            return actions.CreateLeader(self._lease_id, self._leader_value)
        return actions.KeepAlive(self._lease_id)

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Processes the outcome of an action that this object returned."""
        self._action_pending = False
        match action:
            case actions.ReadLeader():
                self._on_leader_read(result, now_s)
            case actions.GrantLease():
                self._on_lease_granted(result, now_s)
            case actions.CreateLeader():
                self._on_leader_created(result, now_s)
            case actions.KeepAlive():
                self._on_lease_renewed(result, now_s)

    def _on_leader_read(
        self, result: kv_store.ReadResult | refusal.Refusal, now_s: float
    ) -> None:
        if isinstance(result, refusal.Refusal):
            self._schedule_retry(now_s)
            return
        holder = result.entries[0] if result.entries else None
        if holder is not None and holder.value == self._leader_value:
            self._must_read_leader = False
            self.fence = holder.revision
            self._next_action_s = now_s
            return
        self._lose_leadership()
        if holder is None:
            self._must_read_leader = False
            self._next_action_s = now_s
        else:
            self._schedule_retry(now_s)

    def _on_lease_granted(
        self, result: int | refusal.Refusal, now_s: float
    ) -> None:
        if isinstance(result, refusal.Refusal):
            self._schedule_retry(now_s)
            return
        self._lease_id = result
        self._renewed_s = now_s

    def _on_leader_created(
        self, result: kv_store.CasResult | refusal.Refusal, now_s: float
    ) -> None:
        if isinstance(result, refusal.Refusal):
            # The key may have been created despite the failure, so it is read
            # next.
            self.verify()
            self._schedule_retry(now_s)
        elif result.succeeded:
            self.fence = result.revision
            self._renewed_s = now_s
            self._next_action_s = now_s + self._ttl_s * _RENEW_SHARE
        else:
            self._lose_leadership()
            self._schedule_retry(now_s)

    def _on_lease_renewed(
        self, result: int | refusal.Refusal, now_s: float
    ) -> None:
        if not isinstance(result, refusal.Refusal):
            self._renewed_s = now_s
            self._next_action_s = now_s + self._ttl_s * _RENEW_SHARE
            return
        expired = now_s - self._renewed_s > self._ttl_s
        if result.reason is reason_lib.Reason.NOT_FOUND or expired:
            self._lose_leadership()
        self._schedule_retry(now_s)

    def _lose_leadership(self) -> None:
        self.fence = None
        self._lease_id = None
        # If a delayed write still creates the key, its value must not match:
        # this process no longer holds the lease attached to it.
        self._leader_value = b""
        self._must_read_leader = True

    def _schedule_retry(self, now_s: float) -> None:
        self._next_action_s = now_s + self._ttl_s * _RETRY_SHARE
