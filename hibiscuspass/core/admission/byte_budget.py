"""Budget of the bytes that requests make a process keep.

Load pattern: clients that the operator doesn't control send many bodies of
legal size at once, stop short of their ends and keep the connections open, or
don't read long answers. Without a budget the process runs out of memory.
"""

import collections
from collections.abc import Callable
import enum
import math

import attrs

# Memory of a process without load is 60 to 100 MB.
_BASE_BYTES = 100_000_000
# The other half is for what is not counted: connections, heads, buffers of the
# event loop, and fragmentation.
_SHARE_OF_VM = 0.5
# Room for a body of the documented 4 MiB within the share of one key.
_MIN_TOTAL_BYTES = 15_000_000
# One request with a body of the documented 4 MiB and an answer.
_MIN_REQUEST_BYTES = 5 << 20
_REQUEST_SHARE = 0.25
# Many deployments have one busy key; the others keep a quarter of the budget.
_KEY_SHARE = 0.75
# Larger requests leave a quarter of each share to smaller ones.
SMALL_BYTES = 64 * 1024
_LARGE_SHARE = 0.75
# An upload without a byte for this time may be dropped for another request.
_IDLE_S = 1.0


class Outcome(enum.Enum):
    """Whether bytes may be kept; the value is the label in metrics."""

    GRANTED = "granted"
    DROPPED = "dropped"
    TOTAL = "total"
    KEY = "key"
    REQUEST = "request"


@attrs.frozen
class BudgetConfig:
    """Sizes in bytes.

    Attributes:
      total: Bytes of all requests.
      key: Bytes of all requests of one API key.
      request: Bytes of one request, and so of one connection.
    """

    total: float = math.inf
    key: float = math.inf
    request: float = math.inf


def make_config(memory_bytes: float | None) -> BudgetConfig:
    """Returns the budget of a VM.

    Args:
      memory_bytes: Memory of the VM; None without a budget.
    """
    if memory_bytes is None:
        return BudgetConfig()
    total = max(_MIN_TOTAL_BYTES, (memory_bytes - _BASE_BYTES) * _SHARE_OF_VM)
    return BudgetConfig(
        total=total,
        key=total * _KEY_SHARE,
        request=max(_MIN_REQUEST_BYTES, total * _REQUEST_SHARE),
    )


def uncounted_bytes(memory_bytes: float | None, cfg: BudgetConfig) -> float:
    """Returns the memory that base and budget leave; infinite without one."""
    if memory_bytes is None:
        return math.inf
    return memory_bytes - _BASE_BYTES - cfg.total


def _do_nothing() -> None:
    pass


@attrs.define(eq=False)
class Holding:
    """Bytes that one request makes the process keep.

    Attributes:
      key: API key of the request; empty without one.
      held: Number of bytes.
      is_dropped: Whether its upload was dropped for another request.
      on_drop: Called when its upload is dropped.
      refused: Why its upload was refused; None if it was not.
    """

    _budget: "ByteBudget"
    key: str
    held: int = 0
    is_dropped: bool = False
    on_drop: Callable[[], None] = _do_nothing
    refused: Outcome | None = None
    last_s: float = -math.inf

    def add_upload(self, size: int, now_s: float) -> Outcome:
        """Counts bytes of a body that is still arriving."""
        outcome = self._budget.add(self, size, now_s, is_upload=True)
        if outcome is not Outcome.GRANTED:
            self.refused = outcome
        return outcome

    def add(self, size: int, now_s: float) -> Outcome:
        """Counts bytes that depend on no arrival, such as those of answers."""
        return self._budget.add(self, size, now_s, is_upload=False)

    def end_upload(self) -> None:
        """Records that the body has arrived; its bytes stay counted."""
        self.on_drop = _do_nothing
        self._budget.end_upload(self)

    def release(self) -> None:
        """Frees all bytes; later calls do nothing."""
        self.end_upload()
        self._budget.release(self)


def make_unlimited() -> Holding:
    """Returns a holding that counts for no process."""
    return ByteBudget(BudgetConfig()).open("")


class ByteBudget:
    """Counts the bytes of all requests and decides what is kept.

    Attributes:
      held: Bytes of all requests.
      unread: Bytes of answers that wait for callers to read them.
    """

    def __init__(self, cfg: BudgetConfig) -> None:
        self.held = 0
        self.unread = 0
        self._cfg = cfg
        self._by_key: collections.Counter[str] = collections.Counter()
        # In the order of their latest bytes.
        self._uploads: collections.OrderedDict[Holding, None] = (
            collections.OrderedDict()
        )

    def open(self, key: str) -> Holding:
        """Returns a holding without bytes."""
        return Holding(self, key)

    def add(
        self, holding: Holding, size: int, now_s: float, *, is_upload: bool
    ) -> Outcome:
        """Counts more bytes of a request, if they may be kept.

        Idle uploads are dropped for them, the one that is idle for the longest
        time first.

        Args:
          holding: Bytes of the request.
          size: Number of further bytes.
          now_s: Current time on a monotonic clock.
          is_upload: Whether the request's body is still arriving.
        """
        if holding.is_dropped:
            return Outcome.DROPPED
        if holding.held + size > self._cfg.request:
            return Outcome.REQUEST
        is_small = holding.held + size <= SMALL_BYTES
        share = 1.0 if is_small else _LARGE_SHARE
        while self._by_key[holding.key] + size > self._cfg.key * share:
            if not self._drop_idle(now_s, holding, holding.key):
                return Outcome.KEY
        while self.held + self.unread + size > self._cfg.total * share:
            if not self._drop_idle(now_s, holding, None):
                return Outcome.TOTAL
        holding.held += size
        holding.last_s = now_s
        self.held += size
        self._by_key[holding.key] += size
        if is_upload:
            self._uploads[holding] = None
            self._uploads.move_to_end(holding)
        return Outcome.GRANTED

    def end_upload(self, holding: Holding) -> None:
        """Records that a body is complete, so that it isn't dropped."""
        self._uploads.pop(holding, None)

    def release(self, holding: Holding) -> None:
        """Frees the bytes of a request."""
        self.held -= holding.held
        self._by_key[holding.key] -= holding.held
        if self._by_key[holding.key] <= 0:
            del self._by_key[holding.key]
        holding.held = 0

    def _drop_idle(
        self, now_s: float, asking: Holding, key: str | None
    ) -> bool:
        """Drops the longest idle upload, of one key unless it is None."""
        for holding in self._uploads:
            if now_s - holding.last_s < _IDLE_S:
                return False
            if holding is not asking and key in (None, holding.key):
                break
        else:
            return False
        holding.is_dropped = True
        holding.refused = Outcome.DROPPED
        on_drop = holding.on_drop
        holding.release()
        on_drop()
        return True
