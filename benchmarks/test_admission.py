"""Compares admission control with a first-in, first-out queue in overload.

One router runs a seeded schedule at twice its capacity in virtual time. The
bounds come from the design: priorities and fair shares are kept, no request is
admitted after its deadline, and the capacity is fully used. The table is shown
with `-s`.
"""

import abc
import collections
import heapq
import random
import statistics

import attrs
import pytest

from hibiscuspass.core.admission import config
from hibiscuspass.core.admission import controller
from hibiscuspass.core.admission import factory

_CAPACITY = 16
_SERVICE_S = (0.5, 1.5)
_DEADLINE_S = 2.0
_DURATION_S = 300.0
_EXPIRE_EVERY_S = 0.05
_MIN_USE = 0.95


@attrs.frozen
class Source:
    """A source of requests: one workspace, with its rate per second."""

    workspace: str
    priority: int
    rate: float


# The urgent requests leave capacity for 12 requests/s, a fair share of 4 for
# each other workspace.
_SOURCES = (
    Source("urgent", 9, 4.0),
    Source("large", 5, 20.0),
    Source("small-1", 5, 4.0),
    Source("small-2", 5, 4.0),
)


class Gate(abc.ABC):
    """Interface of the admission schemes that are compared."""

    @abc.abstractmethod
    def admit(self, req: controller.AdmissionRequest, now_s: float) -> bool:
        """Returns whether the request starts immediately."""

    @abc.abstractmethod
    def release(self, request_id: str, now_s: float) -> list[str]:
        """Ends a request and returns the requests that start now."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> list[str]:
        """Drops late requests and returns the requests that start now."""


class ControllerGate(Gate):
    """The admission controller of the router."""

    def __init__(self) -> None:
        self._controller = factory.make_admission_controller(
            config.AdmissionConfig(max_running=_CAPACITY)
        )

    def admit(self, req: controller.AdmissionRequest, now_s: float) -> bool:
        """See base class."""
        outcome = self._controller.admit(req, now_s)
        return isinstance(outcome, controller.Admitted)

    def release(self, request_id: str, now_s: float) -> list[str]:
        """See base class."""
        return _admitted(self._controller.release(request_id, now_s))

    def expire(self, now_s: float) -> list[str]:
        """See base class."""
        return _admitted(self._controller.expire(now_s))


class FifoGate(Gate):
    """First-in, first-out queue that drops requests after their deadline."""

    def __init__(self) -> None:
        self._running: set[str] = set()
        self._queue: collections.deque[tuple[float, str]] = collections.deque()

    def admit(self, req: controller.AdmissionRequest, now_s: float) -> bool:
        """See base class."""
        if len(self._running) < _CAPACITY:
            self._running.add(req.request_id)
            return True
        self._queue.append((now_s + req.deadline_s, req.request_id))
        return False

    def release(self, request_id: str, now_s: float) -> list[str]:
        """See base class."""
        self._running.discard(request_id)
        return self.expire(now_s)

    def expire(self, now_s: float) -> list[str]:
        """See base class."""
        started = []
        while self._queue and len(self._running) < _CAPACITY:
            expires_s, request_id = self._queue.popleft()
            if expires_s > now_s:
                self._running.add(request_id)
                started.append(request_id)
        return started


def _admitted(decisions: tuple[controller.Decision, ...]) -> list[str]:
    return [
        d.request_id
        for d in decisions
        if isinstance(d.outcome, controller.Admitted)
    ]


class Run:
    """Simulates one seeded schedule with one gate."""

    def __init__(self, gate: Gate, seed: int) -> None:
        self._gate = gate
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, str, str]] = []
        self._arrived: dict[str, tuple[Source, float]] = {}
        self.demand: collections.Counter[str] = collections.Counter()
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.late = 0
        self.busy_s = 0.0
        self._schedule()

    def _schedule(self) -> None:
        for source in _SOURCES:
            at_s = 0.0
            while at_s < _DURATION_S:
                at_s += self._rng.expovariate(source.rate)
                request_id = f"{source.workspace}-{len(self._arrived)}"
                self._arrived[request_id] = (source, at_s)
                self._push(at_s, "arrive", request_id)
        for i in range(int(_DURATION_S / _EXPIRE_EVERY_S)):
            self._push(i * _EXPIRE_EVERY_S, "expire", "")

    def _push(self, at_s: float, kind: str, request_id: str) -> None:
        heapq.heappush(
            self._events, (at_s, len(self._events), kind, request_id)
        )

    def run(self) -> "Run":
        """Runs the schedule to its end and returns itself."""
        while self._events:
            now_s, _, kind, request_id = heapq.heappop(self._events)
            started = []
            if kind == "arrive":
                if self._arrive(request_id, now_s):
                    started = [request_id]
            elif kind == "finish":
                started = self._gate.release(request_id, now_s)
            else:
                started = self._gate.expire(now_s)
            for other in started:
                self._start(other, now_s)
        return self

    def _arrive(self, request_id: str, now_s: float) -> bool:
        source, _ = self._arrived[request_id]
        self.demand[source.workspace] += 1
        return self._gate.admit(
            controller.AdmissionRequest(
                request_id,
                source.workspace,
                source.priority,
                _CAPACITY,
                _DEADLINE_S,
            ),
            now_s,
        )

    def _start(self, request_id: str, now_s: float) -> None:
        source, arrived_s = self._arrived[request_id]
        wait_s = now_s - arrived_s
        self.waits[source.workspace].append(wait_s)
        self.late += wait_s > _DEADLINE_S
        service_s = self._rng.uniform(*_SERVICE_S)
        self.busy_s += service_s
        self._push(now_s + service_s, "finish", request_id)

    def served_share(self, workspace: str) -> float:
        """Returns the fraction of a workspace's requests that ran."""
        return len(self.waits[workspace]) / self.demand[workspace]

    def wait_p95_s(self, workspace: str) -> float:
        """Returns the 95th percentile of the waiting time before a run."""
        return statistics.quantiles(self.waits[workspace], n=20)[-1]


def _print(name: str, run: Run) -> None:
    for source in _SOURCES:
        print(
            f"{name:11}{source.workspace:9}"
            f"{run.served_share(source.workspace):8.1%}"
            f"{run.wait_p95_s(source.workspace):8.2f}{run.late:6}"
            f"{run.busy_s / _CAPACITY / _DURATION_S:8.1%}"
        )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_admission(seed):
    """Guards against lost priorities or unfair shares at twice the capacity."""
    controller_run = Run(ControllerGate(), seed).run()
    fifo_run = Run(FifoGate(), seed).run()
    print(f"\n{'gate':11}{'':9}{'served':>8}{'p95 s':>8}{'late':>6}{'use':>8}")
    _print("controller", controller_run)
    _print("fifo", fifo_run)
    assert controller_run.late == 0
    assert controller_run.served_share("urgent") >= 0.99
    assert controller_run.wait_p95_s("urgent") <= max(_SERVICE_S) / 2
    for small in ("small-1", "small-2"):
        assert controller_run.served_share(small) >= 0.9
        assert controller_run.served_share(small) > fifo_run.served_share(small)
    assert controller_run.busy_s >= _MIN_USE * _CAPACITY * _DURATION_S
    assert controller_run.busy_s >= _MIN_USE * fifo_run.busy_s
