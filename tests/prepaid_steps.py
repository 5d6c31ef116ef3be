"""Steps of the simulated prepaid fleet and how often each is taken."""

_STEPS = (
    ("hold", 8),
    ("settle", 6),
    ("draw", 4),
    ("return", 1.0),
    ("lost_draw", 2),
    ("lost_return", 2),
    ("late_return", 2),
    ("deliver", 2),
    ("borrow", 3),
    ("late_loan", 2),
    ("kill", 0.5),
    ("top_up", 0.4),
    ("lower", 0.2),
    ("wait", 3),
    ("renew", 5),
    ("lost_renewal", 3),
    ("outage", 0.2),
    ("crash", 1.5),
)
# Steps that have an effect only if usage limits are written.
_LIMIT_STEPS = frozenset({"renew", "lost_renewal", "outage", "crash"})
# Steps of fleets in which some routers draw no tokens.
_LOAN_STEPS = (("return_loans", 6),)


def weights(*, writes_limits: bool, has_borrowers: bool) -> dict[str, float]:
    """Returns the weight of each step by name.

    Args:
      writes_limits: Whether the routers write usage limits.
      has_borrowers: Whether some routers draw no tokens.
    """
    steps = _STEPS + (_LOAN_STEPS if has_borrowers else ())
    return {
        name: weight
        for name, weight in steps
        if writes_limits or name not in _LIMIT_STEPS
    }
