"""Admission by priority, deadline and fair queueing."""

import collections
import heapq

import attrs

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import config
from hibiscuspass.core.admission import controller
from hibiscuspass.core.admission import fair_queue

# Weight of the newest sample in the mean time from admission to release.
_SERVICE_TIME_GAIN = 0.05


@attrs.frozen
class _Running:
    workspace: str
    started_s: float


class FairController(controller.AdmissionController):
    """Serves by priority, with start-time fair queueing within a priority.

    A request whose expected wait exceeds its deadline is refused at once. If
    the queue is full, a request displaces one of a lower priority: the newest
    of the workspace with the longest queue in the lowest priority. `release`
    and `expire` return the refusal of the displaced request.
    """

    def __init__(self, cfg: config.AdmissionConfig) -> None:
        self._cfg = cfg
        self._running: dict[str, _Running] = {}
        self._per_workspace: collections.Counter[str] = collections.Counter()
        self._queues: dict[int, fair_queue.FairQueue] = {}
        self._waiting: dict[str, fair_queue.QueuedRequest] = {}
        self._waiting_per_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self._pending_decisions: list[controller.Decision] = []
        self._expiries: list[tuple[float, str]] = []
        self._mean_service_s: float | None = None

    def admit(
        self, req: controller.AdmissionRequest, now_s: float
    ) -> controller.Admitted | controller.Queued | refusal.Refusal:
        """See base class."""
        if req.request_id in self._running:
            return controller.Admitted()
        if req.request_id in self._waiting:
            return controller.Queued()
        if self._can_start(req):
            self._start(req.request_id, req.workspace, now_s)
            self._queue(req.priority).charge(req.workspace)
            return controller.Admitted()
        refused = self._check_queue_limits(req)
        if refused is not None:
            return refused
        item = fair_queue.QueuedRequest(
            request_id=req.request_id,
            workspace=req.workspace,
            priority=req.priority,
            max_concurrency=req.max_concurrency,
            expires_s=now_s + req.deadline_s,
        )
        self._queue(req.priority).push(item)
        self._waiting[req.request_id] = item
        heapq.heappush(self._expiries, (item.expires_s, item.request_id))
        self._waiting_per_workspace[req.workspace] += 1
        return controller.Queued()

    def release(
        self, request_id: str, now_s: float
    ) -> tuple[controller.Decision, ...]:
        """See base class."""
        running = self._running.pop(request_id, None)
        if running is not None:
            _decrement(self._per_workspace, running.workspace)
            self._update_service_time(now_s - running.started_s)
        elif request_id in self._waiting:
            self._remove_queued(self._waiting[request_id])
        return self._collect_decisions(now_s)

    def expire(self, now_s: float) -> tuple[controller.Decision, ...]:
        """See base class."""
        return self._collect_decisions(now_s)

    def _collect_decisions(
        self, now_s: float
    ) -> tuple[controller.Decision, ...]:
        decisions, self._pending_decisions = self._pending_decisions, []
        for item in self._pop_expired(now_s):
            decisions.append(
                controller.Decision(
                    item.request_id,
                    refusal.Refusal(
                        reason_lib.Reason.DEADLINE,
                        "the request waited in the queue until its deadline",
                    ),
                )
            )
        for priority in sorted(self._queues, reverse=True):
            while len(self._running) < self._cfg.max_running:
                served = self._queues[priority].pop(self._below_limit)
                if served is None:
                    break
                self._untrack_queued(served)
                self._start(served.request_id, served.workspace, now_s)
                decisions.append(
                    controller.Decision(
                        served.request_id, controller.Admitted()
                    )
                )
        return tuple(decisions)

    def _pop_expired(self, now_s: float) -> list[fair_queue.QueuedRequest]:
        expired = []
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, request_id = heapq.heappop(self._expiries)
            item = self._waiting.get(request_id)
            if item is not None and item.expires_s == expires_s:
                self._remove_queued(item)
                expired.append(item)
        return expired

    def _can_start(self, req: controller.AdmissionRequest) -> bool:
        if len(self._running) >= self._cfg.max_running:
            return False
        if self._per_workspace[req.workspace] >= req.max_concurrency:
            return False
        # A new request doesn't overtake a queued one of its own workspace.
        return not self._waiting_per_workspace[req.workspace]

    def _check_queue_limits(
        self, req: controller.AdmissionRequest
    ) -> refusal.Refusal | None:
        queued = self._waiting_per_workspace[req.workspace]
        if queued >= self._cfg.max_queued_per_workspace:
            return refusal.Refusal(
                reason_lib.Reason.CONCURRENCY_LIMIT,
                f"workspace {req.workspace!r} has {queued} requests waiting; "
                f"allowed are {self._cfg.max_queued_per_workspace}",
                retry_after_s=1.0,
            )
        wait_s = self._expected_wait_s(req)
        if wait_s > req.deadline_s:
            return refusal.Refusal(
                reason_lib.Reason.DEADLINE,
                f"expected wait of {wait_s:.2f} s is above the deadline of "
                f"{req.deadline_s:.2f} s",
                retry_after_s=wait_s,
            )
        if len(self._waiting) < self._cfg.max_queued:
            return None
        if self._displace_lower_priority(req.priority):
            return None
        return refusal.Refusal(
            reason_lib.Reason.OVERLOADED,
            f"{len(self._waiting)} requests are waiting; allowed are "
            f"{self._cfg.max_queued}",
            retry_after_s=1.0,
        )

    def _expected_wait_s(self, req: controller.AdmissionRequest) -> float:
        """Estimates the wait from the mean service time; 0 before a sample."""
        if self._mean_service_s is None:
            return 0.0
        ahead = sum(len(q) for p, q in self._queues.items() if p > req.priority)
        ahead += self._queue(req.priority).count_ahead_of(req.workspace)
        own_queued = self._waiting_per_workspace[req.workspace]
        return self._mean_service_s * max(
            (ahead + 1) / max(1, self._cfg.max_running),
            (own_queued + 1) / max(1, req.max_concurrency),
        )

    def _update_service_time(self, sample_s: float) -> None:
        if self._mean_service_s is None:
            self._mean_service_s = sample_s
            return
        self._mean_service_s += _SERVICE_TIME_GAIN * (
            sample_s - self._mean_service_s
        )

    def _displace_lower_priority(self, priority: int) -> bool:
        for lower in sorted(p for p in self._queues if p < priority):
            victim = self._queues[lower].newest_of_longest_queue()
            if victim is None:
                continue
            self._remove_queued(victim)
            self._pending_decisions.append(
                controller.Decision(
                    victim.request_id,
                    refusal.Refusal(
                        reason_lib.Reason.OVERLOADED,
                        "displaced from the full queue by a request of a "
                        "higher priority",
                        retry_after_s=1.0,
                    ),
                )
            )
            return True
        return False

    def _below_limit(self, item: fair_queue.QueuedRequest) -> bool:
        return self._per_workspace[item.workspace] < item.max_concurrency

    def _start(self, request_id: str, workspace: str, now_s: float) -> None:
        self._running[request_id] = _Running(workspace, now_s)
        self._per_workspace[workspace] += 1

    def _remove_queued(self, item: fair_queue.QueuedRequest) -> None:
        self._queues[item.priority].remove(item)
        self._untrack_queued(item)

    def _untrack_queued(self, item: fair_queue.QueuedRequest) -> None:
        del self._waiting[item.request_id]
        _decrement(self._waiting_per_workspace, item.workspace)

    def _queue(self, priority: int) -> fair_queue.FairQueue:
        return self._queues.setdefault(priority, fair_queue.FairQueue())


def _decrement(counter: collections.Counter[str], key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
