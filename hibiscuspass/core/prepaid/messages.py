"""Messages that routers exchange about prepaid tokens."""

import attrs


@attrs.frozen
class Borrow:
    """Asks a peer to lend tokens.

    Attributes:
      workspace: Workspace of the tokens.
      least: Tokens that the sender needs now.
      wanted: Tokens that the sender would like to borrow in total.
      priority: Priority of the request that needs them; 0 is the most urgent.
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
      available: Tokens still available at the sender, by workspace.
      lender: Process of the sender in the form `name/start_id`.
      borrower: Process that the totals apply to, in the same form. A restarted
        router must not use tokens that were lent to its previous process.
      address: `host:port` of the sender's peer link.
      drawn: Last known total drawn by all routers, by workspace.
      revisions: Revisions of the ledger records with these totals, by
        workspace.
      store_asked: Whether the sender could draw tokens that the borrower
        needed, or needed none.
      era: Era of the store that the revisions belong to; None without eras.
    """

    totals: dict[str, int]
    available: dict[str, int]
    lender: str
    borrower: str
    address: str
    drawn: dict[str, int] = attrs.field(factory=dict)
    revisions: dict[str, int] = attrs.field(factory=dict)
    store_asked: bool = True
    era: int | None = None


@attrs.frozen
class Accepted:
    """Confirms that the recipient added the lent tokens to its accounts."""


@attrs.frozen
class Totals:
    """Announces the totals of the ledger after a write by the sender.

    Attributes:
      revision: Revision of the write.
      drawn: Total drawn by all routers, by workspace.
      era: Era of the store that the revision belongs to; None without eras.
    """

    revision: int
    drawn: dict[str, int]
    era: int | None = None


@attrs.frozen
class AskAge:
    """Asks for the largest possible age of a revision of the store.

    Attributes:
      revision: Revision of the store.
    """

    revision: int


@attrs.frozen
class Age:
    """Answers an `AskAge` message.

    Attributes:
      age_s: Largest possible age of the revision in seconds; None if unknown.
      is_exact: Whether the sender has been running since before the revision
        and measured the age with its monotonic clock. Otherwise the age comes
        from its wall clock.
    """

    age_s: float | None
    is_exact: bool
