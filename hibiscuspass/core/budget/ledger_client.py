"""One workspace's ledger key, seen through a single call at a time."""

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import node_context


class LedgerClient:
    """Reads and writes the ledger; knows when a write's outcome is open.

    A write that timed out may still take effect, until the key is seen with a
    later revision than the write expected.

    Attributes:
      ledger: Latest known ledger; None if unknown or absent.
      revision: Its revision; 0 if the key is absent.
      was_read: Whether the key has been read at all.
      read_at_s: Time at which the latest successful call was sent.
      read_token: Token of that call. Tokens grow, so they order calls and
        events also within one reading of the clock.
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
        # Expected revision of a write whose outcome is open.
        self._open_revision: int | None = None
        self._open_before: int | None = None
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
        return self._open_revision is not None

    def owns(self, token: int) -> bool:
        """Whether a result belongs to the call in flight."""
        return token == self._token

    def read(self) -> None:
        """Starts a read."""
        self._start()
        self._ctx.out.append(actions.KvRead(self._token, self._key))

    def write(self, led: ledger_lib.Ledger) -> None:
        """Starts a write on top of the known revision."""
        self._start()
        self._written = led
        self._open_before = self._open_revision
        self._open_revision = self.revision
        self._ctx.out.append(
            actions.KvCas(
                self._token,
                self._key,
                self.revision,
                ledger_codec.encode(led),
            )
        )

    def on_read(self, result: kv_store.ReadResult | refusal.Refusal) -> bool:
        """Takes in a read result; returns whether the ledger is now known."""
        self._token = 0
        if isinstance(result, refusal.Refusal):
            self._back_off()
            return False
        if result.entries:
            entry = result.entries[0]
            self._learn(ledger_codec.decode(entry.value), entry.revision)
        else:
            self._learn(None, 0)
        return True

    def on_cas(self, result: kv_store.CasResult | refusal.Refusal) -> bool:
        """Takes in a write result; returns whether the ledger is now known.

        After a timeout the outcome stays open; the caller reads the key.
        """
        self._token = 0
        written, self._written = self._written, None
        if isinstance(result, refusal.Refusal):
            if result.reason is not reason_lib.Reason.TIMEOUT:
                # The write was not sent; an earlier one may still be open.
                self._open_revision = self._open_before
            self._back_off()
            return False
        if result.succeeded:
            self._learn(written, result.revision)
            return True
        if result.current is None:
            self._learn(None, 0)
        else:
            self._learn(
                ledger_codec.decode(result.current.value),
                result.current.revision,
            )
        return True

    def _start(self) -> None:
        self._token = self._ctx.start_call(self._workspace)
        self._sent_token = self._token
        self._sent_at_s = self._ctx.now_s

    def _learn(self, led: ledger_lib.Ledger | None, revision: int) -> None:
        if self._open_revision is not None and revision > self._open_revision:
            self._open_revision = None
        self.ledger = led
        self.revision = revision
        self.was_read = True
        self.read_at_s = self._sent_at_s
        self.read_token = self._sent_token
        self.failing = False

    def _back_off(self) -> None:
        self.failing = True
        # The copy may lack the write whose reply was lost.
        self.read_at_s = float("-inf")
        self.retry_at_s = self._ctx.now_s + self._ctx.timing.kv_backoff_s
