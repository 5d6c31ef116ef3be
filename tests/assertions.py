"""Assert helpers shared by the tests."""

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal


def assert_refused(
    outcome: object, reason: reason_lib.Reason
) -> refusal.Refusal:
    """Asserts that an outcome is a refusal with the given reason."""
    assert isinstance(outcome, refusal.Refusal), outcome
    assert outcome.reason is reason, outcome
    return outcome
