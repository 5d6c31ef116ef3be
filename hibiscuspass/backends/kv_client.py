"""The one client through which a process uses the key-value service."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import TypeVar

import attrs
import prometheus_client

from hibiscuspass.backends import kv_limiter
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_T = TypeVar("_T")

Priority = kv_limiter.Priority

# A process's share of the service at the target size; see the settings.
_DEFAULT_CALLS_PER_S = 20.0
_DEFAULT_BURST = 40


class _Metrics:
    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None
    ) -> None:
        registry = registry or prometheus_client.CollectorRegistry()
        self.calls = prometheus_client.Counter(
            "hibiscuspass_kv_calls",
            "Calls sent to the key-value service; a watch counts once.",
            ["kind", "purpose"],
            registry=registry,
        )
        self.shed = prometheus_client.Counter(
            "hibiscuspass_kv_shed_calls",
            "Calls not sent because of the local rate limit.",
            ["kind", "purpose"],
            registry=registry,
        )
        self.coalesced = prometheus_client.Counter(
            "hibiscuspass_kv_coalesced_reads",
            "Reads answered by another read of the same time.",
            ["purpose"],
            registry=registry,
        )
        self.refused = prometheus_client.Counter(
            "hibiscuspass_kv_refused_calls",
            "Calls that were sent and ended with a refusal.",
            ["kind", "reason"],
            registry=registry,
        )
        self.watches = prometheus_client.Gauge(
            "hibiscuspass_kv_open_watches", "Open watches.", registry=registry
        )


@attrs.define(eq=False)
class _SharedRead:
    """A read that waits to be sent, with the callers that share it."""

    priority: Priority
    task: "asyncio.Task[kv_store.ReadResult | refusal.Refusal] | None" = None
    waiting: int = 0


class _Core:
    """What all views of one client share."""

    def __init__(
        self,
        store: kv_store.KvStore,
        limiter: kv_limiter.Limiter,
        metrics: _Metrics,
    ) -> None:
        self.store = store
        self.limiter = limiter
        self.metrics = metrics
        self.reads: dict[tuple[str, str], _SharedRead] = {}


class KvClient(kv_store.KvStore):
    """A view of the client for one purpose and priority.

    Counts every call, limits the rate of all views together, refuses the
    least urgent calls first with `RATE_LIMITED`, and sends identical reads
    that wait at the same time as one.
    """

    def __init__(self, core: _Core, purpose: str, priority: Priority) -> None:
        self._core = core
        self._purpose = purpose
        self._priority = priority

    def view(self, purpose: str, priority: Priority) -> "KvClient":
        """Returns the same client for another purpose and priority."""
        return KvClient(self._core, purpose, priority)

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""
        return await self._read("get", key, timeout_s)

    async def get_prefix(
        self, prefix: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads all keys below a prefix; linearizable."""
        return await self._read("get_prefix", prefix, timeout_s)

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        *,
        lease_id: int = 0,
        timeout_s: float,
    ) -> kv_store.CasResult | refusal.Refusal:
        """Writes a key if its revision is the expected one."""
        return await self._send(
            "compare_and_swap",
            lambda left_s: self._core.store.compare_and_swap(
                key,
                expected_revision,
                value,
                lease_id=lease_id,
                timeout_s=left_s,
            ),
            timeout_s,
        )

    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Creates a lease and returns its id."""
        return await self._send(
            "grant_lease",
            lambda left_s: self._core.store.grant_lease(
                ttl_s, timeout_s=left_s
            ),
            timeout_s,
        )

    async def keep_alive(
        self, lease_id: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Renews a lease and returns its TTL in seconds."""
        return await self._send(
            "keep_alive",
            lambda left_s: self._core.store.keep_alive(
                lease_id, timeout_s=left_s
            ),
            timeout_s,
        )

    async def revoke_lease(
        self, lease_id: int, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Ends a lease and deletes its keys."""
        return await self._send(
            "revoke_lease",
            lambda left_s: self._core.store.revoke_lease(
                lease_id, timeout_s=left_s
            ),
            timeout_s,
        )

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[kv_store.WatchEvent]:
        """Yields changes below a prefix; ends when the watch is lost.

        It also ends at once if the rate limit refuses it, so that callers
        need one case only: wait, then watch again.
        """
        metrics = self._core.metrics
        wait_s = await self._core.limiter.acquire(self._priority, float("inf"))
        if wait_s is not None:
            metrics.shed.labels("watch", self._purpose).inc()
            return
        metrics.calls.labels("watch", self._purpose).inc()
        metrics.watches.inc()
        events = self._core.store.watch(prefix, from_revision)
        try:
            async for event in events:
                yield event
        finally:
            metrics.watches.dec()
            if hasattr(events, "aclose"):
                await events.aclose()

    async def _read(
        self, kind: str, key: str, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        reads = self._core.reads
        shared = reads.get((kind, key))
        # A read that is on its way may miss a write that the new caller knows
        # of, so it is forgotten when it is sent. A less urgent read may be
        # refused, so it can't be joined either.
        if shared and shared.priority <= self._priority:
            self._core.metrics.coalesced.labels(self._purpose).inc()
        else:
            shared = _SharedRead(self._priority)
            shared.task = asyncio.create_task(
                self._run_read(shared, kind, key, timeout_s)
            )
            reads[kind, key] = shared
        return await self._join(shared, kind, key, timeout_s)

    async def _join(
        self, shared: _SharedRead, kind: str, key: str, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        task = shared.task
        assert task is not None
        shared.waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return refusal.Refusal(
                reason_lib.Reason.TIMEOUT,
                f"key-value service: {kind} of {key!r} took over {timeout_s} s",
            )
        finally:
            shared.waiting -= 1
            if not shared.waiting and not task.done():
                task.cancel()
                self._forget(shared, kind, key)

    async def _run_read(
        self, shared: _SharedRead, kind: str, key: str, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        store = self._core.store
        read = store.get if kind == "get" else store.get_prefix

        def send(
            left_s: float,
        ) -> Awaitable[kv_store.ReadResult | refusal.Refusal]:
            self._forget(shared, kind, key)
            return read(key, timeout_s=left_s)

        try:
            return await self._send(kind, send, timeout_s)
        finally:
            self._forget(shared, kind, key)

    def _forget(self, shared: _SharedRead, kind: str, key: str) -> None:
        if self._core.reads.get((kind, key)) is shared:
            del self._core.reads[kind, key]

    async def _send(
        self,
        kind: str,
        call: Callable[[float], Awaitable[_T | refusal.Refusal]],
        timeout_s: float,
    ) -> _T | refusal.Refusal:
        core = self._core
        start_s = core.limiter.now_s()
        wait_s = await core.limiter.acquire(self._priority, timeout_s)
        if wait_s is not None:
            core.metrics.shed.labels(kind, self._purpose).inc()
            return refusal.Refusal(
                reason_lib.Reason.RATE_LIMITED,
                f"key-value service: {kind} for {self._purpose} is over this"
                " process's rate limit",
                retry_after_s=wait_s,
            )
        core.metrics.calls.labels(kind, self._purpose).inc()
        outcome = await call(timeout_s - (core.limiter.now_s() - start_s))
        if isinstance(outcome, refusal.Refusal):
            core.metrics.refused.labels(kind, outcome.reason.value).inc()
        return outcome


def _call_later(delay_s: float, callback: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(delay_s, callback)


def make_kv_client(
    store: kv_store.KvStore,
    *,
    calls_per_s: float = _DEFAULT_CALLS_PER_S,
    burst: int = _DEFAULT_BURST,
    purpose: str = "other",
    priority: Priority = Priority.NORMAL,
    metrics_registry: prometheus_client.CollectorRegistry | None = None,
    monotonic_s: Callable[[], float] = time.monotonic,
    call_later: Callable[[float, Callable[[], None]], object] = _call_later,
) -> KvClient:
    """Makes the client of one process.

    Args:
      store: Adapter to the service.
      calls_per_s: Calls per second that the process sends at most.
      burst: Calls that may be sent at once after a quiet time.
      purpose: Label of the counters; `KvClient.view` gives others.
      priority: Urgency of the calls; `KvClient.view` gives others.
      metrics_registry: Registry of the counters, by default a private one.
      monotonic_s: Clock of the rate limit in seconds.
      call_later: Calls a function after a delay in seconds on that clock.
    """
    limiter = kv_limiter.Limiter(
        calls_per_s, burst, monotonic_s=monotonic_s, call_later=call_later
    )
    core = _Core(store, limiter, _Metrics(metrics_registry))
    return KvClient(core, purpose, priority)
