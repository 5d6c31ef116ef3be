"""Messages between routers about requests that they send."""

import attrs


@attrs.frozen
class Sent:
    """Tells that the sender gave a prompt to an engine.

    Attributes:
      service: Service of the engine.
      instance: Start of the engine.
      part_ids: Ids of the prompt's parts in order.
      part_tokens: Tokens of each part.
      new_tokens: Tokens that the engine is expected to read.
    """

    service: str
    instance: str
    part_ids: list[str]
    part_tokens: list[int]
    new_tokens: int
