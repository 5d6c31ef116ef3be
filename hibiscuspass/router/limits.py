"""Limits and time limits of the caller API."""

import attrs


@attrs.frozen
class Limits:
    """Bounds on what one caller can make this router do.

    Attributes:
      headers_s: Longest time from the first byte of a request to the end of its
        headers, and for a TLS handshake, in seconds.
      max_body_bytes: Largest request body.
      body_stall_s: Longest pause within a body, in seconds.
      body_total_s: Longest time for a whole body, in seconds.
      permit_timeout_s: Time to get a permit, in seconds.
      first_event_s: Time to the first event of a stream, in seconds.
      min_idle_s: Lower bound of the silence limit of a stream, in seconds.
      max_idle_s: Upper bound of the silence limit of a stream, in seconds.
      slow_caller_s: Longest time that one write to a caller may block, in
        seconds.
      cancel_timeout_s: Time for a cancel order to an engine, in seconds.
      max_dispatches: Engines to try for one completion.
      max_resumes: Resumes of a stream without a new event in between.
      claim_timeout_s: Time for one call of the key-value service, in seconds.
    """

    headers_s: float = 10.0
    max_body_bytes: int = 4 * 1024 * 1024
    body_stall_s: float = 5.0
    body_total_s: float = 60.0
    permit_timeout_s: float = 5.0
    first_event_s: float = 30.0
    min_idle_s: float = 1.0
    max_idle_s: float = 15.0
    slow_caller_s: float = 30.0
    cancel_timeout_s: float = 2.0
    max_dispatches: int = 3
    max_resumes: int = 4
    claim_timeout_s: float = 2.0
