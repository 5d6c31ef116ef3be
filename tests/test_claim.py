"""Guards the stored form of claims and the decisions based on it."""

import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import claim
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

_OUTCOME = claim.StoredOutcome(201, {"X": "y"}, b"\x00\xff")


@pytest.mark.parametrize(
    "record",
    [
        claim.Record("op", "f", claim.State.CLAIMED),
        claim.Record("op", "f", claim.State.UNKNOWN),
        claim.Record("op", "f", claim.State.DONE, _OUTCOME),
        claim.Record(
            "op", "f", claim.State.DONE, claim.StoredOutcome(200, {}, None)
        ),
    ],
)
def test_stored_record_is_decoded_unchanged(record):
    assert claim.decode(claim.encode(record)) == record


@pytest.mark.parametrize(
    "value", [b"", b"{}", b'{"operation":"o","fingerprint":"f","state":"x"}']
)
def test_malformed_claim_is_uncertain(value):
    """Guards against a second run when the stored claim can't be decoded."""
    attempt = claim.Attempt("op", "f")
    action = attempt.on_create(
        kv_store.CasResult(False, 0, kv_store.KeyValue("k", value, 1))
    )
    assert isinstance(action, claim.Refuse)
    assert action.refused.reason is reason.Reason.CLAIM_UNCERTAIN
    assert action.refused.run is run_state.RunState.UNKNOWN


def test_reads_after_a_lost_reply_are_bounded():
    """Guards against endless reads during an outage of the claim store."""
    attempt = claim.Attempt("op", "f")
    lost = refusal.Refusal(reason.Reason.TIMEOUT)
    action: claim.Action = attempt.on_create(lost)
    reads = 0
    while isinstance(action, claim.Read):
        reads += 1
        action = attempt.on_read(lost)
    assert isinstance(action, claim.Refuse)
    assert action.release
    assert reads == 3


def test_fingerprint_separates_method_path_and_body():
    parts = {("POST", "/a", b"x"), ("PUT", "/a", b"x"), ("POST", "/b", b"x")}
    assert len({claim.fingerprint(*part) for part in parts}) == 3
