"""Rate-limited client of the key-value service; each process has one."""

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

# Share of one process in the service's capacity at the target fleet size; see
# `KeyValueSettings`.
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
    """A read that several callers may share.

    Attributes:
      priority: Priority of the caller that started the read.
      task: Task that sends the read.
      waiters: Number of callers that wait for the result.
    """

    priority: Priority
    task: "asyncio.Task[kv_store.ReadResult | refusal.Refusal] | None" = None
    waiters: int = 0


class _ClientState:
    """State shared by all views of one client.

    Attributes:
      store: Adapter to the service.
      limiter: Rate limiter.
      metrics: Metrics of the client.
      reads: Reads not sent yet, by kind and key, which other callers may join.
    """

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

    The client counts every call and limits the call rate of all views
    together. Calls above the limit are refused with `RATE_LIMITED`, the least
    urgent ones first. Identical reads that wait for the limiter at the same
    time are sent as one call.
    """

    def __init__(
        self, state: _ClientState, purpose: str, priority: Priority
    ) -> None:
        self._state = state
        self._purpose = purpose
        self._priority = priority

    def view(self, purpose: str, priority: Priority) -> "KvClient":
        """Returns a view of this client for another purpose and priority."""
        return KvClient(self._state, purpose, priority)

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""
        return await self._read("get", key, timeout_s)

    async def get_prefix(
        self, prefix: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads all keys with a prefix; linearizable."""
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
        """Writes or deletes a key if its revision is the expected one."""
        return await self._send(
            "compare_and_swap",
            lambda remaining_s: self._state.store.compare_and_swap(
                key,
                expected_revision,
                value,
                lease_id=lease_id,
                timeout_s=remaining_s,
            ),
            timeout_s,
        )

    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Creates a lease and returns its id."""
        return await self._send(
            "grant_lease",
            lambda remaining_s: self._state.store.grant_lease(
                ttl_s, timeout_s=remaining_s
            ),
            timeout_s,
        )

    async def keep_alive(
        self, lease_id: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Renews a lease and returns its TTL in seconds."""
        return await self._send(
            "keep_alive",
            lambda remaining_s: self._state.store.keep_alive(
                lease_id, timeout_s=remaining_s
            ),
            timeout_s,
        )

    async def revoke_lease(
        self, lease_id: int, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Revokes a lease and deletes its keys."""
        return await self._send(
            "revoke_lease",
            lambda remaining_s: self._state.store.revoke_lease(
                lease_id, timeout_s=remaining_s
            ),
            timeout_s,
        )

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[kv_store.WatchEvent]:
        """Yields changes of keys with a prefix until the watch is lost.

        A watch that the rate limiter refuses ends at once, so that callers
        handle both cases in the same way: they wait and open a new watch.
        """
        metrics = self._state.metrics
        wait_s = await self._state.limiter.acquire(self._priority, float("inf"))
        if wait_s is not None:
            metrics.shed.labels("watch", self._purpose).inc()
            return
        metrics.calls.labels("watch", self._purpose).inc()
        metrics.watches.inc()
        events = self._state.store.watch(prefix, from_revision)
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
        reads = self._state.reads
        shared = reads.get((kind, key))
        # A read that was already sent may miss a write that the new caller has
        # made or seen, so a read can be joined only until it is sent. A less
        # urgent read can't be joined either, because it may be refused.
        if shared and shared.priority <= self._priority:
            self._state.metrics.coalesced.labels(self._purpose).inc()
        else:
            shared = _SharedRead(self._priority)
            shared.task = asyncio.create_task(
                self._send_read(shared, kind, key, timeout_s)
            )
            reads[kind, key] = shared
        return await self._await_shared_read(shared, kind, key, timeout_s)

    async def _await_shared_read(
        self, shared: _SharedRead, kind: str, key: str, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        task = shared.task
        assert task is not None
        shared.waiters += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return refusal.Refusal(
                reason_lib.Reason.TIMEOUT,
                f"key-value service: {kind} of {key!r} took over {timeout_s} s",
            )
        finally:
            shared.waiters -= 1
            if not shared.waiters and not task.done():
                task.cancel()
                self._stop_sharing(shared, kind, key)

    async def _send_read(
        self, shared: _SharedRead, kind: str, key: str, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        store = self._state.store
        read = store.get if kind == "get" else store.get_prefix

        def send(
            remaining_s: float,
        ) -> Awaitable[kv_store.ReadResult | refusal.Refusal]:
            self._stop_sharing(shared, kind, key)
            return read(key, timeout_s=remaining_s)

        try:
            return await self._send(kind, send, timeout_s)
        finally:
            self._stop_sharing(shared, kind, key)

    def _stop_sharing(self, shared: _SharedRead, kind: str, key: str) -> None:
        if self._state.reads.get((kind, key)) is shared:
            del self._state.reads[kind, key]

    async def _send(
        self,
        kind: str,
        call: Callable[[float], Awaitable[_T | refusal.Refusal]],
        timeout_s: float,
    ) -> _T | refusal.Refusal:
        state = self._state
        start_s = state.limiter.now_s()
        wait_s = await state.limiter.acquire(self._priority, timeout_s)
        if wait_s is not None:
            state.metrics.shed.labels(kind, self._purpose).inc()
            return refusal.Refusal(
                reason_lib.Reason.RATE_LIMITED,
                f"key-value service: {kind} for {self._purpose} is over this"
                " process's rate limit",
                retry_after_s=wait_s,
            )
        state.metrics.calls.labels(kind, self._purpose).inc()
        outcome = await call(timeout_s - (state.limiter.now_s() - start_s))
        if isinstance(outcome, refusal.Refusal):
            state.metrics.refused.labels(kind, outcome.reason.value).inc()
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
    """Creates the client of one process.

    Args:
      store: Adapter to the service.
      calls_per_s: Maximum average number of calls per second.
      burst: Number of calls that may be sent at once after an idle period.
      purpose: Value of the metric label `purpose`; `KvClient.view` returns
        views with other values.
      priority: Priority of the calls; `KvClient.view` returns views with
        other priorities.
      metrics_registry: Registry of the metrics, by default a private one.
      monotonic_s: Clock of the rate limiter, in seconds.
      call_later: Calls a function after a delay in seconds of that clock.
    """
    limiter = kv_limiter.Limiter(
        calls_per_s, burst, monotonic_s=monotonic_s, call_later=call_later
    )
    state = _ClientState(store, limiter, _Metrics(metrics_registry))
    return KvClient(state, purpose, priority)
