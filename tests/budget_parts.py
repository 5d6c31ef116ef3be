"""Parts of the simulated fleet of budget nodes."""

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import node as node_lib
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib


class FakeKv:
    """A key-value service with revisions.

    Attributes:
      checks_revision: Whether writes other than of billing batches fail if the
        revision differs from the expected one; a test may switch this off.
      create_only: The same for billing batches.
    """

    def __init__(self) -> None:
        self.data: dict[str, kv_store.KeyValue] = {}
        self.revision = 0
        self.checks_revision = True
        self.create_only = True
        self.writes = 0
        self.reads = 0

    def read(self, key: str) -> kv_store.ReadResult:
        self.reads += 1
        found = self.data.get(key)
        return kv_store.ReadResult((found,) if found else (), self.revision)

    def cas(self, key: str, expected: int, value: bytes) -> kv_store.CasResult:
        self.writes += 1
        found = self.data.get(key)
        present = found.revision if found else 0
        is_bill = key.startswith("bills/")
        checked = self.create_only if is_bill else self.checks_revision
        if checked and present != expected:
            return kv_store.CasResult(False, 0, found)
        self.revision += 1
        self.data[key] = kv_store.KeyValue(key, value, self.revision)
        return kv_store.CasResult(True, self.revision)


@attrs.define
class KvCall:
    """A call of the key-value service that has not been answered."""

    router: incarnation.Incarnation
    action: actions.KvRead | actions.KvCas
    # The caller has stopped waiting; the call may still take effect.
    late: bool = False


@attrs.define
class InFlightMessage:
    """A message that has not been delivered."""

    sender: incarnation.Incarnation
    to: incarnation.Incarnation
    msg: message.Message


@attrs.define
class Run:
    """An attempt that has received a permit.

    Attributes:
      permit: The permit.
      entry: Entry router of the attempt.
      started_at_s: Time at which the permit was received.
      cost: Actual cost; None while the attempt runs.
      entry_lost: Whether the entry router has crashed.
    """

    permit: permit_lib.Permit
    entry: incarnation.Incarnation
    started_at_s: float
    cost: int | None = None
    entry_lost: bool = False


@attrs.define
class Router:
    """A router process.

    Attributes:
      node: Its budget node.
      domain: Its failure domain.
      frozen: Whether the process is paused.
      kv_cut: Whether the key-value service can't be reached from it.
      tick_at_s: Time of the next scheduled tick.
    """

    node: node_lib.BudgetNode
    domain: str
    frozen: bool = False
    kv_cut: bool = False
    tick_at_s: float = float("inf")


def default_timing() -> timing_lib.BudgetTiming:
    """Returns delays short enough that all timers expire in short runs."""
    return timing_lib.BudgetTiming(
        flush_interval_s=0.5,
        orphan_window_s=10.0,
        status_check_interval_s=2.0,
        takeover_delay_s=1.0,
        idle_timeout_s=15.0,
        record_interval_s=5.0,
        report_retry_s=1.0,
    )
