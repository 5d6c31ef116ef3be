"""Properties of a caller's request that forwarding decisions depend on."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class PromptPart:
    """Part of a prompt that several requests may have in common."""

    part_id: str
    tokens: int


@attrs.frozen
class ForwardRequest:
    """Request of a caller.

    Attributes:
      attempt_id: Id of the caller's attempt.
      received_s: Monotonic time of arrival in seconds.
      deadline_s: Monotonic time in seconds after which the caller no longer
        waits for a response.
      input_tokens: Number of tokens of the prompt.
      max_output_tokens: Largest number of tokens to generate.
      prompt_parts: Parts of the prompt in order; the last one belongs to this
        request or its session only.
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
        """Id of the last prompt part that other requests may have too."""
        return affinity_key([p.part_id for p in self.prompt_parts])


def affinity_key(part_ids: Sequence[str]) -> str:
    """Returns the last of the parts that other requests may have too."""
    if len(part_ids) > 1:
        return part_ids[-2]
    return part_ids[0] if part_ids else ""
