"""Messages that routers exchange about requests they sent."""

import attrs


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
