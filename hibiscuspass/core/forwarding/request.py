"""A caller's request as the decisions see it."""

import attrs


@attrs.frozen
class PromptPart:
    """One part of a prompt that requests may share."""

    part_id: str
    tokens: int


@attrs.frozen
class ForwardRequest:
    """What a caller's request says about itself.

    Attributes:
      attempt_id: Id of the caller's attempt.
      input_tokens: Tokens of the prompt.
      max_output_tokens: Largest number of generated tokens.
      prompt_parts: Parts of the prompt in order; the last one belongs to the
        request or to its session.
      received_s: Time of arrival on the monotonic clock.
      deadline_s: Time after which nobody waits for the answer.
    """

    attempt_id: str
    received_s: float
    deadline_s: float
    input_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()

    @property
    def max_tokens(self) -> int:
        """Largest number of tokens that the request can consume."""
        return self.input_tokens + self.max_output_tokens

    @property
    def affinity_key(self) -> str:
        """Id of the last prompt part that other requests may share."""
        if len(self.prompt_parts) > 1:
            return self.prompt_parts[-2].part_id
        return self.prompt_parts[0].part_id if self.prompt_parts else ""
