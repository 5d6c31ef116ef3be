"""Figures of the routing benchmark."""

import attrs


@attrs.frozen
class Result:
    """Figures of one run, over requests that arrived after the warm-up.

    Times are in milliseconds of virtual time.
    """

    first_p50: float
    first_p95: float
    gap_p50: float
    gap_p95: float
    hit_share: float
    requests: int
    in_time: int
    late: int
    refused: dict[str, int]
    retries: float
    spread: float
