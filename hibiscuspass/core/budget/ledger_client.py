"""Reads and writes the ledger key of one workspace, one call at a time."""

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import node_context


class LedgerClient:
    """Reads and writes the ledger and tracks writes of unknown outcome.

    A write that timed out may still take effect until the key is read with a
    later revision than the write expected.

    Attributes:
      ledger: Latest ledger that was read or written; None if there is none.
      revision: Revision of that ledger; 0 if the key does not exist.
      was_read: Whether the key has been read at all.
      read_at_s: Time at which the latest successful call was sent.
      read_token: Token of that call. Tokens increase, so they order calls and
        events that have the same clock time.
      retry_at_s: Earliest time of the next call.
      failing: Whether the latest call failed.
    """

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._key = ledger_codec.key(workspace)
        self._token = 0
        self._sent_at_s = 0.0
        self._sent_token = 0
        self._written: ledger_lib.Ledger | None = None
        # Revision that a write of unknown outcome expected.
        self._uncertain_revision: int | None = None
        self._earlier_uncertain_revision: int | None = None
        self.ledger: ledger_lib.Ledger | None = None
        self.revision = 0
        self.was_read = False
        self.read_at_s = float("-inf")
        self.read_token = 0
        self.retry_at_s = float("-inf")
        self.failing = False

    @property
    def busy(self) -> bool:
        """Whether a call is in flight."""
        return self._token != 0

    @property
    def write_outcome_unknown(self) -> bool:
        """Whether an earlier write may still take effect."""
        return self._uncertain_revision is not None

    def owns(self, token: int) -> bool:
        """Whether a token belongs to the call in flight."""
        return token == self._token

    def read(self) -> None:
        """Starts a read of the ledger."""
        self._start()
        self._ctx.out.append(actions.KvRead(self._token, self._key))

    def write(self, led: ledger_lib.Ledger) -> None:
        """Starts a write that expects the latest known revision."""
        self._start()
        self._written = led
        self._earlier_uncertain_revision = self._uncertain_revision
        self._uncertain_revision = self.revision
        self._ctx.out.append(
            actions.KvCas(
                self._token,
                self._key,
                self.revision,
                ledger_codec.encode(led),
            )
        )

    def on_read(self, result: kv_store.ReadResult | refusal.Refusal) -> bool:
        """Handles the result of a read; returns whether it succeeded."""
        self._token = 0
        if isinstance(result, refusal.Refusal):
            self._back_off()
            return False
        if result.entries:
            entry = result.entries[0]
            self._update(ledger_codec.decode(entry.value), entry.revision)
        else:
            self._update(None, 0)
        return True

    def on_cas(self, result: kv_store.CasResult | refusal.Refusal) -> bool:
        """Handles the result of a write; returns whether `ledger` is current.

        It is current after a success and after a conflict. After a timeout the
        outcome stays unknown until the key is read.
        """
        self._token = 0
        written, self._written = self._written, None
        if isinstance(result, refusal.Refusal):
            if result.reason is not reason_lib.Reason.TIMEOUT:
                # The write was not sent. An earlier write may still take
                # effect.
                self._uncertain_revision = self._earlier_uncertain_revision
            self._back_off()
            return False
        if result.succeeded:
            self._update(written, result.revision)
            return True
        if result.current is None:
            self._update(None, 0)
        else:
            self._update(
                ledger_codec.decode(result.current.value),
                result.current.revision,
            )
        return True

    def _start(self) -> None:
        self._token = self._ctx.start_call(self._workspace)
        self._sent_token = self._token
        self._sent_at_s = self._ctx.now_s

    def _update(self, led: ledger_lib.Ledger | None, revision: int) -> None:
        if (
            self._uncertain_revision is not None
            and revision > self._uncertain_revision
        ):
            self._uncertain_revision = None
        self.ledger = led
        self.revision = revision
        self.was_read = True
        self.read_at_s = self._sent_at_s
        self.read_token = self._sent_token
        self.failing = False

    def _back_off(self) -> None:
        self.failing = True
        # The copy may lack a write that took effect but whose reply was lost.
        self.read_at_s = float("-inf")
        self.retry_at_s = self._ctx.now_s + self._ctx.timing.kv_backoff_s
