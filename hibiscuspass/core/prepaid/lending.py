"""Loans of prepaid tokens between one router and its peers."""

from collections.abc import Iterable
from collections.abc import Mapping

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import account
from hibiscuspass.core.prepaid import loan_policy
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib


class Lending:
    """Lends, borrows and returns tokens of one router, without I/O."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        process: incarnation.Incarnation,
        address: str,
    ) -> None:
        self._accounts = accounts
        self._process = process
        self._address = address

    def wanted_loan(self, workspace: str, tokens: int, now_s: float) -> int:
        """Returns the tokens to borrow for a request, see `loan_policy`."""
        usage = self._accounts.usage(workspace, now_s)
        return loan_policy.wanted_loan(usage, tokens, now_s)

    def lend(
        self, peer: incarnation.Incarnation, ask: messages.Borrow, now_s: float
    ) -> messages.Lent:
        """Lends tokens to a peer in reply to its `Borrow` message."""
        accounts = self._accounts
        acc = accounts.usage(ask.workspace, now_s).account
        reserved = accounts.reserve(ask.workspace, ask.priority, now_s)
        before = acc.lent.get(peer, 0)
        total = acc.lend(peer, ask.least, ask.wanted, reserved)
        if peer.name not in accounts.holders.of(ask.workspace):
            # The peer doesn't draw for this workspace, so the draws of this
            # router have to cover its usage.
            accounts.add_usage(
                ask.workspace, ask.priority, total - before, now_s
            )
        return self._lent(peer, {ask.workspace: total}, {ask.workspace: acc})

    def lend_all(
        self,
        peer: incarnation.Incarnation,
        workspaces: Iterable[str],
        now_s: float,
    ) -> messages.Lent | None:
        """Lends all available tokens of some workspaces to a peer.

        Args:
          peer: Borrower.
          workspaces: Workspaces of the tokens.
          now_s: Current time.

        Returns:
          The loan; None if there are no tokens.
        """
        accounts = {
            name: acc
            for name in workspaces
            if (acc := self._accounts.usage(name, now_s).account).available > 0
        }
        totals = {
            name: acc.lend(peer, acc.available, 0)
            for name, acc in accounts.items()
        }
        return self._lent(peer, totals, accounts) if totals else None

    def surplus_workspaces(self, now_s: float) -> list[str]:
        """Returns the workspaces of which this router should return tokens."""
        accounts = self._accounts
        return [
            name
            for name in accounts.known_workspaces()
            if not accounts.holders.is_holder(name)
            and loan_policy.is_surplus(accounts.usage(name, now_s), now_s)
        ]

    def return_loans(
        self,
        workspaces: Iterable[str],
        live: Mapping[str, incarnation.Incarnation],
        now_s: float,
    ) -> dict[incarnation.Incarnation, messages.Lent]:
        """Lends to the holders what this router has left of their loans.

        Args:
          workspaces: Result of `surplus_workspaces`.
          live: Peers that are alive, by name.
          now_s: Current time.

        Returns:
          Loans by borrower.
        """
        by_holder: dict[incarnation.Incarnation, list[str]] = {}
        for name in workspaces:
            names = self._accounts.holders.of(name)
            holders = [live[n] for n in names if n in live]
            if holders:
                acc = self._accounts.usage(name, now_s).account
                lender = loan_policy.main_lender(acc, holders)
                by_holder.setdefault(lender, []).append(name)
        loans = {
            peer: self.lend_all(peer, names, now_s)
            for peer, names in by_holder.items()
        }
        return {peer: loan for peer, loan in loans.items() if loan}

    def receive(self, lent: messages.Lent, now_s: float) -> int:
        """Adds loans to this process; returns the number of new tokens."""
        if lent.borrower != str(self._process):
            return 0
        lender = incarnation.parse(lent.lender)
        received = 0
        for name, total in lent.totals.items():
            usage = self._accounts.usage(name, now_s)
            tokens = usage.account.receive(lender, total)
            if tokens and lender.name not in self._accounts.holders.of(name):
                # A borrower returns tokens that counted as used when lent.
                usage.rate.add(-tokens, now_s)
            received += tokens
        return received

    def _lent(
        self,
        peer: incarnation.Incarnation,
        totals: Mapping[str, int],
        accounts: Mapping[str, account.Account],
    ) -> messages.Lent:
        ledger = self._accounts.ledger
        return messages.Lent(
            totals=dict(totals),
            available={name: acc.available for name, acc in accounts.items()},
            lender=str(self._process),
            borrower=str(peer),
            address=self._address,
            drawn={n: ledger.total(n) for n in totals},
            revisions={n: ledger.total_revision(n) for n in totals},
            era=ledger.eras.present,
        )
