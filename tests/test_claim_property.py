"""Checks that non-repeatable calls run at most once and `not run` is true.

Several routers claim the same key while writes are lost or take effect late,
the key-value service has an outage, and routers freeze between claim and
dispatch. Further tests remove one safeguard each and check that the search then
finds a violation.
"""

import asyncio
from collections.abc import Callable

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import claim
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.router import claims
from hibiscuspass.router import lifecycle
from tests import backend_fakes
from tests import virtual_loop

_KEY = claim.claim_key("ws", "k")
_TIMEOUT_S = 1.0
_TIMEOUT = refusal.Refusal(
    reason.Reason.TIMEOUT, run=run_state.RunState.UNKNOWN
)
_UNAVAILABLE = refusal.Refusal(reason.Reason.UNAVAILABLE)
# Longer than all delays and background retries of claims.
_END_S = 1000.0

_DELAYS_S = st.sampled_from([0.0, 0.01, 0.3, 0.9, 3.0, 40.0, 200.0])


@attrs.frozen
class WriteFault:
    """Fault of one write to the key-value service.

    Attributes:
      kind: `none`, `reply_lost`, `lost`, `late` or `unreached`.
      delay_s: Time until the write takes effect.
    """

    kind: str
    delay_s: float


@attrs.frozen
class Call:
    """One attempt of a caller.

    Attributes:
      start_s: Time at which the attempt begins.
      freeze_s: Pause between claim and dispatch.
      dispatch: Outcome of the dispatch: `answered`, `refused`,
        `lost_after_run`, `lost_before_run` or `runs_late`.
      late_s: Delay of a late run or of the answer to a refused call.
    """

    start_s: float
    freeze_s: float
    dispatch: str
    late_s: float


_WRITE_FAULTS = st.builds(
    WriteFault,
    st.sampled_from(
        ["none", "none", "reply_lost", "lost", "late", "unreached"]
    ),
    _DELAYS_S,
)
_CALLS = st.builds(
    Call,
    _DELAYS_S,
    _DELAYS_S,
    st.sampled_from(
        [
            "answered",
            "refused",
            "lost_after_run",
            "lost_before_run",
            "runs_late",
        ]
    ),
    _DELAYS_S,
)
_OUTAGES = st.tuples(_DELAYS_S, _DELAYS_S)


class FaultyKv(backend_fakes.FakeKv):
    """Key-value store with write faults and one outage."""

    def __init__(
        self, faults: list[WriteFault], outage: tuple[float, float]
    ) -> None:
        super().__init__()
        self._faults = iter(faults)
        self._outage = outage

    def _is_out(self) -> bool:
        start_s, length_s = self._outage
        now_s = asyncio.get_running_loop().time()
        return start_s <= now_s < start_s + length_s

    async def get(self, key, *, timeout_s):
        if self._is_out():
            await asyncio.sleep(_TIMEOUT_S)
            return _TIMEOUT
        return await super().get(key, timeout_s=timeout_s)

    async def compare_and_swap(
        self, key, expected_revision, value, *, lease_id=0, timeout_s
    ):
        fault = next(self._faults, WriteFault("none", 0.0))
        if self._is_out() or fault.kind == "unreached":
            return _UNAVAILABLE
        if fault.kind == "none" and fault.delay_s < _TIMEOUT_S:
            await asyncio.sleep(fault.delay_s)
            return self._swap(key, expected_revision, value)
        if fault.kind == "reply_lost":
            self._swap(key, expected_revision, value)
        elif fault.kind != "lost":
            asyncio.get_running_loop().call_later(
                fault.delay_s, self._swap, key, expected_revision, value
            )
        await asyncio.sleep(_TIMEOUT_S)
        return _TIMEOUT


