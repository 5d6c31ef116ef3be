"""Decides how long a server that asked for a pause gets no requests.

Load pattern: a server that is too busy turns requests away and names a time for
which it wants none. Hundreds of routers are told the same time at about the
same moment. If all of them came back when it is over, the server would be too
busy at once again, so each router waits longer by a random share of the time.
"""

import random

# A server that names a longer time is asked again after this one.
MAX_S = 600.0
# Largest random addition, as a share of the time and within bounds in seconds.
_SPREAD_SHARE = 0.5
_MIN_SPREAD_S = 0.2
_MAX_SPREAD_S = 2.0


def duration_s(requested_s: float, rng: random.Random) -> float:
    """Returns for how long a router sends nothing, in seconds.

    Args:
      requested_s: Time that the server has named, in seconds.
      rng: Source of the random addition.
    """
    requested_s = min(requested_s, MAX_S)
    spread_s = min(
        _MAX_SPREAD_S, max(_MIN_SPREAD_S, _SPREAD_SHARE * requested_s)
    )
    return requested_s + rng.uniform(0.0, spread_s)
