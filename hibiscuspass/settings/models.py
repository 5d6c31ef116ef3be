"""Settings of models and their prices."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ModelSettings:
    """Name and prices of one model.

    Attributes:
      name: Name that callers use in requests.
      prompt_price: Budget units per prompt token.
      output_price: Budget units per generated token.
      bytes_per_token_min: Lowest number of UTF-8 bytes that one prompt token
        can represent. A higher value lowers the upper bound of the number of
        prompt tokens, but is safe only if the tokenizer guarantees it; 1 is
        safe for byte-level tokenizers.
    """

    name: str = attrs.field(validator=checks.is_text())
    prompt_price: int = attrs.field(
        default=1, validator=checks.in_range(0, 1_000_000)
    )
    output_price: int = attrs.field(
        default=1, validator=checks.in_range(0, 1_000_000)
    )
    bytes_per_token_min: float = attrs.field(
        default=1.0, validator=checks.in_range(0.25, 64)
    )