class ClaimSimulation:
    """Simulates routers that call one backend.

    Attributes:
      runs: Operations that the backend has run.
      told_not_run: Operations whose caller was told `not run`.
    """

    def __init__(self, kv: FaultyKv, claimed: bool) -> None:
        self.runs: list[str] = []
        self.told_not_run: list[str] = []
        self._kv = kv
        self._claimed = claimed
        self._lifecycle = lifecycle.Lifecycle()

    async def call(self, operation: str, spec: Call) -> None:
        """Makes one attempt in the same way as `service_calls`."""
        await asyncio.sleep(spec.start_s)
        store = claims.ClaimStore(
            self._kv, self._lifecycle, timeout_s=_TIMEOUT_S
        )
        if not self._claimed:
            await asyncio.sleep(spec.freeze_s)
            self._check_answer(operation, await self._dispatch(operation, spec))
            return
        acquired = await store.acquire(_KEY, operation, "fingerprint")
        if not isinstance(acquired, claims.Claim):
            self._check_answer(operation, acquired)
            return
        await asyncio.sleep(spec.freeze_s)
        outcome = await self._dispatch(operation, spec)
        response_sent = asyncio.Event()
        store_task = asyncio.create_task(
            store.store_or_release(acquired, outcome, response_sent)
        )
        if spec.dispatch != "refused":
            await store_task
        else:
            # The answer may be sent late.
            await asyncio.sleep(spec.late_s)
        self._check_answer(operation, outcome)
        response_sent.set()
        await store_task

    async def _dispatch(
        self, operation: str, spec: Call
    ) -> claim.StoredOutcome | refusal.Refusal:
        if spec.dispatch == "refused":
            return backend_fakes.unreachable_refusal()
        if spec.dispatch == "runs_late":
            asyncio.get_running_loop().call_later(
                spec.late_s, self.runs.append, operation
            )
        elif spec.dispatch != "lost_before_run":
            self.runs.append(operation)
        if spec.dispatch == "answered":
            return claim.StoredOutcome(201, {}, operation.encode())
        return backend_fakes.connection_lost_refusal()

    def _check_answer(self, operation: str, outcome: object) -> None:
        if isinstance(outcome, claim.Replay):
            assert outcome.outcome.body == self.runs[0].encode()
        if not isinstance(outcome, refusal.Refusal):
            return
        if outcome.run is run_state.RunState.NO:
            assert not self.runs, f"{operation} was told `not run`"
            self.told_not_run.append(operation)

    async def finish(self) -> None:
        await asyncio.sleep(_END_S)
        await self._lifecycle.finish(timeout_s=0, cut_s=1)


def _check(
    specs: list[Call],
    faults: list[WriteFault],
    outage: tuple[float, float],
    claimed: bool,
) -> None:
    async def scenario() -> None:
        simulation = ClaimSimulation(FaultyKv(faults, outage), claimed)
        await asyncio.gather(
            *(simulation.call(f"op-{i}", spec) for i, spec in enumerate(specs))
        )
        await simulation.finish()
        assert len(simulation.runs) <= 1, simulation.runs
        assert not set(simulation.runs) & set(simulation.told_not_run)

    virtual_loop.run(scenario())


def _property(
    *, claimed: bool = True, phases: tuple[hypothesis.Phase, ...]
) -> Callable[[], None]:
    """Returns a search for violations.

    Hypothesis derives the seed of the search from the source of `check`, so
    that any change of it, even of a name, changes the examples.
    """

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=2000,
        database=None,
        phases=phases,
    )
    @hypothesis.given(
        st.lists(_CALLS, min_size=1, max_size=6),
        st.lists(_WRITE_FAULTS, max_size=20),
        _OUTAGES,
    )
    def check(
        specs: list[Call],
        faults: list[WriteFault],
        outage: tuple[float, float],
    ) -> None:
        _check(specs, faults, outage, claimed)

    return check


_GENERATE_AND_SHRINK = (hypothesis.Phase.generate, hypothesis.Phase.shrink)
_GENERATE_ONLY = (hypothesis.Phase.generate,)


def test_a_key_runs_at_most_once_and_not_run_is_true():
    _property(phases=_GENERATE_AND_SHRINK)()


def test_search_finds_the_fault_of_an_early_release(monkeypatch):
    """Checks that the search finds a `not run` sent after another attempt ran.

    The claim is released before the answer is sent, so that another attempt can
    run in between.
    """
    original = claims.ClaimStore.store_or_release

    async def release_first(self, acquired, outcome, response_sent):
        response_sent.set()
        await original(self, acquired, outcome, response_sent)

    monkeypatch.setattr(claims.ClaimStore, "store_or_release", release_first)
    with pytest.raises(AssertionError):
        _property(phases=_GENERATE_ONLY)()


def test_search_finds_the_fault_without_a_claim():
    """Checks that the search finds a violation without claims."""
    with pytest.raises(AssertionError):
        _property(claimed=False, phases=_GENERATE_ONLY)()


def test_search_finds_the_fault_of_an_unverified_claim(monkeypatch):
    """Checks that the search finds a violation by uncertain claims.

    A failed write of a claim is taken for a success without reading it again.
    """
    original = claim.Attempt.on_create

    def assume_own(attempt, reply):
        if isinstance(reply, refusal.Refusal):
            return claim.Dispatch(0)
        return original(attempt, reply)

    monkeypatch.setattr(claim.Attempt, "on_create", assume_own)
    with pytest.raises(AssertionError):
        _property(phases=_GENERATE_ONLY)()


def test_search_finds_the_fault_of_a_claim_reported_as_not_run(monkeypatch):
    """Checks that the search finds a false `not run`.

    A call whose key is already claimed is told `not run` although the claiming
    attempt may have run.
    """
    original = claim.Attempt.on_create

    def report_not_run(attempt, reply):
        if isinstance(reply, kv_store.CasResult) and not reply.succeeded:
            return claim.Refuse(refusal.Refusal(reason.Reason.IN_PROGRESS))
        return original(attempt, reply)

    monkeypatch.setattr(claim.Attempt, "on_create", report_not_run)
    with pytest.raises(AssertionError):
        _property(phases=_GENERATE_ONLY)()
