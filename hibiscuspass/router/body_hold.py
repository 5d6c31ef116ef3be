"""Counts the body of a call for as long as something uses it."""

import attrs

from hibiscuspass.core.admission import byte_budget


@attrs.define(eq=False)
class BodyHold:
    """The counted bytes of one body, with the number of its users.

    A task that runs a call may outlive the connection of its caller.

    Attributes:
      holding: Bytes in the budget of the process.
    """

    holding: byte_budget.Holding
    _users: int = 1

    def retain(self) -> None:
        """Adds a user, which calls `release` at its end."""
        self._users += 1

    def release(self) -> None:
        """Removes a user; frees the bytes with the last one."""
        self._users -= 1
        if not self._users:
            self.holding.release()
