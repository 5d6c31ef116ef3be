"""Loaded models and orders of the engine stand-in."""

from typing import Any

import attrs


@attrs.define
class Orders:
    """What an engine has loaded, changed by orders."""

    models: dict[str, str]
    adapters: list[str] = attrs.field(factory=list)
    role: str = "serve"
    fence: int = 0
    generation: int = 0

    def apply(self, order: dict[str, Any], *, check_fence: bool) -> bool:
        """Takes over an order; False if it is outdated."""
        new = (int(order["fence"]), int(order["generation"]))
        if check_fence and new < (self.fence, self.generation):
            return False
        self.fence, self.generation = new
        self.models = dict(order["models"])
        self.adapters = list(order["adapters"])
        self.role = str(order["role"])
        return True
