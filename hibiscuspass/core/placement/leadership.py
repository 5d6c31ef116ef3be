"""Lease-based leadership of one coordinator process."""

from typing import Any

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.placement import actions

LEADER_KEY = "coordinator/leader"

# Shares of the TTL: between renewals, and until a failed call is repeated.
_RENEW_SHARE = 1 / 3
_RETRY_SHARE = 1 / 10


class Leadership:
    """Holds or awaits the leader key.

    The fencing token is the revision at which the leader key was created. A
    paused process may believe that it leads after its lease has expired; the
    token and the compare-and-swap records make that harmless.

    Attributes:
      fence: Fencing token while this process believes that it leads, else
        None.
    """

    def __init__(self, own: str, ttl_s: int) -> None:
        self.fence: int | None = None
        self._own = own
        self._ttl_s = ttl_s
        self._lease_id: int | None = None
        self._attempt = 0
        self._value = b""
        self._renewed_s = 0.0
        self._next_s = float("-inf")
        self._must_read = True
        self._busy = False

    def verify(self) -> None:
        """Makes the next action a read of the leader key."""
        self._must_read = True
        self._next_s = float("-inf")

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns what to do now, None if nothing."""
        if self._busy or now_s < self._next_s:
            return None
        self._busy = True
        if self._must_read:
            return actions.ReadLeader()
        if self._lease_id is None:
            return actions.GrantLease(self._ttl_s)
        if self.fence is None:
            # The value names the attempt, so that a lost reply can be told
            # from another process's success.
            self._attempt += 1
            self._value = f"{self._own}/{self._attempt}".encode()
            return actions.CreateLeader(self._lease_id, self._value)
        return actions.KeepAlive(self._lease_id)

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Takes in the outcome of an own action."""
        self._busy = False
        match action:
            case actions.ReadLeader():
                self._on_read(result, now_s)
            case actions.GrantLease():
                self._on_lease(result, now_s)
            case actions.CreateLeader():
                self._on_created(result, now_s)
            case actions.KeepAlive():
                self._on_renewed(result, now_s)

    def _on_read(
        self, result: kv_store.ReadResult | refusal.Refusal, now_s: float
    ) -> None:
        if isinstance(result, refusal.Refusal):
            self._retry(now_s)
            return
        holder = result.entries[0] if result.entries else None
        if holder is not None and holder.value == self._value:
            self._must_read = False
            self.fence = holder.revision
            self._next_s = now_s
            return
        self._lose()
        if holder is None:
            self._must_read = False
            self._next_s = now_s
        else:
            self._retry(now_s)

    def _on_lease(self, result: int | refusal.Refusal, now_s: float) -> None:
        if isinstance(result, refusal.Refusal):
            self._retry(now_s)
            return
        self._lease_id = result
        self._renewed_s = now_s

    def _on_created(
        self, result: kv_store.CasResult | refusal.Refusal, now_s: float
    ) -> None:
        if isinstance(result, refusal.Refusal):
            # Whether the key was created is read from the key itself.
            self.verify()
            self._retry(now_s)
        elif result.succeeded:
            self.fence = result.revision
            self._renewed_s = now_s
            self._next_s = now_s + self._ttl_s * _RENEW_SHARE
        else:
            self._lose()
            self._retry(now_s)

    def _on_renewed(self, result: int | refusal.Refusal, now_s: float) -> None:
        if not isinstance(result, refusal.Refusal):
            self._renewed_s = now_s
            self._next_s = now_s + self._ttl_s * _RENEW_SHARE
            return
        expired = now_s - self._renewed_s > self._ttl_s
        if result.reason is reason_lib.Reason.NOT_FOUND or expired:
            self._lose()
        self._retry(now_s)

    def _lose(self) -> None:
        self.fence = None
        self._lease_id = None
        # A delayed creation of the key must not be adopted without its lease.
        self._value = b""
        self._must_read = True

    def _retry(self, now_s: float) -> None:
        self._next_s = now_s + self._ttl_s * _RETRY_SHARE
