"""Settings of placement."""

import attrs


@attrs.frozen
class PlacementConfig:
    """How models are placed and orders are sent.

    Attributes:
      engine_memory_bytes: Memory for weights on one engine.
      requests_per_engine: Requests in flight that one engine serves well.
      min_replicas: Engines per wanted model, in different failure domains
        where possible.
      surplus_factor: Replicas are removed only above this multiple of the
        needed ones, so that a change of load doesn't move models back and
        forth.
      max_adapters: Adapters per engine.
      prefill_share: Share of a model's engines that only process prompts; 0
        serves prompts and tokens on the same engines.
      min_split_replicas: Replicas of a model from which roles are split.
    """

    engine_memory_bytes: int = 80_000_000_000
    requests_per_engine: float = 48.0
    min_replicas: int = 2
    surplus_factor: float = 1.5
    max_adapters: int = 32
    prefill_share: float = 0.0
    min_split_replicas: int = 4
