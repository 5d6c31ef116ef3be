"""Configuration of the placement planner."""

import attrs


@attrs.frozen
class PlacementConfig:
    """Parameters of the placement planner.

    Attributes:
      engine_memory_bytes: Memory for weights on one engine.
      requests_per_engine: Target number of requests in flight per engine.
      min_replicas: Minimum number of engines per model that a workspace may
        use, in different failure domains where possible.
      surplus_factor: Replicas are removed only above this multiple of the
        needed number, so that load changes don't move models back and forth.
      max_adapters: Maximum number of adapters per engine.
      prefill_share: Share of a model's engines that only process prompts. With
        0 every engine processes prompts and generates tokens.
      min_split_replicas: Minimum number of replicas of a model for which
        engines are split into prefill and decode roles.
    """

    engine_memory_bytes: int = 80_000_000_000
    requests_per_engine: float = 48.0
    min_replicas: int = 2
    surplus_factor: float = 1.5
    max_adapters: int = 32
    prefill_share: float = 0.0
    min_split_replicas: int = 4
