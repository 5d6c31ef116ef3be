"""Continuous batching of the engine test server."""

import asyncio
import collections
from collections.abc import Callable
import heapq
import itertools
import math
from typing import Any

import attrs

from standins import engine_run
from standins import prefix_cache

_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 32


@attrs.frozen
class BatchSettings:
    """Capacity and speed of an engine.

    Attributes:
      max_batch: Maximum number of requests that generate at the same time.
      max_queue: Maximum number of queued requests; more are refused.
      token_interval_s: Duration of one step, in which each request of the batch
        generates one token.
      prefill_tokens_per_step: Prompt tokens processed per step and request.
      output_tokens: Tokens per request, unless its output limit is lower.
      tokens_per_event: Tokens in one event.
      cache_blocks: Capacity of the prefix cache in blocks.
      retention_s: Time for which finished requests can be resumed.
    """

    max_batch: int = 16
    max_queue: int = 64
    token_interval_s: float = 0.005
    prefill_tokens_per_step: int = 2048
    output_tokens: int = _DEFAULT_OUTPUT_TOKENS
    tokens_per_event: int = 1
    cache_blocks: int = 4096
    retention_s: float = 120.0


class Batch:
    """Queue of requests, the running batch and the retained runs.

    Attributes:
      starts: How often each request id was accepted; never cleared.
      history: Last run of each request id; never cleared.
      runs: Runs that can be resumed, by request id.
      extra_tokens: Tokens generated beyond the output limit as a fault.
      on_token: Called after each generated event.
    """

    def __init__(
        self, settings: BatchSettings, monotonic_s: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.cache = prefix_cache.PrefixCache(
            settings.cache_blocks, monotonic_s
        )
        self.starts: collections.Counter[str] = collections.Counter()
        self.history: dict[str, engine_run.Run] = {}
        self.runs: dict[str, engine_run.Run] = {}
        self.extra_tokens = 0
        self.on_token: Callable[[engine_run.Run], None] = lambda run: None
        self._monotonic_s = monotonic_s
        self._waiting: list[tuple[int, int, engine_run.Run]] = []
        self._running: list[engine_run.Run] = []
        self._ended: collections.deque[engine_run.Run] = collections.deque()
        self._arrival_numbers = itertools.count()
        self._wake = asyncio.Event()

    @property
    def waiting(self) -> list[engine_run.Run]:
        """Runs in the queue."""
        return [run for _, _, run in self._waiting if not run.ended]

    @property
    def running(self) -> list[engine_run.Run]:
        """Runs in the batch."""
        return self._running

    @property
    def queued_prompt_tokens(self) -> int:
        """Prompt tokens of all runs that are not yet processed."""
        return sum(r.prefill_remaining for r in (*self.waiting, *self._running))

    @property
    def full(self) -> bool:
        """Whether a new request would be refused."""
        return (
            len(self._running) >= self.settings.max_batch
            and len(self.waiting) >= self.settings.max_queue
        )

    def submit(
        self,
        request_id: str,
        body: dict[str, Any],
        *,
        chat: bool,
        priority: int,
    ) -> engine_run.Run:
        """Queues a request and returns its run."""
        self._drop_expired_runs()
        prompt = prefix_cache.prompt_bytes(body)
        hits = self.cache.store_prompt(prefix_cache.block_hashes(prompt))
        prompt_tokens = max(1, math.ceil(len(prompt) / _BYTES_PER_TOKEN))
        cached = hits * prefix_cache.BLOCK_BYTES // _BYTES_PER_TOKEN
        wanted = self.settings.output_tokens
        limit = int(body.get("max_tokens") or wanted)
        run = engine_run.Run(
            request_id=request_id,
            chat=chat,
            model=str(body.get("model", "")),
            priority=priority,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached,
            prefill_remaining=max(0, prompt_tokens - cached),
            output_limit=min(limit, wanted),
        )
        self.starts[request_id] += 1
        self.runs[request_id] = self.history[request_id] = run
        heapq.heappush(
            self._waiting, (-priority, next(self._arrival_numbers), run)
        )
        self._wake.set()
        return run

    def find(self, request_id: str) -> engine_run.Run | None:
        """Returns the run of a request, None if it can't be resumed."""
        self._drop_expired_runs()
        return self.runs.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Cancels a request; False if it is unknown or has ended."""
        run = self.runs.get(request_id)
        if run is None or run.ended:
            return False
        run.end("cancelled", "cancelled", self._monotonic_s())
        self._running = [r for r in self._running if r is not run]
        self._ended.append(run)
        return True

    def crash(self) -> None:
        """Discards the queue, the batch, all runs and the cache."""
        for run in self.runs.values():
            if not run.ended:
                run.mark_lost()
            run.events.clear()
        self.runs.clear()
        self._ended.clear()
        self._waiting.clear()
        self._running.clear()
        self.cache.clear()

    async def generate(self, unfrozen: asyncio.Event) -> None:
        """Runs generation steps, pausing while `unfrozen` is not set."""
        while True:
            if not self._running and not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            await unfrozen.wait()
            self._admit()
            for run in tuple(self._running):
                self._step(run)
            await asyncio.sleep(self.settings.token_interval_s)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.settings.max_batch:
            run = heapq.heappop(self._waiting)[2]
            if not run.ended:
                run.start()
                self._running.append(run)

    def _step(self, run: engine_run.Run) -> None:
        if run.prefill_remaining > 0:
            run.prefill_remaining = max(
                0, run.prefill_remaining - self.settings.prefill_tokens_per_step
            )
            return
        limit = run.output_limit + self.extra_tokens
        run.generate(min(self.settings.tokens_per_event, limit - run.generated))
        self.on_token(run)
        if run.generated >= limit and not run.ended:
            reason = "length" if limit < self.settings.output_tokens else "stop"
            run.end("finished", reason, self._monotonic_s())
            self._ended.append(run)
        if run.ended and run in self._running:
            self._running.remove(run)

    def _drop_expired_runs(self) -> None:
        limit_s = self._monotonic_s() - self.settings.retention_s
        while self._ended and self._ended[0].finished_s <= limit_s:
            run = self._ended.popleft()
            if self.runs.get(run.request_id) is run:
                del self.runs[run.request_id]
            # `history` keeps the run, so only its events are freed.
            run.events.clear()
