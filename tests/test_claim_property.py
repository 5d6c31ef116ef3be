"""Guards non-repeatable calls against running twice or a false `not run`.

Several routers claim the same key while writes are lost or land late, the
key-value service has an outage, and routers freeze between claim and dispatch.
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
# Longer than every delay and every background retry of the claims.
_END_S = 1000.0

_DELAYS_S = st.sampled_from([0.0, 0.01, 0.3, 0.9, 3.0, 40.0, 200.0])


@attrs.frozen
class WriteFault:
    """What happens to one write.

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
      start_s: When it begins.
      freeze_s: Pause between claim and dispatch.
      dispatch: `answered`, `refused`, `lost_after_run`, `lost_before_run` or
        `runs_late`.
      late_s: Delay of a late run.
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
    """Loses replies, delays writes and has one outage."""

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


class World:
    """A backend that counts runs, and routers that call it."""

    def __init__(self, kv: FaultyKv, claimed: bool) -> None:
        self.runs: list[str] = []
        self.told_not_run: list[str] = []
        self._kv = kv
        self._claimed = claimed
        self._life = lifecycle.Lifecycle()

    async def call(self, operation: str, spec: Call) -> None:
        """One attempt, as `service_calls` makes it."""
        await asyncio.sleep(spec.start_s)
        router = claims.Claims(self._kv, self._life, timeout_s=_TIMEOUT_S)
        if not self._claimed:
            await asyncio.sleep(spec.freeze_s)
            self._answer(operation, await self._dispatch(operation, spec))
            return
        held = await router.make(_KEY, operation, "fingerprint")
        if not isinstance(held, claims.Claim):
            self._answer(operation, held)
            return
        await asyncio.sleep(spec.freeze_s)
        outcome = await self._dispatch(operation, spec)
        answered = asyncio.Event()
        concluding = asyncio.create_task(
            router.conclude(held, outcome, answered)
        )
        if spec.dispatch != "refused":
            await concluding
        else:
            # The answer may leave late.
            await asyncio.sleep(spec.late_s)
        self._answer(operation, outcome)
        answered.set()
        await concluding

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

    def _answer(self, operation: str, outcome: object) -> None:
        if isinstance(outcome, claim.Replay):
            assert outcome.outcome.body == self.runs[0].encode()
        if not isinstance(outcome, refusal.Refusal):
            return
        if outcome.run is run_state.RunState.NO:
            assert not self.runs, f"{operation} was told `not run`"
            self.told_not_run.append(operation)

    async def finish(self) -> None:
        await asyncio.sleep(_END_S)
        await self._life.finish(timeout_s=0, cut_s=1)


def _check(
    specs: list[Call],
    faults: list[WriteFault],
    outage: tuple[float, float],
    claimed: bool,
) -> None:
    async def scenario() -> None:
        world = World(FaultyKv(faults, outage), claimed)
        await asyncio.gather(
            *(world.call(f"op-{i}", spec) for i, spec in enumerate(specs))
        )
        await world.finish()
        assert len(world.runs) <= 1, world.runs
        assert not set(world.runs) & set(world.told_not_run)

    virtual_loop.run(scenario())


def _property(
    *, claimed: bool = True, phases: tuple[hypothesis.Phase, ...]
) -> Callable[[], None]:
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


_FULL = (hypothesis.Phase.generate, hypothesis.Phase.shrink)
_SEARCH = (hypothesis.Phase.generate,)


def test_a_key_runs_at_most_once_and_not_run_is_true():
    _property(phases=_FULL)()


def test_search_finds_the_fault_of_an_early_release(monkeypatch):
    """Guards against `not run` sent after another attempt ran."""
    original = claims.Claims.conclude

    async def release_first(self, held, outcome, answered):
        answered.set()
        await original(self, held, outcome, answered)

    monkeypatch.setattr(claims.Claims, "conclude", release_first)
    with pytest.raises(AssertionError):
        _property(phases=_SEARCH)()


def test_search_finds_the_fault_without_a_claim():
    with pytest.raises(AssertionError):
        _property(claimed=False, phases=_SEARCH)()


def test_search_finds_the_fault_of_an_unverified_claim(monkeypatch):
    original = claim.Attempt.on_create

    def assume_own(attempt, reply):
        if isinstance(reply, refusal.Refusal):
            return claim.Dispatch(0)
        return original(attempt, reply)

    monkeypatch.setattr(claim.Attempt, "on_create", assume_own)
    with pytest.raises(AssertionError):
        _property(phases=_SEARCH)()


def test_search_finds_the_fault_of_a_claim_reported_as_not_run(monkeypatch):
    """Guards the check of `not run` itself."""
    original = claim.Attempt.on_create

    def report_not_run(attempt, reply):
        if isinstance(reply, kv_store.CasResult) and not reply.succeeded:
            return claim.Refuse(refusal.Refusal(reason.Reason.IN_PROGRESS))
        return original(attempt, reply)

    monkeypatch.setattr(claim.Attempt, "on_create", report_not_run)
    with pytest.raises(AssertionError):
        _property(phases=_SEARCH)()
