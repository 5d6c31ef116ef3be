"""Size and time limits of the caller API."""

import attrs


@attrs.frozen
class Limits:
    """Limits on the resources that one call may use.

    Attributes:
      headers_s: Time limit from the first byte of a request to the end of its
        headers, and for a TLS handshake, in seconds.
      max_body_bytes: Maximum size of a request body.
      body_stall_s: Maximum pause within a request body, in seconds.
      body_total_s: Time limit for a whole request body, in seconds.
      permit_timeout_s: Time limit to acquire a permit, in seconds.
      first_event_s: Time limit for the first event of a stream, in seconds.
      min_idle_s: Lower bound of the idle timeout of a stream, in seconds.
      max_idle_s: Upper bound of the idle timeout of a stream, in seconds.
      slow_caller_s: Time limit for one write to a caller, in seconds.
      cancel_timeout_s: Time limit of a cancel request to an engine, in seconds.
      max_dispatches: Maximum number of engines tried for one completion.
      max_resumes: Maximum number of resumes of a stream without a new event in
        between.
      claim_timeout_s: Time limit of one call to the key-value service that
        reads or writes a claim, in seconds.
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
