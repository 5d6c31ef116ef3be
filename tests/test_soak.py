"""A short seeded run of the soak, and the seeds that ever failed."""

import pathlib

import pytest

from tests.soak import run as run_lib

# Seeds that failed once, each with its cause.
_REGRESSIONS = {
    1: "draws that waited for a write without an answer overdrew a workspace",
    2: "draws that waited for a write without an answer overdrew a workspace",
}


@pytest.mark.parametrize("seed", _REGRESSIONS)
async def test_promises_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Real processes overspend, repeat, mix up or deny nothing."""
    outcome = await run_lib.run(seed, tmp_path)
    assert outcome.problems == [], outcome.faults
    assert outcome.served > 0
