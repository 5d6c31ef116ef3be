"""Messages that routers exchange about requests they sent."""

import attrs

from hibiscuspass.core.forwarding import cold_servers


@attrs.frozen
class Sent:
    """Announces that the sender of the message sent a prompt to an engine.

    Attributes:
      service: Service of the engine.
      instance: Instance of the engine, see `backend.Backend.instance`.
      part_ids: Ids of the parts of the prompt in order.
      part_tokens: Number of tokens of each part.
      new_tokens: Prompt tokens that the engine is expected to process because
        its prefix cache doesn't contain them.
    """

    service: str
    instance: str
    part_ids: list[str]
    part_tokens: list[int]
    new_tokens: int


@attrs.frozen
class AskLoad:
    """Asks the monitor of an engine what a request would meet there.

    Attributes:
      service: Service of the engine.
      instance: Instance of the engine.
      part_ids: Ids of the parts of the prompt in order.
      part_tokens: Number of tokens of each part.
      input_tokens: Number of tokens of the prompt.
      may_book: Whether the monitor records the request as sent if the engine
        is not worse than a typical one.
      output_tokens: Largest number of tokens of the answer.
      typical_load: Mean load of the engines, see `server_capacity.Typical`.
      typical_token_s: Mean time per prompt token in seconds.
      typical_pause_s: Mean time between two events in seconds.
      spread: Number of engines from which this one was taken at random; 0 if
        it is not the first candidate.
    """

    service: str
    instance: str
    part_ids: list[str]
    part_tokens: list[int]
    input_tokens: int
    may_book: bool
    output_tokens: int = 0
    typical_load: float = 0.0
    typical_token_s: float = 0.0
    typical_pause_s: float = 0.0
    spread: int = 0


@attrs.frozen
class Load:
    """Answers an `AskLoad` message, see `engine_loads.Quote`.

    Attributes:
      is_booked: Whether the monitor has recorded the request as sent.
      spread: Number of engines for the shared prompt part.
    """

    new_tokens: int
    wait_s: float
    prefill_s: float
    load: float
    token_s: float
    pause_s: float
    is_booked: bool
    spread: int = 1


@attrs.frozen
class Ended:
    """Tells the monitor of an engine how a request ended.

    Attributes:
      service: Service of the engine.
      instance: Instance of the engine.
      is_sent: Whether the request was sent at all.
      expected_s: Expected time from the send to the first event in seconds.
      duration_s: Time from the send to the end in seconds.
      first_event_s: Measured time to the first event; 0 without one.
      pause_s: Mean time between two events; 0 if unknown.
      is_refused: Whether the engine refused the request because it was full.
    """

    service: str
    instance: str
    is_sent: bool
    expected_s: float = 0.0
    duration_s: float = 0.0
    first_event_s: float = 0.0
    pause_s: float = 0.0
    is_refused: bool = False


@attrs.frozen
class Noted:
    """Confirms a message that asks for nothing."""


@attrs.frozen
class NamedLimit:
    """Tells what an answer of a backend server said, see `ServerLimit`.

    Attributes:
      instance: Instance of the server.
      per_s: Limit in requests per second; None if the answer named none.
      age_s: Time since the answer in seconds.
    """

    instance: str
    per_s: float | None
    age_s: float


@attrs.frozen
class AskPermit:
    """Asks the keeper of a backend server whether one request may be sent.

    Attributes:
      instance: Instance of the server.
      per_s: Newest limit that the asking router knows; None if the server
        names none.
      age_s: Time since the server named it, in seconds.
      is_forwarded: Whether a router that was taken for the keeper asks.
      cold: What the asking router knows of the server if it is cold.
    """

    instance: str
    per_s: float | None
    age_s: float
    is_forwarded: bool = False
    cold: cold_servers.ColdNews | None = None


@attrs.frozen
class Permit:
    """Answers an `AskPermit` message.

    Attributes:
      is_granted: Whether one request may be sent.
      retry_s: If not, time after which the router may ask again, in seconds.
      per_s: Newest limit that the keeper knows; None if it has ended.
      age_s: Time since the answer that said so, in seconds.
    """

    is_granted: bool
    retry_s: float
    per_s: float | None
    age_s: float


@attrs.frozen
class ReportCrashes:
    """Reports requests that were lost in crashes of engines.

    Attributes:
      instances: Instance of the engine of each request.
      part_ids: Parts of the prompt of each request that others may have too.
      events: Number of complete events that had arrived of the answer to each
        request; None before the head of the answer.
    """

    instances: list[str]
    part_ids: list[list[str]]
    events: list[int | None] = attrs.field(factory=list)


@attrs.frozen
class AskProof:
    """Asks whether engines have begun answers to prompts with some parts.

    Attributes:
      part_ids: Parts with which engines crashed.
      ages_s: Time since the first crash with each part, in seconds.
    """

    part_ids: list[str]
    ages_s: list[float]


@attrs.frozen
class Proof:
    """Answers an `AskProof` message.

    Attributes:
      part_ids: Parts with which an answer has begun since the first crash.
      answers: For each part that was asked for, the number of all answers that
        have begun since its first crash, up to a limit.
    """

    part_ids: list[str]
    answers: list[int]


@attrs.frozen
class Quarantined:
    """Announces causes of crashes.

    Attributes:
      causes: Sets of prompt parts; a request with all parts of one of them
        must not be sent.
    """

    causes: list[list[str]]


@attrs.frozen
class ShortQuarantine:
    """Announces causes of crashes that aren't certain, or that are none.

    Routers of earlier versions don't know this message and send on.

    Attributes:
      causes: Sets of prompt parts, as in `Quarantined`.
      duration_s: Time for which requests with them must not be sent, in
        seconds; 0 if an answer has shown that they crash no engine.
    """

    causes: list[list[str]]
    duration_s: float
