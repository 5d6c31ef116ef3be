"""Runs the soak test with the seeds that have failed before."""

import pathlib

import pytest

from tests.soak import run as run_lib

# Cause of the failure by seed.
_REGRESSIONS = {
    1: "draws that waited for a write without an answer overdrew a workspace",
    2: "draws that waited for a write without an answer overdrew a workspace",
}


@pytest.mark.parametrize("seed", _REGRESSIONS)
async def test_guarantees_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against violated guarantees under overlapping faults.

    Gateway processes must not overspend a budget, run a request twice, return
    the response of another request or refuse a request as not run that ran.
    """
    outcome = await run_lib.run(seed, tmp_path)
    assert outcome.problems == [], outcome.faults
    assert outcome.served > 0


async def test_guarantees_hold_where_few_routers_hold_the_tokens(
    tmp_path: pathlib.Path,
) -> None:
    """Guards the loans, leases and monitors of fleets of more than ten routers.

    Up to ten routers all draw tokens and announce their prompts to each other.
    """
    outcome = await run_lib.run(
        7001, tmp_path, run_lib.Size(gateways=12, callers=6, length_s=4.0)
    )
    assert outcome.problems == [], outcome.faults
    assert outcome.served > 0
