"""Messages between routers about prepaid tokens."""

import attrs


@attrs.frozen
class Borrow:
    """Asks a peer for tokens.

    Attributes:
      workspace: Workspace of the tokens.
      least: Tokens needed now.
      wanted: Tokens that would be useful.
      priority: Rank of the request that needs them, 0 first.
    """

    workspace: str
    least: int
    wanted: int
    priority: int


@attrs.frozen
class Lent:
    """Tokens that the sender has lent to the recipient.

    Attributes:
      totals: Total lent since the start of both processes, by workspace.
      available: Tokens that remain at the sender, by workspace.
      lender: Sender, in the `name/start_id` form.
      borrower: Start of a router that the totals are for, in the same form;
        tokens lent to an earlier start are not those of the next one.
      address: `host:port` of the sender's peer link.
    """

    totals: dict[str, int]
    available: dict[str, int]
    lender: str
    borrower: str
    address: str


@attrs.frozen
class Accepted:
    """Confirms that tokens were taken in."""


@attrs.frozen
class Totals:
    """Totals of the ledger after a write of the sender.

    Attributes:
      revision: Revision of the write.
      drawn: Total of all routers' draws by workspace.
    """

    revision: int
    drawn: dict[str, int]


@attrs.frozen
class AskAge:
    """Asks how long ago the store had a revision, at most.

    Attributes:
      revision: Revision of the store.
    """

    revision: int


@attrs.frozen
class Age:
    """Answer to `AskAge`.

    Attributes:
      age_s: Largest possible age of the revision in seconds; None if unknown.
      is_exact: Whether the sender has been running all the time; otherwise the
        age is by its time of day.
    """

    age_s: float | None
    is_exact: bool
