"""Prices and limits of models and plain services."""

import attrs


@attrs.frozen
class ModelSpec:
    """Prices and limits of one model.

    Attributes:
      name: Model name that callers use.
      prompt_price: Budget units per prompt token.
      output_price: Budget units per generated token.
      bytes_per_token_min: Smallest number of UTF-8 bytes per token.
      message_overhead_tokens: Tokens that the chat template adds per message.
      context_tokens: Largest sum of prompt and output tokens.
    """

    name: str
    prompt_price: int = 1
    output_price: int = 1
    bytes_per_token_min: float = 1.0
    message_overhead_tokens: int = 16
    context_tokens: int = 131_072


@attrs.frozen
class ServiceSpec:
    """Price and limits of one plain service.

    Attributes:
      name: Service name that callers use in the path.
      call_cost: Budget units per call.
      timeout_s: Time limit of one call in seconds.
    """

    name: str
    call_cost: int = 0
    timeout_s: float = 30.0
