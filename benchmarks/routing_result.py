"""Result of a run of the routing benchmark."""

import attrs


@attrs.frozen
class Result:
    """Figures of one run, over the requests that arrived after the warm-up.

    Times are in milliseconds of virtual time.

    Attributes:
      first_p50: Median time to the first token.
      first_p95: 95th percentile of the time to the first token.
      gap_p50: Median time between tokens.
      gap_p95: 95th percentile of the time between tokens.
      hit_share: Fraction of prompt tokens found in a prefix cache.
      requests: Number of requests.
      in_time: Requests whose first token met the deadline.
      late: Requests whose first token missed the deadline.
      refused: Number of refused requests by reason.
      retries: Retries per request, including the warm-up.
      spread: Highest mean load of an engine relative to the mean of all
        working engines.
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
